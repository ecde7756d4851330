#include "controller/lease_service.hpp"

#include <algorithm>

namespace dockbend {

namespace {

/// How long a change of a lease may wait for a majority.
Seconds constexpr kLeaseChangePatience = 1.0;
/// Named as successor by a holder that knows of none: whoever sees the lease expire takes it.
char constexpr kNoSuccessor[] = "-";

}  // namespace

LeaseService::LeaseService(ControllerContext& context) : context_(context) {}

void LeaseService::add_role(std::string const& name, SingletonRole& role) {
  LeaseOptions options;
  options.duration = context_.settings.bounds.leaseTermS;
  LeaseClient client(name, context_.settings.nodeName, context_.settings.ip, options, steady_now());
  leases_.emplace(name, RoleLease{std::move(client), role});
}

// Taking and renewing

void LeaseService::on_committed(Seconds now) {
  if (!context_.committed) return;
  for (auto& [name, lease] : leases_) {
    bool const held_before = lease.client.is_holder();
    lease.client.observe(context_.committed->term(name), now);
    if (held_before && !lease.client.is_holder()) report_change(name, held_before, now);
  }
}

void LeaseService::tick(Seconds now) {
  for (auto const& [name, lease] : leases_)
    step(name, now);
  answer_hand_overs(now);
}

void LeaseService::step(std::string const& name, Seconds now) {
  auto& [client, role] = leases_.at(name);
  LeaseClient::Action const action = client.next_action(now, can_hold_leases() && role.is_wanted());
  if (action == LeaseClient::Action::none) return;
  if (action == LeaseClient::Action::hand_over && role.has_call_in_flight()) return;
  submit_proposal(name, client.propose(action, now));
}

void LeaseService::submit_proposal(std::string const& name, LeaseClient::Proposal const& proposal) {
  auto const is_applied = std::make_shared<bool>(false);
  context_.submit(
      [this, name, proposal, is_applied](ReplicatedState& state) {
        RoleLease& lease = leases_.at(name);
        *is_applied = lease.client.apply(state, proposal);
        if (*is_applied) lease.role.amend_lease_change(state);
        return *is_applied;
      },
      [this, name, proposal, is_applied](ReplicatedState const* state) {
        on_proposal_outcome(name, proposal, state != nullptr && *is_applied);
      },
      kLeaseChangePatience);
}

void LeaseService::on_proposal_outcome(std::string const& name, LeaseClient::Proposal const& proposal,
                                       bool is_committed) {
  Seconds const now = steady_now();
  LeaseClient& client = leases_.at(name).client;
  bool const held_before = client.is_holder();
  client.on_result(proposal, is_committed, now);
  report_change(name, held_before, now);
}

/// Logs a change of holding and tells the role.
void LeaseService::report_change(std::string const& name, bool held_before, Seconds now) {
  auto& [client, role] = leases_.at(name);
  if (client.is_holder() == held_before) return;
  if (client.is_holder()) {
    LOG4CPLUS_INFO(logger_, "Acquired the lease of role " << name << ", fencing token " << client.fence() << ".");
    role.on_lease_acquired(now);
  } else {
    LOG4CPLUS_INFO(logger_, "Lost the lease of role " << name << ".");
    role.on_lease_lost();
  }
}

bool LeaseService::can_hold_leases() const {
  return context_.is_incarnation_durable && context_.leaving_since == 0 && context_.in_contact();
}

bool LeaseService::may_act(std::string const& role, Seconds now, Seconds call_duration) const {
  return leases_.at(role).client.may_act(now, call_duration);
}

/// All leases become free for this controller at about the same time; that of the usage reports stands for them.
bool LeaseService::can_take_over_now() const {
  return can_hold_leases() && leases_.at(kUsageRole).client.could_act_at_once(steady_now());
}

// Handing over

void LeaseService::hand_over_all() {
  for (auto& [name, lease] : leases_)
    lease.client.hand_over(successor());
}

bool LeaseService::is_handing_over() const {
  return std::any_of(leases_.begin(), leases_.end(),
                     [](auto const& entry) { return entry.second.client.is_handing_over(); });
}

void LeaseService::on_hand_over_command(HandOverCommand const& command) {
  auto const it = leases_.find(command.duty);
  if (it == leases_.end()) return;
  LeaseClient& client = it->second.client;
  // The order was about an earlier holder of the lease, not about this one.
  if (command.fence != client.fence()) return context_.unmatched.drop(UnmatchedReason::term);
  client.hand_over(command.node);
}

void LeaseService::hand_over_call(evhttp_request* http_request, std::string const& rest) {
  std::size_t const slash = rest.find('/');
  std::string const role = rest.substr(0, slash);
  std::string const node = slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (leases_.count(role) == 0) return context_.api.write(http_request, error_response(404, "no such duty: " + role));
  HandOverLease const order{role, node};
  PendingHandOver const pending{order, http_request, steady_now() + context_.patience()};
  execute_command(context_.submit, order, context_.patience(), [this, pending](CommandResult const& result) {
    if (result.status == CommandStatus::accepted) return context_.api.write(pending.http_request, answer_of(result));
    start_hand_over(pending);
  });
}

void LeaseService::start_hand_over(PendingHandOver pending) {
  if (std::optional<std::string> const obstacle = request_hand_over(pending.order))
    return context_.api.write(pending.http_request, error_response(503, *obstacle));
  hand_overs_.push_back(std::move(pending));
}

/// Hands the lease over if it is ours, else asks its holder to. Returns what stands in the way, if anything.
std::optional<std::string> LeaseService::request_hand_over(HandOverLease const& order) {
  if (!is_connected_node(order.node)) return "no such node in touch: " + order.node;
  Lease const* lease = context_.committed ? context_.committed->term(order.duty) : nullptr;
  if (lease == nullptr) return "nobody has the duty yet";
  LeaseClient& client = leases_.at(order.duty).client;
  if (client.hand_over(order.node) || client.is_handing_over()) return std::nullopt;
  if (lease->ip == context_.settings.ip || !context_.peers.is_up(lease->ip)) return "its holder is not in touch";
  HandOverCommand command;
  command.duty = order.duty;
  command.node = order.node;
  command.fence = lease->fence;
  context_.controllers[lease->ip].link->send(MessageType::hand_over_command, 0, command);
  return std::nullopt;
}

bool LeaseService::is_connected_node(std::string const& node) const {
  if (node == context_.settings.nodeName) return true;
  if (node.empty()) return false;
  return std::any_of(context_.controllers.begin(), context_.controllers.end(),
                     [&](auto const& entry) { return entry.second.node == node && context_.peers.is_up(entry.first); });
}

/// Answers the calls whose lease has arrived by the committed value, and those whose time is up.
void LeaseService::answer_hand_overs(Seconds now) {
  std::erase_if(hand_overs_, [&](PendingHandOver const& pending) {
    CommandResult const result =
        context_.committed ? pending.order.check(*context_.committed) : CommandResult::undecided("no value yet");
    if (result.status != CommandStatus::accepted && now < pending.deadline_at) return false;
    context_.api.write(pending.http_request, answer_of(result));
    return true;
  });
}

/// The node that should take the leases of this one: the nearest that could act at once.
std::string LeaseService::successor() const {
  Member const* best = nullptr;
  if (!context_.committed) return kNoSuccessor;
  for (Member const& member : context_.committed->membership)
    if (can_succeed(member) && (best == nullptr || distance_tier(member) < distance_tier(*best))) best = &member;
  return best == nullptr ? kNoSuccessor : context_.controllers.at(best->ip).node;
}

bool LeaseService::can_succeed(Member const& member) const {
  auto const it = context_.controllers.find(member.ip);
  return member.ip != context_.settings.ip && it != context_.controllers.end() && context_.peers.is_up(member.ip) &&
         it->second.fit && !it->second.node.empty();
}

/// 0: of our zone, 1: of our region, 2: elsewhere.
int LeaseService::distance_tier(Member const& member) const {
  if (member.zone == context_.settings.zone) return 0;
  return member.region == context_.settings.region ? 1 : 2;
}

// Showing

std::string LeaseService::status_json() const {
  return json_object([this](JsonWriter& json) { write_leases(json); });
}

void LeaseService::write_leases(JsonWriter& json) const {
  write_array(json, "duties", [&] {
    if (!context_.committed) return;
    for (Lease const& lease : context_.committed->duties)
      write_object(json, [&] { write_lease(json, lease); });
  });
}

void LeaseService::write_lease(JsonWriter& json, Lease const& lease) const {
  write_member(json, "duty", lease.duty);
  write_member(json, "holder", lease.holder);
  write_member(json, "fence", lease.fence);
  if (!lease.next.empty()) write_member(json, "handedTo", lease.next);
  if (auto const it = leases_.find(lease.duty); it != leases_.end())
    it->second.role.write_status(json, *context_.committed);
}

}  // namespace dockbend
