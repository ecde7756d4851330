#include "controller/membership_service.hpp"

namespace dockbend {

MembershipService::MembershipService(ControllerContext& h, IdempotencyService& k, Seconds now)
    : context_(h), idempotency_(k), watch_(plan(h.settings.bounds), now), join_at_(now + 0.3 + 1.2 * random01()) {}

void MembershipService::tick(Seconds now) {
  if (last_ > 0 && now - last_ > 1.0) watch_.forgive(now);
  last_ = now;
  if (!context_.committed) return;
  if (context_.committed->epoch != seen_ || !any_) see(now);
  if (!context_.in_contact()) watch_.forgive(now);
  for (auto const& [ip, m] : context_.controllers)
    if (m.link && m.link->up()) watch_.heard(ip, std::max(m.heard, m.link->heard()));
  join(now);
  replace(now);
  leave(now);
}

void MembershipService::hurry() {
  join_at_ = 0;
}

void MembershipService::admit(Member const& me) {
  context_.submit([me](ReplicatedState& s) { return s.admit(me); }, [](ReplicatedState const*) {}, 2.0);
}

bool MembershipService::holds_up(Seconds now) const {
  return context_.leaving_since > 0 && !left_ && heir(now) &&
         now - context_.leaving_since < context_.settings.bounds.gracePeriodS - 1.5;
}

void MembershipService::term(Seconds now) {
  if (heir(now))
    LOG4CPLUS_INFO(logger_, "A node of zone " << context_.settings.zone << " came in our place: we leave the roster.");
}

MembershipMonitorOptions MembershipService::plan(Bounds const& b) {
  MembershipMonitorOptions p;
  p.silent = std::max(1.0, 0.5 * b.convergeS);
  p.recent = b.convergeS + b.gracePeriodS;
  p.horizon = b.keyHorizonS * 1.25 + 10;
  return p;
}

FailureTolerance MembershipService::tolerance() const {
  return {static_cast<u32>(context_.settings.toleranceMachines), static_cast<u32>(context_.settings.toleranceZones),
          static_cast<u32>(context_.settings.toleranceRegions)};
}

Member const* MembershipService::me() const {
  Member const* m = context_.committed ? context_.committed->member(context_.settings.ip) : nullptr;
  return m != nullptr && m->incarnation == context_.acceptor->incarnation() ? m : nullptr;
}

char const* MembershipService::state_of(Member const& m) const {
  if (m.ip == context_.settings.ip && context_.leaving_since > 0) return "leaving";
  return !context_.up(m.ip) ? "silent" : m.whole ? "whole" : "catching up";
}

void MembershipService::see(Seconds now) {
  bool const was = any_ && in_;
  watch_.see(*context_.committed, now);
  seen_ = context_.committed->epoch;
  any_ = true;
  in_ = me() != nullptr;
  if (was && !in_ && context_.leaving_since == 0)
    LOG4CPLUS_WARN(logger_, "We were taken out of the roster. What we held of keys counts no more.");
  join_at_ = std::min(join_at_, now + 0.3 * random01());
}

void MembershipService::forget_wider(ReplicatedState& s, std::optional<Epoch> const& settled) {
  if (settled && s.epoch == *settled) s.largest_membership = static_cast<u32>(s.membership.size());
}

std::string MembershipService::usher() const {
  for (Member const& m : context_.committed->membership)
    if (context_.up(m.ip)) return m.ip == context_.settings.ip ? std::string() : m.ip;
  return "";
}

void MembershipService::join(Seconds now) {
  if (!context_.born || context_.leaving_since > 0 || now < join_at_) return;
  Incarnation const incarnation = context_.acceptor->incarnation();
  if (context_.committed->is_retired(context_.settings.ip, incarnation)) return;
  Member const* m = me();
  bool const whole = idempotency_.ledger().is_complete();
  if (m != nullptr && !m->zone.empty() && m->whole == whole) return;
  join_at_ = now + 0.6 + 0.6 * random01();
  Member x;
  x.ip = context_.settings.ip;
  x.incarnation = incarnation;
  x.zone = context_.settings.zone;
  x.region = context_.settings.region;
  auto const it = context_.settings.bind.find("control");
  x.control = it == context_.settings.bind.end() ? 0 : it->second.port;
  x.whole = whole && m != nullptr;
  if (m != nullptr) x.since = m->since;
  // One node brings many joins through in one round; who waits in vain does it itself.
  if (std::string const by = usher(); !asked_usher_ && !by.empty()) {
    asked_usher_ = true;
    context_.controllers[by].link->send(MessageType::join_request, 0, x);
    return;
  }
  asked_usher_ = false;
  admit(x);
}

void MembershipService::replace(Seconds now) {
  if (swapping_ || context_.leaving_since > 0 || me() == nullptr || !context_.in_contact()) return;
  auto const x = watch_.swap(*context_.committed, context_.settings.ip, now);
  if (!x || (!usher().empty() && watch_.silence(x->gone.ip, now) < 2 * plan(context_.settings.bounds).silent)) return;
  swapping_ = true;
  auto const out = std::make_shared<bool>(false);
  context_.submit(
      [x = *x, e = watch_.settled(now), out](ReplicatedState& s) {
        forget_wider(s, e);
        Member const* const by = s.member(x.by.ip);
        Member const* const m = s.member(x.gone.ip);
        *out = by != nullptr && by->whole && by->same_disk(x.by) && m != nullptr && m->since == x.gone.since &&
               s.remove_member(x.gone.ip, x.gone.incarnation);
        return *out;
      },
      [this, x = *x, out](ReplicatedState const* s) {
        swapping_ = false;
        if (s == nullptr || !*out) return;
        watch_.used(x.by.ip);
        LOG4CPLUS_INFO(logger_,
                       "Member " << x.gone.ip << " was silent and is out; " << x.by.ip << " stands in its place.");
      },
      2.0);
}

bool MembershipService::heir(Seconds now) const {
  if (!context_.committed || me() == nullptr) return false;
  if (watch_.newcomer(*context_.committed, context_.settings.zone, context_.settings.ip, now) != nullptr) return true;
  for (auto const& [id, p] : context_.sessions)
    if (p.hello.role == 1 && p.hello.zone == context_.settings.zone && p.hello.ip != context_.settings.ip && p.ch &&
        p.ch->up() && context_.committed->member(p.hello.ip) == nullptr)
      return true;
  return false;
}

void MembershipService::leave(Seconds now) {
  if (context_.leaving_since == 0 || left_ || asking_) return;
  if (me() == nullptr) {
    left_ = any_;
    return;
  }
  Member const* const y = watch_.newcomer(*context_.committed, context_.settings.zone, context_.settings.ip, now);
  if (y == nullptr || !y->whole) return;
  if (now - context_.leaving_since < 0.5 * context_.settings.bounds.gracePeriodS && !idempotency_.hand_on(y->ip))
    return;
  asking_ = true;
  auto const why = std::make_shared<std::string>();
  context_.submit(
      [ip = context_.settings.ip, incarnation = context_.acceptor->incarnation(), t = tolerance(), why,
       e = watch_.settled(now)](ReplicatedState& s) {
        forget_wider(s, e);
        return remove_if_harmless(s, ip, incarnation, t, *why);
      },
      [this, why](ReplicatedState const* s) {
        asking_ = false;
        if (s == nullptr) return;
        left_ = true;  // out, or not to go: a restart then
        if (why->empty())
          LOG4CPLUS_INFO(logger_, "We left the roster.");
        else
          LOG4CPLUS_WARN(logger_, "We stay in the roster: " << *why << ".");
      },
      1.0);
}

void MembershipService::remove(evhttp_request* r, std::string const& ip) {
  if (context_.leaving_since > 0) return context_.write(r, error_response(503, "leaving"));
  struct Out {
    bool known = true;
    std::string why;
  };
  auto const o = std::make_shared<Out>();
  context_.submit(
      [ip, o, t = tolerance(), e = watch_.settled(steady_now())](ReplicatedState& s) {
        forget_wider(s, e);
        Member const* const m = s.member(ip);
        o->why.clear();
        o->known = m != nullptr ||
                   std::any_of(s.retired.begin(), s.retired.end(), [&](RetiredMember const& x) { return x.ip == ip; });
        if (m == nullptr) return false;
        RetiredMember x;
        x.ip = ip;
        x.incarnation = m->incarnation;
        if (!remove_if_harmless(s, ip, x.incarnation, t, o->why)) return false;
        s.retired.push_back(x);
        while (s.retired.size() > most_retired)
          s.retired.erase(s.retired.begin());
        return true;
      },
      [this, r, ip, o](ReplicatedState const* s) {
        if (s == nullptr) return context_.write(r, error_response(503, "no majority in time"));
        if (!o->known) return context_.write(r, error_response(404, "no such member: " + ip));
        if (!o->why.empty()) return context_.write(r, error_response(409, ip + " stays: " + o->why));
        context_.write(r, ApiResponse{200, "{}"});
      },
      context_.patience());
}

void MembershipService::add(evhttp_request* r, std::string const& ip) {
  if (context_.leaving_since > 0) return context_.write(r, error_response(503, "leaving"));
  auto const known = std::make_shared<bool>(false);
  context_.submit(
      [ip, known](ReplicatedState& s) {
        std::size_t const n = std::erase_if(s.retired, [&](RetiredMember const& x) { return x.ip == ip; });
        *known = *known || n > 0 || s.member(ip) != nullptr;  // a round that stood unseen is met again
        return n > 0;
      },
      [this, r, ip, known](ReplicatedState const* s) {
        if (s == nullptr) return context_.write(r, error_response(503, "no majority in time"));
        // Nobody needs to be told beforehand: a new node comes in by itself.
        if (!*known && context_.controllers.count(ip) == 0)
          return context_.write(r,
                                error_response(404, ip + " has not been heard of; start it and it comes in by itself"));
        context_.write(r, ApiResponse{200, "{}"});
      },
      context_.patience());
}

std::string MembershipService::list() const {
  rapidjson::StringBuffer sb;
  rapidjson::Writer<rapidjson::StringBuffer> w(sb);
  w.StartObject();
  write_members(w);
  w.EndObject();
  return std::string(sb.GetString(), sb.GetSize());
}

}  // namespace dockbend
