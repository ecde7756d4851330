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
  void peek(u8* to) const { std::memcpy(to, bytes.data() + at, frame::head_len); }
  void take(std::string& body) {
    at += frame::head_len;
    body = bytes.substr(at, body.size());
    at += body.size();
  }
};

std::string frame_of(Kind kind, std::string const& body) {
  u8 head[frame::head_len];
  frame::write_head(head, frame::Head{static_cast<u32>(body.size()), static_cast<u8>(kind), kTag});
  return std::string(head, head + frame::head_len) + body;
}
template <class E>
std::string number(E value) {
  return std::to_string(static_cast<unsigned>(value));
}

// Encodes a frame with a filled record, and decodes the golden one.
template <class T>
void check_message(GoldenFile& file, std::string const& label, Kind kind) {
  std::string const golden = from_hex(file.check(label, to_hex(frame_of(kind, codec::pack(filled<T>())))));
  std::size_t frames = 0;
  auto const error = frame::each(ByteSource{golden}, [&](frame::Head const& head, std::string const& body) {
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
  u8 head[frame::head_len];
  frame::write_head(head, frame::Head{0x01020304, 0x20, 0x0a0b0c0d});
  std::string const golden = from_hex(file.check("header", to_hex(std::string(head, head + frame::head_len))));
  cr_assert_eq(golden.size(), frame::head_len);
  frame::Head const read = frame::read_head(reinterpret_cast<u8 const*>(golden.data()));
  cr_expect(read.size == 0x01020304 && read.kind == 0x20 && read.tag == 0x0a0b0c0d);
  file.check("header-length", std::to_string(frame::head_len));
  file.check("longest-body", std::to_string(frame::longest));
  file.check("kind-deflated", std::to_string(frame::zipped));
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
  file.check("kind-001", number(Kind::ping));
  file.check("kind-002", number(Kind::hello));
  file.check("kind-003", number(Kind::helloR));
  file.check("kind-004", number(Kind::beat));
  file.check("kind-005", number(Kind::beatR));
  file.check("kind-006", number(Kind::feed));
  file.check("kind-007", number(Kind::news));
  file.check("kind-010", number(Kind::prep));
  file.check("kind-011", number(Kind::prepR));
  file.check("kind-012", number(Kind::acc));
  file.check("kind-013", number(Kind::accR));
  file.check("kind-014", number(Kind::commit));
  file.check("kind-015", number(Kind::pull));
  file.check("kind-016", number(Kind::commitR));
  file.check("kind-017", number(Kind::piece));
  file.check("kind-020", number(Kind::claim));
  file.check("kind-021", number(Kind::claimR));
  file.check("kind-022", number(Kind::release));
  file.check("kind-023", number(Kind::store));
  file.check("kind-024", number(Kind::fetch));
  file.check("kind-025", number(Kind::fetchR));
  file.check("kind-026", number(Kind::rebuild));
  file.check("kind-027", number(Kind::rebuildR));
  file.check("kind-030", number(Kind::rows));
  file.check("kind-031", number(Kind::digest));
  file.check("kind-032", number(Kind::digestR));
  file.check("kind-040", number(Kind::ask));
  file.check("kind-041", number(Kind::askR));
  file.check("kind-042", number(Kind::done));
  file.check("kind-043", number(Kind::load));
  file.check("kind-044", number(Kind::leaving));
  file.check("kind-050", number(Kind::hold));
  file.check("kind-051", number(Kind::holdR));
  file.check("kind-052", number(Kind::rollNote));
  file.check("kind-054", number(Kind::holdFor));
  file.check("kind-060", number(Kind::sites));
  file.check("kind-061", number(Kind::clock));
  file.check("kind-062", number(Kind::tally));
  file.check("kind-063", number(Kind::loan));
  file.check("kind-064", number(Kind::loanR));
  file.check("kind-065", number(Kind::dutyCmd));
  file.check("kind-066", number(Kind::survey));
  file.check("kind-067", number(Kind::surveyR));
  file.check("kind-068", number(Kind::drain));
  file.check("kind-070", number(Kind::via));
  file.check("kind-071", number(Kind::viaR));
  file.check("kind-072", number(Kind::sitesAsk));
  file.check("kind-073", number(Kind::join));
  file.check("kind-080", number(Kind::probe));
  file.check("kind-081", number(Kind::probeR));
  file.check("kind-255", number(Kind::zipped));
  file.finish();
}

Test(golden_wire, enumeration_numbers) {
  GoldenFile file("enumerations.txt");
  file.check("enumeration-01-0", number(schema::LaneKind::idempotent));
  file.check("enumeration-01-1", number(schema::LaneKind::effectful));
  file.check("enumeration-01-2", number(schema::LaneKind::keyed));
  file.check("enumeration-01-3", number(schema::LaneKind::inflow));
  file.check("enumeration-02-0", number(Stage::waiting));
  file.check("enumeration-02-1", number(Stage::cordoned));
  file.check("enumeration-02-2", number(Stage::draining));
  file.check("enumeration-02-3", number(Stage::empty));
  file.check("enumeration-02-4", number(Stage::released));
  file.check("enumeration-02-5", number(Stage::back));
  file.check("enumeration-03-0", number(PassState::running));
  file.check("enumeration-03-1", number(PassState::paused));
  file.check("enumeration-03-2", number(PassState::aborted));
  file.check("enumeration-03-3", number(PassState::done));
  file.check("enumeration-04-0", number(RollPhase::holding));
  file.check("enumeration-04-1", number(RollPhase::paused));
  file.check("enumeration-04-2", number(RollPhase::stopped));
  file.check("enumeration-04-3", number(RollPhase::committing));
  file.check("enumeration-04-4", number(RollPhase::done));
  file.check("enumeration-04-5", number(RollPhase::fell_back));
  file.check("enumeration-04-6", number(RollPhase::aborted));
  file.check("enumeration-04-7", number(RollPhase::overtaken));
  file.check("enumeration-05-0", number(Standing::ready));
  file.check("enumeration-05-1", number(Standing::draining));
  file.check("enumeration-05-2", number(Standing::gone));
  file.check("enumeration-06-0", number(Leave::run));
  file.check("enumeration-06-1", number(Leave::repeat));
  file.check("enumeration-06-2", number(Leave::at_work));
  file.check("enumeration-06-3", number(Leave::lost));
  file.check("enumeration-06-4", number(Leave::unavailable));
  file.check("enumeration-07-0", number(Outcome::not_run));
  file.check("enumeration-07-1", number(Outcome::returned));
  file.check("enumeration-07-2", number(Outcome::lost));
  file.check("enumeration-08-0", number(Say::granted));
  file.check("enumeration-08-1", number(Say::held));
  file.check("enumeration-08-2", number(Say::epoch));
  file.check("enumeration-08-3", number(Say::unready));
  file.finish();
}

Test(golden_wire, messages) {
  GoldenFile file("messages.txt");
  // Bodies of these are empty.
  file.check("message-001", to_hex(frame_of(Kind::ping, "")));
  file.check("message-044", to_hex(frame_of(Kind::leaving, "")));
  file.check("message-080", to_hex(frame_of(Kind::probe, "")));
  check_message<Hello>(file, "message-002", Kind::hello);
  check_message<HelloR>(file, "message-003", Kind::helloR);
  check_message<SiteBeat>(file, "message-004", Kind::beat);
  check_message<SiteBeatR>(file, "message-005", Kind::beatR);
  check_message<Feed>(file, "message-006", Kind::feed);
  check_message<News>(file, "message-007", Kind::news);
  check_message<Prep>(file, "message-010", Kind::prep);
  check_message<PrepR>(file, "message-011", Kind::prepR);
  check_message<Acc>(file, "message-012", Kind::acc);
  check_message<AccR>(file, "message-013", Kind::accR);
  check_message<Commit>(file, "message-014", Kind::commit);
  check_message<Pull>(file, "message-015", Kind::pull);
  check_message<Commit>(file, "message-016", Kind::commitR);
  check_message<Piece>(file, "message-017", Kind::piece);
  check_message<Claim>(file, "message-020", Kind::claim);
  check_message<ClaimR>(file, "message-021", Kind::claimR);
  check_message<Release>(file, "message-022", Kind::release);
  check_message<Return>(file, "message-023", Kind::store);
  check_message<Fetch>(file, "message-024", Kind::fetch);
  check_message<FetchR>(file, "message-025", Kind::fetchR);
  check_message<Rebuild>(file, "message-026", Kind::rebuild);
  check_message<RebuildR>(file, "message-027", Kind::rebuildR);
  check_message<News>(file, "message-030", Kind::rows);
  check_message<Digest>(file, "message-031", Kind::digest);
  check_message<Digest>(file, "message-032", Kind::digestR);
  check_message<Ask>(file, "message-040", Kind::ask);
  check_message<AskR>(file, "message-041", Kind::askR);
  check_message<Told>(file, "message-042", Kind::done);
  check_message<Load>(file, "message-043", Kind::load);
  check_message<Hold>(file, "message-050", Kind::hold);
  check_message<HoldR>(file, "message-051", Kind::holdR);
  check_message<RollNote>(file, "message-052", Kind::rollNote);
  check_message<HoldFor>(file, "message-054", Kind::holdFor);
  check_message<SiteNote>(file, "message-060", Kind::sites);
  check_message<ClockSaid>(file, "message-061", Kind::clock);
  check_message<TallyNote>(file, "message-062", Kind::tally);
  check_message<LoanAsk>(file, "message-063", Kind::loan);
  check_message<LoanRet>(file, "message-064", Kind::loanR);
  check_message<DutyCmd>(file, "message-065", Kind::dutyCmd);
  check_message<SurveyAsk>(file, "message-066", Kind::survey);
  check_message<Survey>(file, "message-067", Kind::surveyR);
  check_message<DrainSaid>(file, "message-068", Kind::drain);
  check_message<ViaAsk>(file, "message-070", Kind::via);
  check_message<ViaR>(file, "message-071", Kind::viaR);
  check_message<SiteNote>(file, "message-072", Kind::sitesAsk);
  check_message<Member>(file, "message-073", Kind::join);
  check_message<ProbeR>(file, "message-081", Kind::probeR);
  file.finish();
}

Test(golden_wire, records) {
  GoldenFile file("records.txt");
  check_record<ViaAsk>(file, "record-001");
  check_record<ViaR>(file, "record-002");
  check_record<Item>(file, "record-003");
  check_record<Evac>(file, "record-004");
  check_record<Row>(file, "record-005");
  check_record<Hello>(file, "record-006");
  check_record<HelloR>(file, "record-007");
  check_record<DrainWord>(file, "record-008");
  check_record<DrainSaid>(file, "record-009");
  check_record<SiteBeat>(file, "record-010");
  check_record<SiteRow>(file, "record-011");
  check_record<SiteNote>(file, "record-012");
  check_record<ZoneCount>(file, "record-013");
  check_record<SiteBeatR>(file, "record-014");
  check_record<ClockSaid>(file, "record-015");
  check_record<Feed>(file, "record-016");
  check_record<News>(file, "record-017");
  check_record<Digest>(file, "record-018");
  check_record<Member>(file, "record-019");
  check_record<Retired>(file, "record-020");
  check_record<Term>(file, "record-021");
  check_record<FixedWindow>(file, "record-022");
  check_record<Unit>(file, "record-023");
  check_record<Had>(file, "record-024");
  check_record<Pass>(file, "record-025");
  check_record<State>(file, "record-026");
  check_record<Delta>(file, "record-027");
  check_record<Prep>(file, "record-028");
  check_record<PrepR>(file, "record-029");
  check_record<Acc>(file, "record-030");
  check_record<AccR>(file, "record-031");
  check_record<Commit>(file, "record-032");
  check_record<Pull>(file, "record-033");
  check_record<Piece>(file, "record-034");
  check_record<ValueRow>(file, "record-035");
  check_record<Head>(file, "record-036");
  check_record<Claim>(file, "record-037");
  check_record<ClaimR>(file, "record-038");
  check_record<Release>(file, "record-039");
  check_record<Return>(file, "record-040");
  check_record<Fetch>(file, "record-041");
  check_record<FetchR>(file, "record-042");
  check_record<Rebuild>(file, "record-043");
  check_record<HeldKey>(file, "record-044");
  check_record<RebuildR>(file, "record-045");
  check_record<Ask>(file, "record-046");
  check_record<AskR>(file, "record-047");
  check_record<Told>(file, "record-048");
  check_record<Load>(file, "record-049");
  check_record<ProbeR>(file, "record-050");
  check_record<Hold>(file, "record-051");
  check_record<HoldFor>(file, "record-052");
  check_record<HoldR>(file, "record-053");
  check_record<RollNote>(file, "record-054");
  check_record<TallyRow>(file, "record-055");
  check_record<TallyNote>(file, "record-056");
  check_record<Want>(file, "record-057");
  check_record<LoanAsk>(file, "record-058");
  check_record<Loan>(file, "record-059");
  check_record<LoanRet>(file, "record-060");
  check_record<DutyCmd>(file, "record-061");
  check_record<SurveyAsk>(file, "record-062");
  check_record<LaneRate>(file, "record-063");
  check_record<SentRate>(file, "record-064");
  check_record<Speed>(file, "record-065");
  check_record<Dropped>(file, "record-066");
  check_record<Survey>(file, "record-067");
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
  check_json<schema::Drop>(file, "json-011");
  check_json<schema::Remove>(file, "json-012");
  check_json<schema::Amend>(file, "json-013");
  check_json<schema::Heartbeat>(file, "json-014");
  check_json<schema::HeartbeatRet>(file, "json-015");
  check_json<schema::ResolveRet>(file, "json-016");
  check_json<schema::FaultRet>(file, "json-017");
  check_json<LaneRate>(file, "json-018");
  check_json<SentRate>(file, "json-019");
  check_json<Speed>(file, "json-020");
  check_json<Dropped>(file, "json-021");
  check_json<Survey>(file, "json-022");
  check_json<Leaving>(file, "json-023");
  check_json<RotationPlan>(file, "json-024");
  check_json<KindRate>(file, "json-025");
  check_json<RegionAfter>(file, "json-026");
  check_json<Wave>(file, "json-027");
  check_json<Lack>(file, "json-028");
  check_json<WavePlan>(file, "json-029");
  check_json<CapZone>(file, "json-030");
  check_json<CapServer>(file, "json-031");
  check_json<CapPool>(file, "json-032");
  check_json<CapLane>(file, "json-033");
  check_json<CapSite>(file, "json-034");
  check_json<Capture>(file, "json-035");
  check_json<LaneFlow>(file, "json-036");
  check_json<ZoneLoad>(file, "json-037");
  check_json<Unserved>(file, "json-038");
  check_json<Forecast>(file, "json-039");
  check_json<Difference>(file, "json-040");
  check_json<Had>(file, "json-041");
  check_json<OrderUnit>(file, "json-042");
  check_json<Order>(file, "json-043");
  check_json<RegionRoom>(file, "json-044");
  check_json<Held>(file, "json-045");
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
  std::map<std::string, Item> items;
  for (Item const& item : read_amend(text.str()).items) {
    file.check(item.key, std::to_string(item.gen.v) + (item.gone ? " gone " : " ") + item.body);
    items[item.key] = item;
  }
  file.check("read", render_read(items));
  file.finish();
}
