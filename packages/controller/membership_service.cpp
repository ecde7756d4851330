#include "controller/membership_service.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

namespace {

constexpr std::size_t kMaxRetired = 64;  // the oldest is forgotten: it may then come back
constexpr Seconds kStallSeconds = 1.0;   // between two ticks: this process itself did not run
constexpr Seconds kJoinPatienceSeconds = 2.0;
constexpr Seconds kReplacePatienceSeconds = 2.0;
constexpr Seconds kLeavePatienceSeconds = 1.0;
constexpr Seconds kExitReserveSeconds = 1.5;     // of the grace period, for the end of the process
constexpr Seconds kKeyBindingMarginSeconds = 5;  // a membership counts as large for longer than its keys bind

/// What came of an operator's removal of a member.
struct RemovalResult {
  bool is_known = true;
  std::string refusal;  // empty: removed
};

bool is_retired_address(ReplicatedState const& state, std::string const& ip) {
  return std::any_of(state.retired.begin(), state.retired.end(),
                     [&](RetiredMember const& retired) { return retired.ip == ip; });
}

/// Removes a member and keeps it from coming back by itself; false: the state is unchanged.
bool retire(ReplicatedState& state, std::string const& ip, FailureTolerance const& tolerance, RemovalResult& result) {
  Member const* const member = state.member(ip);
  result.refusal.clear();
  result.is_known = member != nullptr || is_retired_address(state, ip);
  if (member == nullptr) return false;
  RetiredMember retired;
  retired.ip = ip;
  retired.incarnation = member->incarnation;
  if (!remove_if_harmless(state, ip, retired.incarnation, tolerance, result.refusal)) return false;
  state.retired.push_back(retired);
  while (state.retired.size() > kMaxRetired)
    state.retired.erase(state.retired.begin());
  return true;
}

/// Dismisses the silent member if nothing about it and its successor has changed meanwhile.
bool swap_members(ReplicatedState& state, MembershipMonitor::Swap const& swap) {
  Member const* const successor = state.member(swap.by.ip);
  Member const* const silent = state.member(swap.gone.ip);
  return successor != nullptr && successor->whole && successor->same_disk(swap.by) && silent != nullptr &&
         silent->since == swap.gone.since && state.remove_member(swap.gone.ip, swap.gone.incarnation);
}

}  // namespace

MembershipService::MembershipService(ControllerContext& context, IdempotencyService& idempotency, Seconds now)
    : context_(context),
      idempotency_(idempotency),
      monitor_(monitor_options(context.settings.bounds), now),
      next_join_at_(now + 0.3 + 1.2 * random01()) {}

MembershipMonitorOptions MembershipService::monitor_options(Bounds const& bounds) {
  MembershipMonitorOptions options;
  options.silent = std::max(1.0, 0.5 * bounds.convergeS);
  options.recent = bounds.convergeS + bounds.gracePeriodS;
  options.horizon = key_binding_time(bounds.keyHorizonS) + kKeyBindingMarginSeconds;
  return options;
}

void MembershipService::on_settings_changed() {
  monitor_.set_options(monitor_options(context_.settings.bounds));
}

void MembershipService::tick(Seconds now) {
  if (last_tick_at_ > 0 && now - last_tick_at_ > kStallSeconds) monitor_.forgive(now);
  last_tick_at_ = now;
  if (!context_.committed) return;
  if (context_.committed->epoch != seen_epoch_ || !has_seen_membership_) on_membership_changed(now);
  if (!context_.in_contact()) monitor_.forgive(now);
  for (auto const& [ip, peer] : context_.controllers)
    if (peer.link && peer.link->up()) monitor_.heard(ip, std::max(peer.heard, peer.link->heard()));
  join_if_due(now);
  replace_silent_member(now);
  leave_if_replaced(now);
}

void MembershipService::on_membership_changed(Seconds now) {
  bool const was_member = has_seen_membership_ && is_member_;
  monitor_.see(*context_.committed, now);
  seen_epoch_ = context_.committed->epoch;
  has_seen_membership_ = true;
  is_member_ = own_entry() != nullptr;
  if (was_member && !is_member_ && context_.leaving_since == 0)
    LOG4CPLUS_WARN(logger_, "This controller was removed from the membership. Its votes on keys no longer count.");
  next_join_at_ = std::min(next_join_at_, now + 0.3 * random01());
}

/// Our entry in the committed membership; null if that does not name our disk's incarnation.
Member const* MembershipService::own_entry() const {
  Member const* const member = context_.committed ? context_.committed->member(context_.settings.ip) : nullptr;
  return member != nullptr && member->incarnation == context_.acceptor->incarnation() ? member : nullptr;
}

FailureTolerance MembershipService::tolerance() const {
  Settings const& settings = context_.settings;
  return {static_cast<u32>(settings.toleranceMachines), static_cast<u32>(settings.toleranceZones),
          static_cast<u32>(settings.toleranceRegions)};
}

/// Keys that were won under a larger membership bind no more, if the round finds the epoch that has stood for the time
/// for which a key binds.
void MembershipService::forget_larger_memberships(ReplicatedState& state, std::optional<Epoch> const& settled) {
  if (settled && state.epoch == *settled) state.largest_membership = static_cast<u32>(state.membership.size());
}

// ---- joining ----------------------------------------------------------------------------------------------------

void MembershipService::admit(Member const& member) {
  context_.submit([member](ReplicatedState& state) { return state.admit(member); }, [](ReplicatedState const*) {},
                  kJoinPatienceSeconds);
}

/// The member that admits others: the first of the membership that is up. Empty: that is this controller, or nobody.
std::string MembershipService::admitting_member() const {
  for (Member const& member : context_.committed->membership)
    if (context_.peers.is_up(member.ip)) return member.ip == context_.settings.ip ? std::string() : member.ip;
  return "";
}

Member MembershipService::wanted_own_entry() const {
  Settings const& settings = context_.settings;
  Member const* const current = own_entry();
  Member wanted;
  wanted.ip = settings.ip;
  wanted.incarnation = context_.acceptor->incarnation();
  wanted.zone = settings.zone;
  wanted.region = settings.region;
  wanted.control = settings.control_port();
  wanted.whole = idempotency_.ledger().is_complete() && current != nullptr;
  if (current != nullptr) wanted.since = current->since;
  return wanted;
}

/// Goal: the membership names our disk as it is.
void MembershipService::join_if_due(Seconds now) {
  if (!context_.is_incarnation_durable || context_.leaving_since > 0 || now < next_join_at_) return;
  if (context_.committed->is_retired(context_.settings.ip, context_.acceptor->incarnation())) return;
  Member const* const current = own_entry();
  if (current != nullptr && !current->zone.empty() && current->whole == idempotency_.ledger().is_complete()) return;
  next_join_at_ = now + 0.6 + 0.6 * random01();
  Member const wanted = wanted_own_entry();
  // One member brings many joins through in one round; who waits in vain does it itself.
  if (std::string const by = admitting_member(); !has_asked_admitting_member_ && !by.empty()) {
    has_asked_admitting_member_ = true;
    context_.controllers[by].link->send(MessageType::join_request, 0, wanted);
    return;
  }
  has_asked_admitting_member_ = false;
  admit(wanted);
}

// ---- replacing --------------------------------------------------------------------------------------------------

/// Goal: no member that is gone and was replaced. The first member that is up sees to it; the others only once that one
/// had its time.
void MembershipService::replace_silent_member(Seconds now) {
  if (is_replacing_ || context_.leaving_since > 0 || own_entry() == nullptr || !context_.in_contact()) return;
  auto const swap = monitor_.swap(*context_.committed, context_.settings.ip, now);
  if (!swap) return;
  Seconds const others_turn_after = 2 * monitor_options(context_.settings.bounds).silent;
  if (!admitting_member().empty() && monitor_.silence(swap->gone.ip, now) < others_turn_after) return;
  is_replacing_ = true;
  auto const is_swapped = std::make_shared<bool>(false);
  context_.submit(
      [swap = *swap, settled = monitor_.settled(now), is_swapped](ReplicatedState& state) {
        forget_larger_memberships(state, settled);
        *is_swapped = swap_members(state, swap);
        return *is_swapped;
      },
      [this, swap = *swap, is_swapped](ReplicatedState const* state) {
        is_replacing_ = false;
        if (state == nullptr || !*is_swapped) return;
        monitor_.used(swap.by.ip);
        LOG4CPLUS_INFO(logger_,
                       "Member " << swap.gone.ip << " was silent and is removed; " << swap.by.ip << " replaces it.");
      },
      kReplacePatienceSeconds);
}

// ---- leaving ----------------------------------------------------------------------------------------------------

/// Whether another controller of our zone joined lately, or is connected to us and not a member yet.
bool MembershipService::has_successor(Seconds now) const {
  if (!context_.committed || own_entry() == nullptr) return false;
  Settings const& own = context_.settings;
  if (monitor_.newcomer(*context_.committed, own.zone, own.ip, now) != nullptr) return true;
  return std::any_of(context_.sessions.begin(), context_.sessions.end(), [&](auto const& entry) {
    InboundSession const& session = entry.second;
    HandshakeRequest const& hello = session.hello;
    return hello.role == kControllerRole && hello.zone == own.zone && hello.ip != own.ip && session.ch &&
           session.ch->up() && context_.committed->member(hello.ip) == nullptr;
  });
}

bool MembershipService::is_leave_pending(Seconds now) const {
  return context_.leaving_since > 0 && !is_leave_settled_ && has_successor(now) &&
         now - context_.leaving_since < context_.settings.bounds.gracePeriodS - kExitReserveSeconds;
}

void MembershipService::on_term(Seconds now) {
  if (has_successor(now))
    LOG4CPLUS_INFO(logger_, "Another controller of zone " << context_.settings.zone
                                                          << " replaces this one, which leaves the membership.");
}

/// Goal while we leave for good: the stored answers handed on, then out of the membership.
void MembershipService::leave_if_replaced(Seconds now) {
  if (context_.leaving_since == 0 || is_leave_settled_ || is_leave_submitted_) return;
  if (own_entry() == nullptr) {
    is_leave_settled_ = has_seen_membership_;
    return;
  }
  Settings const& own = context_.settings;
  Member const* const successor = monitor_.newcomer(*context_.committed, own.zone, own.ip, now);
  if (successor == nullptr || !successor->whole) return;
  bool const has_time_to_hand_on = now - context_.leaving_since < 0.5 * own.bounds.gracePeriodS;
  if (has_time_to_hand_on && !idempotency_.hand_on(successor->ip)) return;
  submit_leave(now);
}

void MembershipService::submit_leave(Seconds now) {
  is_leave_submitted_ = true;
  auto const refusal = std::make_shared<std::string>();
  context_.submit(
      [ip = context_.settings.ip, incarnation = context_.acceptor->incarnation(), tolerance = tolerance(), refusal,
       settled = monitor_.settled(now)](ReplicatedState& state) {
        forget_larger_memberships(state, settled);
        return remove_if_harmless(state, ip, incarnation, tolerance, *refusal);
      },
      [this, refusal](ReplicatedState const* state) {
        is_leave_submitted_ = false;
        if (state == nullptr) return;
        is_leave_settled_ = true;
        if (refusal->empty())
          LOG4CPLUS_INFO(logger_, "We left the membership.");
        else
          LOG4CPLUS_WARN(logger_, "We stay in the roster: " << *refusal << ".");  // named so in docs/operating.md
      },
      kLeavePatienceSeconds);
}

// ---- control API ------------------------------------------------------------------------------------------------

void MembershipService::remove(evhttp_request* request, std::string const& ip) {
  if (context_.leaving_since > 0) return context_.api.write(request, error_response(503, "leaving"));
  auto const result = std::make_shared<RemovalResult>();
  context_.submit(
      [ip, result, tolerance = tolerance(), settled = monitor_.settled(steady_now())](ReplicatedState& state) {
        forget_larger_memberships(state, settled);
        return retire(state, ip, tolerance, *result);
      },
      [this, request, ip, result](ReplicatedState const* state) {
        if (state == nullptr) return context_.api.write(request, error_response(503, "no majority in time"));
        if (!result->is_known) return context_.api.write(request, error_response(404, "no such member: " + ip));
        if (!result->refusal.empty())
          return context_.api.write(request, error_response(409, ip + " stays: " + result->refusal));
        context_.api.write(request, ApiResponse{200, "{}"});
      },
      context_.patience());
}

void MembershipService::add(evhttp_request* request, std::string const& ip) {
  if (context_.leaving_since > 0) return context_.api.write(request, error_response(503, "leaving"));
  auto const is_known = std::make_shared<bool>(false);
  context_.submit(
      [ip, is_known](ReplicatedState& state) {
        std::size_t const erased =
            std::erase_if(state.retired, [&](RetiredMember const& retired) { return retired.ip == ip; });
        // Kept from earlier calls: a round that was committed without our knowing is run again on its result.
        *is_known = *is_known || erased > 0 || state.member(ip) != nullptr;
        return erased > 0;
      },
      [this, request, ip, is_known](ReplicatedState const* state) {
        if (state == nullptr) return context_.api.write(request, error_response(503, "no majority in time"));
        // A new controller needs no call: it joins by itself.
        if (!*is_known && context_.controllers.count(ip) == 0)
          return context_.api.write(
              request, error_response(404, ip + " has not been heard of; start it and it comes in by itself"));
        context_.api.write(request, ApiResponse{200, "{}"});
      },
      context_.patience());
}

std::string MembershipService::list() const {
  return json_object([this](JsonWriter& json) { write_members(json); });
}

char const* MembershipService::state_name(Member const& member) const {
  if (member.ip == context_.settings.ip && context_.leaving_since > 0) return "leaving";
  return !context_.peers.is_up(member.ip) ? "silent" : member.whole ? "whole" : "catching up";
}

void MembershipService::write_members(JsonWriter& json) const {
  Seconds const now = steady_now();
  write_array(json, "members", [&] {
    if (!context_.committed) return;
    for (Member const& member : context_.committed->membership)
      write_object(json, [&] { write_entry(json, member, now); });
  });
  write_array(json, "removed", [&] {
    if (!context_.committed) return;
    for (RetiredMember const& retired : context_.committed->retired)
      json.String(retired.ip.c_str());
  });
  json.Key("bears");
  write_object(json, [&] {
    if (!context_.committed) return;
    FailureMargin const margin = failure_margin(*context_.committed, tolerance());
    write_member(json, "machines", margin.machines >= 0);
    write_member(json, "zones", margin.zones >= 0);
    write_member(json, "regions", margin.regions >= 0);
  });
}

void MembershipService::write_entry(JsonWriter& json, Member const& member, Seconds now) const {
  bool const is_up = context_.peers.is_up(member.ip);
  write_member(json, "address", member.ip);
  write_member(json, "zone", member.zone);
  write_member(json, "region", member.region);
  write_member(json, "up", is_up);
  write_member(json, "state", state_name(member));
  write_member(json, "silentS", is_up ? 0 : std::round(monitor_.silence(member.ip, now) * 10) / 10);  // to 0.1 s
  write_member(json, "since", member.since.v);
}

}  // namespace dockbend
