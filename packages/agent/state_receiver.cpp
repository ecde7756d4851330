#include "agent/state_receiver.hpp"

#include <utility>

namespace dockbend {
namespace {
/// After a difference that does not fit.
Seconds constexpr kCatchUpInterval = 0.3;
/// A server that a complete list lacks is gone if its record has not changed for so long.
Seconds constexpr kAbsentServerAge = 5.0;
}  // namespace

void StateReceiver::on_update(ControllerLink& from, StateUpdate const& update, Seconds now) {
  take_state(from, update.state, update.delta);
  take_servers(update, now);
}

void StateReceiver::on_catch_up_response(ControllerLink& from, CommitNotice const& notice) {
  take_state(from, notice.state, notice.delta);
}

void StateReceiver::take_state(ControllerLink& from, std::string const& state, std::string const& difference) {
  if (!state.empty())
    take(read_state(state), nullptr);
  else if (!difference.empty())
    take_difference(from, read_delta(difference));
}

void StateReceiver::take_servers(StateUpdate const& update, Seconds now) {
  for (ServerRecord const& record : update.rows) {
    u64 const digest = context_.servers.digest();
    if (context_.servers.merge_record(record, now) || digest != context_.servers.digest())
      proxy_.server_changed(record.id);
  }
  if (!update.rows_full) return;
  for (std::string const& id : context_.servers.mark_absent_gone(update.rows, kAbsentServerAge, now))
    proxy_.server_changed(id);
}

void StateReceiver::take_difference(ControllerLink& from, StateDelta const& difference) {
  if (!context_.state || difference.ballot <= context_.state->ballot) return;
  ReplicatedState next = *context_.state;
  if (apply(next, difference)) return take(std::move(next), &difference);
  controllers_.request_catch_up(from, steady_now(), kCatchUpInterval);
}

void StateReceiver::take(ReplicatedState state, StateDelta const* difference) {
  if (context_.state && state.ballot <= context_.state->ballot) return;
  context_.state = std::move(state);
  for (Member const& member : context_.state->membership)
    if (is_ip(member.ip)) controllers_.open(member.ip);
  proxy_.send_state(difference);
  context_.usage.forget_before(UsageWindow(context_.state->to_fix));
  context_.claims.set_membership(*context_.state, steady_now());
  claims_.send_all();
}

}  // namespace dockbend
