#include "controller/controller.hpp"

#include <event2/event.h>

#include <algorithm>

#include "transport/counters.hpp"
namespace dockbend {

namespace {

constexpr Seconds kTickSeconds = 0.1;
constexpr Seconds kSlowStepSeconds = 0.6;
constexpr Seconds kStallSeconds = 1.0;  // between two ticks: this process itself did not run
constexpr Seconds kMembershipWarningAfterSeconds = 20;
constexpr Seconds kCounterLogSeconds = 10;
constexpr Seconds kMinLeaveSeconds = 0.5;      // what was sent last gets out meanwhile
constexpr Seconds kLeaveReserveSeconds = 1.5;  // of the grace period, for the end of the process
constexpr double kMissedHeartbeats = 3;        // after so many periods a server counts as silent

}  // namespace

Controller::Controller(event_base* loop, Settings const& settings)
    : context_(loop, settings),
      registry_(context_),
      directory_(context_),
      rollouts_(context_, directory_),
      leases_(context_),
      usage_(context_, leases_),
      quotas_(context_, directory_, leases_),
      surveys_(context_, directory_, registry_),
      drains_(context_, directory_, registry_, surveys_, leases_),
      consensus_(context_),
      former_keys_(context_),
      session_listener_(loop, Address{settings.ip, settings.innerFirst}),
      idempotency_(load_disk()),
      membership_(context_, *idempotency_, steady_now()),
      prober_(context_),
      gossip_(services(), prober_),
      peers_(services(), prober_, gossip_),
      sessions_(services(), prober_, gossip_),
      control_api_(services()) {
  context_.submit = [this](auto change, auto done, Seconds patience) {
    consensus_.submit(std::move(change), std::move(done), patience);
  };
  context_.controller = [this](std::string const& ip) -> PeerController& { return peers_.find_or_connect(ip); };
  connect_signals();
  connect_to_seeds();
  control_listener_ = listen("control", [this](evhttp_request* request) { control_api_.handle(request); });
  directory_listener_ = listen("directory", [this](evhttp_request* request) { directory_.directory(request); });
  started_at_ = steady_now();
  consensus_.publish_restored();
  timer_ = std::make_unique<PeriodicTimer>(loop, kTickSeconds, [this] { tick(); });
}

ControllerServices Controller::services() {
  return {context_,  consensus_, membership_, *idempotency_, registry_, directory_,
          rollouts_, leases_,    usage_,      quotas_,       surveys_,  drains_};
}

std::unique_ptr<IdempotencyService> Controller::load_disk() {
  consensus_.on_first_write_failed.connect([this] {
    LOG4CPLUS_ERROR(logger_, "The first write to the disk failed; the process ends.");
    event_base_loopbreak(context_.loop);
  });
  StoredState const stored = consensus_.open();
  if (stored.value) former_keys_.load(*stored.value);
  auto idempotency = std::make_unique<IdempotencyService>(context_, stored.keys_filled);
  idempotency->load(stored.keys, stored.answers);
  try {  // rows that can't be read come again with the heartbeats
    for (std::string const& row : stored.servers)
      registry_.roll().restore(codec::unpack<ServerRecord>(row), steady_now());
    if (!stored.sites.empty()) directory_.load(codec::unpack<StateUpdate>(stored.sites).sites, steady_now());
  } catch (codec::MalformedMessage const&) {
    LOG4CPLUS_WARN(logger_, "Rows of servers or proxies on disk are malformed; the rest of them is left out.");
  }
  consensus_.schedule_first_finish(steady_now());
  return idempotency;
}

void Controller::connect_signals() {
  consensus_.on_view().connect([this] {
    usage_.on_windows_fixed(context_.view.to_fix);
    former_keys_.on_view();
  });
  consensus_.on_items_changed().connect(
      [this](std::vector<ConfigItem> const& old_items, std::vector<ConfigItem> const& changed) {
        former_keys_.on_items_changed(old_items, changed);
      });
  consensus_.on_committed.connect([this](bool membership_changed) { on_state_committed(membership_changed); });
  idempotency_->on_whole.connect([this] { membership_.update_own_entry_soon(); });
  prober_.on_change.connect([this](bool is_in_contact) { on_contact_changed(is_in_contact); });
  session_listener_.on_channel.connect([this](ConnectionPtr connection) { sessions_.accept(std::move(connection)); });
}

void Controller::connect_to_seeds() {
  for (Address const& seed : context_.settings.seeds)
    peers_.find_or_connect(seed.ip);
}

std::unique_ptr<HttpListener> Controller::listen(char const* name, HttpListener::Handler handler) {
  auto const bound = context_.settings.bind.find(name);
  if (bound == context_.settings.bind.end()) return nullptr;
  return std::make_unique<HttpListener>(context_.loop, bound->second,
                                        [this, handler = std::move(handler)](evhttp_request* request) {
                                          context_.api.begin(request);
                                          context_.api.guard(request, handler);
                                        });
}

void Controller::settings(Settings const& changed) {
  context_.settings.seeds = changed.seeds;
  context_.settings.bounds = changed.bounds;
  context_.settings.rollout = changed.rollout;
  context_.contact.set_options(ContactOptions::from_bounds(context_.settings.bounds));
  drains_.on_settings_changed();
  membership_.on_settings_changed();
  connect_to_seeds();
}

void Controller::term() {
  if (context_.leaving_since > 0) return;
  context_.leaving_since = steady_now();
  context_.api.close_connections();
  leases_.hand_over_all();
  membership_.on_term(context_.leaving_since);
}

void Controller::on_state_committed(bool membership_changed) {
  prober_.update_voters();
  leases_.on_committed(steady_now());
  usage_.on_committed();
  drains_.on_committed();
  if (membership_changed) idempotency_->roster_changed();
}

void Controller::on_contact_changed(bool is_in_contact) {
  if (is_in_contact) {  // nobody could be heard meanwhile
    Seconds const now = steady_now();
    registry_.roll().restart_timeouts(now);
    for (auto& [ip, peer] : context_.controllers)
      peer.heard = std::max(peer.heard, now);
  }
  sessions_.notify_contact();
}

void Controller::tick() {
  Seconds const now = steady_now();
  forgive_own_stall(now);
  run_fast_steps(now);
  if (now - last_slow_step_at_ >= kSlowStepSeconds) {
    last_slow_step_at_ = now;
    run_slow_steps(now);
  }
}

void Controller::forgive_own_stall(Seconds now) {
  if (last_tick_at_ > 0 && now - last_tick_at_ > kStallSeconds) {  // others may have reported, unheard
    registry_.roll().restart_timeouts(now);
    directory_.catalog().restart_timeouts(now);
  }
  last_tick_at_ = now;
}

void Controller::run_fast_steps(Seconds now) {
  peers_.tick_links(now);
  prober_.detect_change();
  consensus_.tick(now);
  rollouts_.tick(now);
  leases_.tick(now);
  usage_.tick(now);
  former_keys_.tick(now);
  quotas_.tick(now);
  drains_.tick(now);
  directory_.tell_sites(now);
  membership_.tick(now);
  idempotency_->rebuild(now);
  registry_.departures().tick(now);
  consensus_.finish_open_state(now);
  if (now - last_slow_step_at_ < kSlowStepSeconds) prober_.probe_due(now);
}

void Controller::run_slow_steps(Seconds now) {
  expire_old_entries(now);
  sessions_.end_silent(now);
  gossip_.send_round(now);
  prober_.probe_due(now);  // after the digests, which are probes too
  warn_of_few_members(now);
  log_counters(now);
  end_if_left(now);
}

void Controller::expire_old_entries(Seconds now) {
  // Out of contact heartbeats are heard but not acknowledged, and servers go to others: their silence says nothing.
  bool const could_be_heard = now - started_at_ > kMissedHeartbeats * context_.settings.beatPeriodS;
  if (could_be_heard && prober_.was_in_contact()) registry_.tick(now);
  registry_.forget_gone(now);
  directory_.catalog().drop_expired(now);
  directory_.count_sites(now);
  idempotency_->forget_old(now);
  rollouts_.forget_forwarded(now);
  surveys_.forget_forwarded(now);
}

void Controller::warn_of_few_members(Seconds now) {
  if (has_warned_of_few_members_ || now - started_at_ <= kMembershipWarningAfterSeconds || !context_.committed) return;
  std::size_t const tolerated = consensus_.tolerated_disk_losses();
  if (tolerated >= context_.settings.toleranceMachines) return;
  has_warned_of_few_members_ = true;
  LOG4CPLUS_WARN(logger_, "A membership of " << context_.committed->membership.size() << " tolerates the loss of "
                                             << tolerated << " disks, " << context_.settings.toleranceMachines
                                             << " are to be tolerated. More controllers are needed.");
}

void Controller::log_counters(Seconds now) {
  if (now - counters_logged_at_ <= kCounterLogSeconds) return;
  counters_logged_at_ = now;
  log_rejected_input();
  if (std::string const sent = sent_by_kind(); !sent.empty())
    LOG4CPLUS_INFO(logger_, "Sent by message type, messages/bytes: " << sent << ".");
  if (std::string const unmatched = context_.unmatched.news(); !unmatched.empty())
    LOG4CPLUS_INFO(logger_, "Ignored, for they answer no open request: " << unmatched << ".");
}

void Controller::end_if_left(Seconds now) {
  if (context_.leaving_since == 0) return;
  Seconds const leaving_for = now - context_.leaving_since;
  if (leaving_for <= kMinLeaveSeconds) return;
  std::string const unfinished = unfinished_work(now);
  bool const has_no_time_left = leaving_for > context_.settings.bounds.gracePeriodS - kLeaveReserveSeconds;
  bool const ends = unfinished.empty() || has_no_time_left;
  LOG4CPLUS_INFO(logger_, (ends ? "Shut down after " : "Shutting down for ")
                              << leaving_for << " s. Unfinished: " << (unfinished.empty() ? "nothing" : unfinished)
                              << ".");
  if (ends) event_base_loopbreak(context_.loop);
}

std::string Controller::unfinished_work(Seconds now) const {
  std::string unfinished;
  auto const add_if = [&unfinished](bool is_unfinished, char const* work) {
    if (!is_unfinished) return;
    if (!unfinished.empty()) unfinished += ", ";
    unfinished += work;
  };
  add_if(!consensus_.is_idle(), "rounds of consensus");
  add_if(!registry_.departures().is_idle(), "departures of servers");
  add_if(leases_.is_handing_over(), "leases to hand over");
  add_if(membership_.is_leave_pending(now), "its place in the membership");
  return unfinished;
}

}  // namespace dockbend
