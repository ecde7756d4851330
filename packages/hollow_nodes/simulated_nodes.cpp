#include "hollow_nodes/simulated_nodes.hpp"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdio>
#include <utility>

#include "idempotency/key_table.hpp"
#include "server_registry/server_registry.hpp"
#include "wire/frame.hpp"

namespace dockbend {
namespace {

Seconds constexpr kTick = 0.02;
Seconds constexpr kAgentHeartbeatPeriod = 0.6;
Seconds constexpr kServerHeartbeatPeriod = 1.5;
double constexpr kUncountedShare = 0.2;  // of the duration, at its start
Seconds constexpr kRedialDelay = 1, kSilenceLimit = 4;
long constexpr kMostHeartbeatConnections = 20;
int constexpr kHeartbeatTimeoutSeconds = 2;
std::size_t constexpr kHostsPerSubnet = 200;
std::size_t constexpr kServices = 8;
u32 constexpr kClaimTag = 1;

/// How many of `nodes` that each send once a period do so in one tick; the fraction is rounded by chance.
std::size_t due_in_tick(std::size_t nodes, Seconds period) {
  return static_cast<std::size_t>(static_cast<double>(nodes) * kTick / period + random01());
}

}  // namespace

SimulatedNodes::SimulatedNodes(event_base* loop, SimulationOptions options)
    : loop_(loop), options_(std::move(options)) {
  connect_agents();
  open_heartbeat_connections();
}

void SimulatedNodes::connect_agents() {
  agents_.resize(static_cast<std::size_t>(options_.agents));
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    Agent& agent = agents_[index];
    agent.front = "127.9." + std::to_string(index / kHostsPerSubnet) + "." +
                  std::to_string(index % kHostsPerSubnet + 1) + ":8144";
    agent.link = std::make_unique<PeerLink>(loop_, *options_.inner, kRedialDelay, kSilenceLimit);
    agent.link->on_up.connect([this, &agent](PeerLink&) { on_agent_up(agent); });
    agent.link->on_down.connect([this](PeerLink&) { --connected_agents_; });
    agent.link->on_message.connect([this](PeerLink&, Message const& message) { on_message(message); });
  }
}

void SimulatedNodes::open_heartbeat_connections() {
  Address const& control = *options_.control;
  for (long opened = 0; opened < kMostHeartbeatConnections && opened < options_.servers; ++opened) {
    heartbeat_connections_.emplace_back(
        evhttp_connection_base_new(loop_, nullptr, control.ip.c_str(), static_cast<ev_uint16_t>(control.port)));
    evhttp_connection_set_timeout(heartbeat_connections_.back().get(), kHeartbeatTimeoutSeconds);
  }
}

template <codec::Record T>
void SimulatedNodes::send(Agent& agent, MessageType type, u32 tag, T const& record) {
  if (agent.link->ch() == nullptr) return;
  std::string const body = codec::pack(record);
  ++counts_.messages_out;
  counts_.bytes_out += frame::kHeaderLength + body.size();
  agent.link->ch()->send(type, tag, body);
}

void SimulatedNodes::on_agent_up(Agent& agent) {
  HandshakeRequest request;
  request.role = kAgentRole;
  request.ip = agent.front.substr(0, agent.front.find(':'));
  request.zone = options_.zone;
  request.region = options_.region;
  request.front = agent.front;
  send(agent, MessageType::handshake_request, 0, request);
  send(agent, MessageType::subscribe, 0, SubscribeRequest{true, Ballot()});
  ++connected_agents_;
}

void SimulatedNodes::on_message(Message const& message) {
  ++counts_.messages_in;
  counts_.bytes_in += frame::kHeaderLength + message.body.size();
  if (message.kind == MessageType::handshake_response) incarnation_ = message.as<HandshakeResponse>().incarnation;
  if (message.kind == MessageType::catch_up_response)
    if (CommitNotice const notice = message.as<CommitNotice>(); !notice.state.empty())
      epoch_ = codec::unpack<ReplicatedState>(notice.state).epoch;
  if (message.kind == MessageType::claim_response)
    ++(message.as<ClaimResponse>().vote == ClaimVote::granted ? counts_.claims_granted : counts_.claims_refused);
}

/// Sends the part of all heartbeats and claims that is due in one tick.
void SimulatedNodes::send_due_messages() {
  Seconds const now = steady_now();
  for (std::size_t left = due_in_tick(agents_.size(), kAgentHeartbeatPeriod); left > 0 && !agents_.empty(); --left)
    send_agent_heartbeat(agents_[agent_turn_++ % agents_.size()]);
  for (Agent& agent : agents_)
    agent.link->tick(now);
  auto const servers = static_cast<std::size_t>(options_.servers);
  for (std::size_t left = due_in_tick(servers, kServerHeartbeatPeriod); left > 0 && servers > 0; --left)
    send_server_heartbeat(server_turn_++ % servers);
  due_claims_ += options_.claims * kTick;
  for (; due_claims_ >= 1 && !agents_.empty(); due_claims_ -= 1)
    send_claim();
}

void SimulatedNodes::send_agent_heartbeat(Agent& agent) {
  ProxyHeartbeat heartbeat;
  heartbeat.front = agent.front;
  heartbeat.zone = options_.zone;
  heartbeat.region = options_.region;
  heartbeat.ready = true;
  heartbeat.load = 0.3 + 0.2 * random01();
  heartbeat.primary = true;
  send(agent, MessageType::proxy_heartbeat, 0, heartbeat);
}

void SimulatedNodes::send_server_heartbeat(std::size_t server) {
  evhttp_request* const request = evhttp_request_new(
      [](evhttp_request* answer, void* argument) {
        SimulationCounts& counts = static_cast<SimulatedNodes*>(argument)->counts_;
        bool const is_answered = answer != nullptr && evhttp_request_get_response_code(answer) == HTTP_OK;
        ++(is_answered ? counts.heartbeats_answered : counts.heartbeats_failed);
      },
      this);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "x");
  evbuffer_add_printf(evhttp_request_get_output_buffer(request),
                      "{\"service\":\"hollow%zu\",\"address\":\"127.8.%zu.%zu:80\",\"zone\":\"%s\",\"generation\":"
                      "\"v1\",\"capacity\":4,\"state\":\"ready\",\"coldLeftS\":0,\"callSeq\":%llu}",
                      server % kServices, server / kHostsPerSubnet, server % kHostsPerSubnet + 1, options_.zone.c_str(),
                      static_cast<unsigned long long>(++heartbeat_sequence_));
  evhttp_make_request(heartbeat_connections_[server % heartbeat_connections_.size()].get(), request, EVHTTP_REQ_POST,
                      ("/-/Servers.Heartbeat/hollow-" + std::to_string(server)).c_str());
}

void SimulatedNodes::send_claim() {
  ClaimRequest claim;
  claim.key = "facsimile/" + std::to_string(random64());
  claim.holder = random64() | 1;  // never 0
  claim.epoch = epoch_;
  claim.incarnation = incarnation_;
  claim.work_ms = 1000;
  send(agents_[random64() % agents_.size()], MessageType::claim_request, kClaimTag, claim);
}

SimulationReport SimulatedNodes::run() {
  Seconds const started_at = steady_now(), uncounted = options_.duration * kUncountedShare;
  ProcessUsage before;
  bool is_counting = false;
  PeriodicTimer const timer(loop_, kTick, [&] {
    Seconds const elapsed = steady_now() - started_at;
    if (!is_counting && elapsed > uncounted) {
      is_counting = true;
      before = process_usage(options_.controller_pid);
      counts_ = {};
    }
    if (elapsed > options_.duration)
      event_base_loopbreak(loop_);
    else
      send_due_messages();
  });
  event_base_dispatch(loop_);
  ProcessUsage const after = process_usage(options_.controller_pid);
  return {counts_, connected_agents_, options_.duration - uncounted, after.processor_time - before.processor_time,
          after.resident_megabytes};
}

std::string render_as_json(SimulationOptions const& options, SimulationReport const& report) {
  SimulationCounts const& counts = report.counts;
  auto const rate = [&](u64 count) { return static_cast<double>(count) / report.counted_time; };
  auto const whole = [](u64 count) { return static_cast<unsigned long long>(count); };
  char text[1024];  // beyond the members and twenty digits for each
  std::snprintf(
      text, sizeof text,
      "{\"sites\":%ld,\"up\":%llu,\"servers\":%ld,\"claimsPerS\":%.0f,\"seconds\":%.1f,\"archivistCores\":%.4f,"
      "\"archivistMb\":%.1f,"
      "\"lettersInPerS\":%.1f,\"bytesInPerS\":%.0f,\"lettersOutPerS\":%.1f,\"bytesOutPerS\":%.0f,\"beatsPerS\":%.1f,"
      "\"beatsFailed\":%llu,"
      "\"grantedPerS\":%.1f,\"refused\":%llu}\n",
      options.agents, whole(report.connected_agents), options.servers, options.claims, report.counted_time,
      report.controller_processor_time / report.counted_time, report.controller_megabytes, rate(counts.messages_in),
      rate(counts.bytes_in), rate(counts.messages_out), rate(counts.bytes_out), rate(counts.heartbeats_answered),
      whole(counts.heartbeats_failed), rate(counts.claims_granted), whole(counts.claims_refused));
  return text;
}

}  // namespace dockbend
