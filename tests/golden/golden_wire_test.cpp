// Frames, records and JSON texts as they are on the wire, against golden files. See golden.hpp for how
// the files are written and golden_fields.hpp for how records are filled.
#include <criterion/criterion.h>

#include "configuration/configuration.hpp"
#include "support/golden_fields.hpp"
#include "support/golden_file.hpp"
#include "wire/frame.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
u32 constexpr kTag = 0x01020304;

// A frame::Source over bytes in memory.
struct ByteSource {
  std::string bytes;
  std::size_t at = 0;
  bool open() const { return true; }
  std::size_t size() const { return bytes.size() - at; }
  void peek(u8* to) const { std::memcpy(to, bytes.data() + at, frame::kHeaderLength); }
  void take(std::string& body) {
    at += frame::kHeaderLength;
    body = bytes.substr(at, body.size());
    at += body.size();
  }
};

std::string frame_of(MessageType kind, std::string const& body) {
  u8 head[frame::kHeaderLength];
  frame::write_head(head, frame::Header{static_cast<u32>(body.size()), static_cast<u8>(kind), kTag});
  return std::string(head, head + frame::kHeaderLength) + body;
}
template <class E>
std::string number(E value) {
  return std::to_string(static_cast<unsigned>(value));
}

// Encodes a frame with a filled record, and decodes the golden one.
template <class T>
void check_message(GoldenFile& file, std::string const& label, MessageType kind) {
  std::string const golden = from_hex(file.check(label, to_hex(frame_of(kind, codec::pack(filled<T>())))));
  std::size_t frames = 0;
  auto const error = frame::each(ByteSource{golden}, [&](frame::Header const& head, std::string const& body) {
    ++frames;
    cr_expect(head.kind == static_cast<u8>(kind) && head.tag == kTag && head.size == body.size(), "%s", label.c_str());
    cr_expect(codec::pack(codec::unpack<T>(body)) == codec::pack(filled<T>()), "%s decodes to another record",
              label.c_str());
  });
  cr_expect(!error && frames == 1, "%s is not one frame", label.c_str());
}

// The record whole; what an older sender sends that knows only the first fields; and each
// true or false alone, for two of them that change places are the same bytes in a filled record.
template <class T>
void check_record(GoldenFile& file, std::string const& label) {
  std::string const whole = from_hex(file.check(label, to_hex(codec::pack(filled<T>()))));
  cr_expect(codec::pack(codec::unpack<T>(whole)) == whole, "%s decodes to another record", label.c_str());
  for (std::size_t fields = 0; fields < GoldenFields<T>::kCount; ++fields) {
    std::string const shorter = codec::pack(filled_first<T>(fields));
    cr_expect(whole.compare(0, shorter.size(), shorter) == 0 && shorter.size() < whole.size(),
              "%s: its first %zu fields are not where they were", label.c_str(), fields);
    T const decoded = codec::unpack<T>(whole.substr(0, shorter.size()));
    cr_expect(codec::pack(decoded) == shorter, "%s: lacking fields are not zero", label.c_str());
  }
  T counted{};
  std::size_t place = 0;
  GoldenFields<T>::each(counted, [&](auto& field) {
    ++place;
    if constexpr (std::is_same_v<std::decay_t<decltype(field)>, bool>) {
      T alone{};
      std::size_t at = 0;
      GoldenFields<T>::each(alone, [&](auto& other) {
        if constexpr (std::is_same_v<std::decay_t<decltype(other)>, bool>)
          other = ++at == place;
        else
          ++at;
      });
      file.check(label + "-only-" + std::to_string(place), to_hex(codec::pack(alone)));
    }
  });
}

template <class T>
void check_json(GoldenFile& file, std::string const& label) {
  std::string const golden = file.check(label, json::render(filled<T>(32)));
  file.check(label + "-empty", json::render(T{}));
  cr_expect(json::render(json::parse_as<T>(golden)) == golden, "%s reads as another record", label.c_str());
}
}  // namespace

Test(golden_wire, frame_header) {
  GoldenFile file("frame-header.txt");
  u8 head[frame::kHeaderLength];
  frame::write_head(head, frame::Header{0x01020304, 0x20, 0x0a0b0c0d});
  std::string const golden = from_hex(file.check("header", to_hex(std::string(head, head + frame::kHeaderLength))));
  cr_assert_eq(golden.size(), frame::kHeaderLength);
  frame::Header const read = frame::read_head(reinterpret_cast<u8 const*>(golden.data()));
  cr_expect(read.size == 0x01020304 && read.kind == 0x20 && read.tag == 0x0a0b0c0d);
  file.check("header-length", std::to_string(frame::kHeaderLength));
  file.check("longest-body", std::to_string(frame::kMaxBodyBytes));
  file.check("kind-deflated", std::to_string(frame::kDeflatedKind));
  file.finish();
}

// A deflated body that was made once must inflate for ever; the bytes of a new one are zlib's business.
Test(golden_wire, deflated_body) {
  GoldenFile file("deflated-body.txt");
  std::string const body(5000, 'x');
  if (writes_golden()) {
    file.check("deflated", to_hex(frame::deflate(7, body)));
    file.finish();
    return;
  }
  std::ifstream in(golden_path("deflated-body.txt"));
  std::string label, hex;
  in >> label >> hex;
  u8 kind = 0;
  cr_expect(frame::inflate(from_hex(hex), kind) == body);
  cr_expect_eq(kind, 7);
}

Test(golden_wire, kind_numbers) {
  GoldenFile file("kinds.txt");
  file.check("kind-001", number(MessageType::ping));
  file.check("kind-002", number(MessageType::handshake_request));
  file.check("kind-003", number(MessageType::handshake_response));
  file.check("kind-004", number(MessageType::proxy_heartbeat));
  file.check("kind-005", number(MessageType::proxy_heartbeat_response));
  file.check("kind-006", number(MessageType::subscribe));
  file.check("kind-007", number(MessageType::state_update));
  file.check("kind-010", number(MessageType::prepare_request));
  file.check("kind-011", number(MessageType::prepare_response));
  file.check("kind-012", number(MessageType::accept_request));
  file.check("kind-013", number(MessageType::accept_response));
  file.check("kind-014", number(MessageType::commit_notice));
  file.check("kind-015", number(MessageType::catch_up_request));
  file.check("kind-016", number(MessageType::catch_up_response));
  file.check("kind-017", number(MessageType::state_chunk));
  file.check("kind-020", number(MessageType::claim_request));
  file.check("kind-021", number(MessageType::claim_response));
  file.check("kind-022", number(MessageType::release_request));
  file.check("kind-023", number(MessageType::store_answer));
  file.check("kind-024", number(MessageType::fetch_answer_request));
  file.check("kind-025", number(MessageType::fetch_answer_response));
  file.check("kind-026", number(MessageType::key_copy_request));
  file.check("kind-027", number(MessageType::key_copy_response));
  file.check("kind-030", number(MessageType::server_records));
  file.check("kind-031", number(MessageType::digest));
  file.check("kind-032", number(MessageType::digest_response));
  file.check("kind-033", number(MessageType::store_departures_request));
  file.check("kind-034", number(MessageType::store_departures_response));
  file.check("kind-040", number(MessageType::acquire_key_request));
  file.check("kind-041", number(MessageType::acquire_key_response));
  file.check("kind-042", number(MessageType::key_outcome));
  file.check("kind-043", number(MessageType::proxy_load));
  file.check("kind-044", number(MessageType::leaving));
  file.check("kind-050", number(MessageType::stage_request));
  file.check("kind-051", number(MessageType::stage_response));
  file.check("kind-052", number(MessageType::rollout_status));
  file.check("kind-054", number(MessageType::stage_forward_request));
  file.check("kind-060", number(MessageType::proxy_records));
  file.check("kind-061", number(MessageType::clock_reading));
  file.check("kind-062", number(MessageType::usage_update));
  file.check("kind-063", number(MessageType::quota_lease_request));
  file.check("kind-064", number(MessageType::quota_lease_response));
  file.check("kind-065", number(MessageType::hand_over_command));
  file.check("kind-066", number(MessageType::survey_request));
  file.check("kind-067", number(MessageType::survey_response));
  file.check("kind-068", number(MessageType::drain_instruction));
  file.check("kind-070", number(MessageType::relay_request));
  file.check("kind-071", number(MessageType::relay_response));
  file.check("kind-072", number(MessageType::proxy_records_request));
  file.check("kind-073", number(MessageType::join_request));
  file.check("kind-080", number(MessageType::contact_probe));
  file.check("kind-081", number(MessageType::contact_probe_response));
  file.check("kind-255", number(MessageType::deflated));
  file.finish();
}

Test(golden_wire, enumeration_numbers) {
  GoldenFile file("enumerations.txt");
  file.check("enumeration-01-0", number(schema::RouteKind::idempotent));
  file.check("enumeration-01-1", number(schema::RouteKind::effectful));
  file.check("enumeration-01-2", number(schema::RouteKind::keyed));
  file.check("enumeration-01-3", number(schema::RouteKind::inflow));
  file.check("enumeration-02-0", number(DrainStage::waiting));
  file.check("enumeration-02-1", number(DrainStage::cordoned));
  file.check("enumeration-02-2", number(DrainStage::draining));
  file.check("enumeration-02-3", number(DrainStage::empty));
  file.check("enumeration-02-4", number(DrainStage::released));
  file.check("enumeration-02-5", number(DrainStage::back));
  file.check("enumeration-03-0", number(DrainRunState::running));
  file.check("enumeration-03-1", number(DrainRunState::paused));
  file.check("enumeration-03-2", number(DrainRunState::aborted));
  file.check("enumeration-03-3", number(DrainRunState::done));
  file.check("enumeration-04-0", number(RolloutPhase::holding));
  file.check("enumeration-04-1", number(RolloutPhase::paused));
  file.check("enumeration-04-2", number(RolloutPhase::stopped));
  file.check("enumeration-04-3", number(RolloutPhase::committing));
  file.check("enumeration-04-4", number(RolloutPhase::done));
  file.check("enumeration-04-5", number(RolloutPhase::fell_back));
  file.check("enumeration-04-6", number(RolloutPhase::aborted));
  file.check("enumeration-04-7", number(RolloutPhase::overtaken));
  file.check("enumeration-05-0", number(ServerState::ready));
  file.check("enumeration-05-1", number(ServerState::draining));
  file.check("enumeration-05-2", number(ServerState::gone));
  file.check("enumeration-06-0", number(AcquireResult::run));
  file.check("enumeration-06-1", number(AcquireResult::repeat));
  file.check("enumeration-06-2", number(AcquireResult::at_work));
  file.check("enumeration-06-3", number(AcquireResult::lost));
  file.check("enumeration-06-4", number(AcquireResult::unavailable));
  file.check("enumeration-07-0", number(KeyOutcome::not_run));
  file.check("enumeration-07-1", number(KeyOutcome::returned));
  file.check("enumeration-07-2", number(KeyOutcome::lost));
  file.check("enumeration-08-0", number(ClaimVote::granted));
  file.check("enumeration-08-1", number(ClaimVote::held));
  file.check("enumeration-08-2", number(ClaimVote::epoch));
  file.check("enumeration-08-3", number(ClaimVote::unready));
  file.finish();
}

Test(golden_wire, messages) {
  GoldenFile file("messages.txt");
  // Bodies of these are empty.
  file.check("message-001", to_hex(frame_of(MessageType::ping, "")));
  file.check("message-044", to_hex(frame_of(MessageType::leaving, "")));
  file.check("message-080", to_hex(frame_of(MessageType::contact_probe, "")));
  check_message<HandshakeRequest>(file, "message-002", MessageType::handshake_request);
  check_message<HandshakeResponse>(file, "message-003", MessageType::handshake_response);
  check_message<ProxyHeartbeat>(file, "message-004", MessageType::proxy_heartbeat);
  check_message<ProxyHeartbeatResponse>(file, "message-005", MessageType::proxy_heartbeat_response);
  check_message<SubscribeRequest>(file, "message-006", MessageType::subscribe);
  check_message<StateUpdate>(file, "message-007", MessageType::state_update);
  check_message<PrepareRequest>(file, "message-010", MessageType::prepare_request);
  check_message<PrepareResponse>(file, "message-011", MessageType::prepare_response);
  check_message<AcceptRequest>(file, "message-012", MessageType::accept_request);
  check_message<AcceptResponse>(file, "message-013", MessageType::accept_response);
  check_message<CommitNotice>(file, "message-014", MessageType::commit_notice);
  check_message<CatchUpRequest>(file, "message-015", MessageType::catch_up_request);
  check_message<CommitNotice>(file, "message-016", MessageType::catch_up_response);
  check_message<StateChunk>(file, "message-017", MessageType::state_chunk);
  check_message<ClaimRequest>(file, "message-020", MessageType::claim_request);
  check_message<ClaimResponse>(file, "message-021", MessageType::claim_response);
  check_message<ReleaseRequest>(file, "message-022", MessageType::release_request);
  check_message<StoredAnswer>(file, "message-023", MessageType::store_answer);
  check_message<FetchAnswerRequest>(file, "message-024", MessageType::fetch_answer_request);
  check_message<FetchAnswerResponse>(file, "message-025", MessageType::fetch_answer_response);
  check_message<KeyCopyRequest>(file, "message-026", MessageType::key_copy_request);
  check_message<KeyCopyResponse>(file, "message-027", MessageType::key_copy_response);
  check_message<StateUpdate>(file, "message-030", MessageType::server_records);
  check_message<GossipDigest>(file, "message-031", MessageType::digest);
  check_message<GossipDigest>(file, "message-032", MessageType::digest_response);
  check_message<StoreDeparturesRequest>(file, "message-033", MessageType::store_departures_request);
  check_message<StoreDeparturesResponse>(file, "message-034", MessageType::store_departures_response);
  check_message<AcquireKeyRequest>(file, "message-040", MessageType::acquire_key_request);
  check_message<AcquireKeyResponse>(file, "message-041", MessageType::acquire_key_response);
  check_message<KeyOutcomeNotice>(file, "message-042", MessageType::key_outcome);
  check_message<ProxyLoadReport>(file, "message-043", MessageType::proxy_load);
  check_message<StageRequest>(file, "message-050", MessageType::stage_request);
  check_message<StageResponse>(file, "message-051", MessageType::stage_response);
  check_message<RolloutStatusNotice>(file, "message-052", MessageType::rollout_status);
  check_message<StageForwardRequest>(file, "message-054", MessageType::stage_forward_request);
  check_message<ProxyGossip>(file, "message-060", MessageType::proxy_records);
  check_message<ClockReading>(file, "message-061", MessageType::clock_reading);
  check_message<UsageUpdate>(file, "message-062", MessageType::usage_update);
  check_message<QuotaLeaseRequest>(file, "message-063", MessageType::quota_lease_request);
  check_message<QuotaLeaseResponse>(file, "message-064", MessageType::quota_lease_response);
  check_message<HandOverCommand>(file, "message-065", MessageType::hand_over_command);
  check_message<SurveyRequest>(file, "message-066", MessageType::survey_request);
  check_message<TrafficSurvey>(file, "message-067", MessageType::survey_response);
  check_message<DrainInstruction>(file, "message-068", MessageType::drain_instruction);
  check_message<RelayRequest>(file, "message-070", MessageType::relay_request);
  check_message<RelayResponse>(file, "message-071", MessageType::relay_response);
  check_message<ProxyGossip>(file, "message-072", MessageType::proxy_records_request);
  check_message<Member>(file, "message-073", MessageType::join_request);
  check_message<ContactProbeResponse>(file, "message-081", MessageType::contact_probe_response);
  file.finish();
}

Test(golden_wire, records) {
  GoldenFile file("records.txt");
  check_record<RelayRequest>(file, "record-001");
  check_record<RelayResponse>(file, "record-002");
  check_record<ConfigItem>(file, "record-003");
  check_record<Evacuation>(file, "record-004");
  check_record<ServerRecord>(file, "record-005");
  check_record<HandshakeRequest>(file, "record-006");
  check_record<HandshakeResponse>(file, "record-007");
  check_record<ProxyDrainStatus>(file, "record-008");
  check_record<DrainInstruction>(file, "record-009");
  check_record<ProxyHeartbeat>(file, "record-010");
  check_record<ProxyRecord>(file, "record-011");
  check_record<ProxyGossip>(file, "record-012");
  check_record<ZoneProxyCount>(file, "record-013");
  check_record<ProxyHeartbeatResponse>(file, "record-014");
  check_record<ClockReading>(file, "record-015");
  check_record<SubscribeRequest>(file, "record-016");
  check_record<StateUpdate>(file, "record-017");
  check_record<GossipDigest>(file, "record-018");
  check_record<Member>(file, "record-019");
  check_record<RetiredMember>(file, "record-020");
  check_record<Lease>(file, "record-021");
  check_record<FrozenUsageReport>(file, "record-022");
  check_record<DrainUnit>(file, "record-023");
  check_record<InitialServerCount>(file, "record-024");
  check_record<DrainRun>(file, "record-025");
  check_record<ReplicatedState>(file, "record-026");
  check_record<StateDelta>(file, "record-027");
  check_record<PrepareRequest>(file, "record-028");
  check_record<PrepareResponse>(file, "record-029");
  check_record<AcceptRequest>(file, "record-030");
  check_record<AcceptResponse>(file, "record-031");
  check_record<CommitNotice>(file, "record-032");
  check_record<CatchUpRequest>(file, "record-033");
  check_record<StateChunk>(file, "record-034");
  check_record<StateRow>(file, "record-035");
  check_record<VoteHeader>(file, "record-036");
  check_record<ClaimRequest>(file, "record-037");
  check_record<ClaimResponse>(file, "record-038");
  check_record<ReleaseRequest>(file, "record-039");
  check_record<StoredAnswer>(file, "record-040");
  check_record<FetchAnswerRequest>(file, "record-041");
  check_record<FetchAnswerResponse>(file, "record-042");
  check_record<KeyCopyRequest>(file, "record-043");
  check_record<HeldKey>(file, "record-044");
  check_record<KeyCopyResponse>(file, "record-045");
  check_record<AcquireKeyRequest>(file, "record-046");
  check_record<AcquireKeyResponse>(file, "record-047");
  check_record<KeyOutcomeNotice>(file, "record-048");
  check_record<ProxyLoadReport>(file, "record-049");
  check_record<ContactProbeResponse>(file, "record-050");
  check_record<StageRequest>(file, "record-051");
  check_record<StageForwardRequest>(file, "record-052");
  check_record<StageResponse>(file, "record-053");
  check_record<RolloutStatusNotice>(file, "record-054");
  check_record<UsageRow>(file, "record-055");
  check_record<UsageUpdate>(file, "record-056");
  check_record<QuotaDemand>(file, "record-057");
  check_record<QuotaLeaseRequest>(file, "record-058");
  check_record<QuotaLease>(file, "record-059");
  check_record<QuotaLeaseResponse>(file, "record-060");
  check_record<HandOverCommand>(file, "record-061");
  check_record<SurveyRequest>(file, "record-062");
  check_record<RouteRate>(file, "record-063");
  check_record<ZoneSendRate>(file, "record-064");
  check_record<ServerLatency>(file, "record-065");
  check_record<DiscardCount>(file, "record-066");
  check_record<TrafficSurvey>(file, "record-067");
  check_record<StoreDeparturesRequest>(file, "record-068");
  check_record<StoreDeparturesResponse>(file, "record-069");
  file.finish();
}

Test(golden_wire, json_texts) {
  GoldenFile file("json.txt");
  check_json<schema::Selector>(file, "json-001");
  check_json<schema::Share>(file, "json-002");
  check_json<schema::Actuation>(file, "json-003");
  check_json<schema::Policy>(file, "json-004");
  check_json<schema::Socket>(file, "json-005");
  check_json<schema::Pool>(file, "json-006");
  check_json<schema::Allowance>(file, "json-007");
  check_json<schema::Customer>(file, "json-008");
  check_json<schema::Limits>(file, "json-009");
  check_json<schema::Upsert>(file, "json-010");
  check_json<schema::ItemRemoval>(file, "json-011");
  check_json<schema::Remove>(file, "json-012");
  check_json<schema::AmendRequest>(file, "json-013");
  check_json<schema::Heartbeat>(file, "json-014");
  check_json<schema::HeartbeatResponse>(file, "json-015");
  check_json<schema::ResolveResponse>(file, "json-016");
  check_json<schema::ErrorResponse>(file, "json-017");
  check_json<RouteRate>(file, "json-018");
  check_json<ZoneSendRate>(file, "json-019");
  check_json<ServerLatency>(file, "json-020");
  check_json<DiscardCount>(file, "json-021");
  check_json<TrafficSurvey>(file, "json-022");
  check_json<ServerDeparture>(file, "json-023");
  check_json<RotationPlan>(file, "json-024");
  check_json<KindRate>(file, "json-025");
  check_json<RegionForecast>(file, "json-026");
  check_json<DrainWave>(file, "json-027");
  check_json<CapacityShortfall>(file, "json-028");
  check_json<DrainWavePlan>(file, "json-029");
  check_json<ZoneSnapshot>(file, "json-030");
  check_json<ServerSnapshot>(file, "json-031");
  check_json<ServiceSnapshot>(file, "json-032");
  check_json<RouteSnapshot>(file, "json-033");
  check_json<ProxySnapshot>(file, "json-034");
  check_json<FleetSnapshot>(file, "json-035");
  check_json<RouteFlow>(file, "json-036");
  check_json<ZoneUtilization>(file, "json-037");
  check_json<UnservedRate>(file, "json-038");
  check_json<EvacuationForecast>(file, "json-039");
  check_json<ForecastDifference>(file, "json-040");
  check_json<InitialServerCount>(file, "json-041");
  check_json<DrainOrderUnit>(file, "json-042");
  check_json<DrainOrder>(file, "json-043");
  check_json<RegionCapacity>(file, "json-044");
  check_json<OpenWork>(file, "json-045");
  file.finish();
}

// A manifest as the operator sends it becomes items, as the register keeps and sends them; and the text
// that is answered to a reader.
Test(golden_wire, manifest_items) {
  std::ifstream in(golden_path("manifest.json"));
  cr_assert(in.good(), "golden file is missing: manifest.json");
  std::stringstream text;
  text << in.rdbuf();
  GoldenFile file("manifest-items.txt");
  std::map<std::string, ConfigItem> items;
  for (ConfigItem const& item : read_amend(text.str()).items) {
    file.check(item.key, std::to_string(item.gen.v) + (item.gone ? " gone " : " ") + item.body);
    items[item.key] = item;
  }
  file.check("read", render_read(items));
  file.finish();
}
