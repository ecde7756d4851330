#include <criterion/criterion.h>

#include "leases/usage_reporter.hpp"
#include "support/input_mutation.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
// Both sides are reached, or the generator shows nothing.
void hold(char const* what, Outcomes const& o) {
  for (std::string const& f : o.faults)
    cr_expect(false, "%s: %s", what, f.c_str());
  cr_assert(o.taken > 0 && o.refused > 0, "%s: %llu taken, %llu refused", what,
            static_cast<unsigned long long>(o.taken), static_cast<unsigned long long>(o.refused));
}
std::string framed_parcel(u8 kind, u32 length, std::string const& data) {
  std::string z(5, static_cast<char>(kind));
  for (int i = 0; i < 4; ++i)
    z[static_cast<std::size_t>(i) + 1] = static_cast<char>(length >> (24 - 8 * i));
  return framed(MessageType::deflated, 0, z + data);
}
std::string why(std::string const& stream) {
  Bytes in;
  in.s = stream;
  return frame::each(in, [](frame::Header const&, std::string const&) {}).value_or("");
}
std::string fault_of(std::string const& body) {
  try {
    read_amend(body);
  } catch (json::Fault const& f) {
    return f.what();
  }
  return "";
}
void same(std::string const& got, char const* want, char const* what = "") {
  cr_assert(got == want, "%s instead of %s %s", got.c_str(), want, what);
}
std::string with(std::string s, std::string const& a, std::string const& b) {
  auto const i = s.find(a);
  cr_assert(i != std::string::npos, "%s", a.c_str());
  return s.replace(i, a.size(), b);
}
}  // namespace

Test(input, spoiled_records_read_whole_or_not_at_all) {
  hold("records", records(1, 120));
}
Test(input, spoiled_frames_end_the_stream_and_nothing_else) {
  hold("frames", frames(2, 1500));
}
Test(input, spoiled_amends_are_refused_or_hold_everywhere) {
  hold("amends", amends(3, 4000));
}
Test(input, spoiled_settings_are_refused_or_sane) {
  hold("settings", settings(4, 6000));
}
Test(input, spoiled_heads_never_pass_for_an_answer) {
  hold("heads", heads(5, 40000));
}
Test(input, spoiled_votes_take_nothing_back) {
  hold("votes", votes(6, 3000));
}

Test(input, a_parcel_makes_no_more_room_than_its_bytes_can_fill) {
  same(why(framed_parcel(7, 64u << 20, "x")), "parcel too large in a letter of kind 7");
  same(why(framed_parcel(7, 0xffffffff, std::string(70000, 'x'))), "parcel too large in a letter of kind 7");
  same(why(framed_parcel(7, 100, "xx")), "broken parcel in a letter of kind 7");
  same(why(framed_parcel(255, 100, "xx")), "parcel of a kind that is never deflated in a letter of kind 255");
  same(why(framed(MessageType::deflated, 0, "ab")), "short parcel in a letter of kind 255");
  cr_assert(why("GET / HTTP/1.1\r\n").find("a length of") == 0, "a browser at the wrong port");
}

// Whatever a handler throws at a letter ends its channel.
Test(input, a_handler_that_throws_ends_the_stream) {
  Bytes in;
  in.s = framed(MessageType::state_update, 0, "a") + framed(MessageType::state_update, 0, "b");
  int n = 0;
  auto const bad = frame::each(in, [&](frame::Header const&, std::string const&) {
    ++n;
    throw json::Fault("x", "missing");
  });
  cr_assert(bad && *bad == "x: missing in a letter of kind 7", "%s", bad ? bad->c_str() : "");
  cr_assert_eq(n, 1);
}

// A record that ends after any of its fields is one of an older program: the rest is zero.
Test(input, records_of_an_older_layout_read_with_zeros) {
  HandshakeRequest h;
  h.role = 1;
  h.ip = "10.0.0.1";
  h.accepted = Ballot(5);
  std::string const whole = codec::pack(h);
  HandshakeRequest const old = codec::unpack<HandshakeRequest>(
      std::string_view(whole).substr(0, whole.size() - 2));  // its last field, of two bytes
  cr_assert(old.role == 1 && old.ip == h.ip && old.accepted == Ballot());
  StateDelta d;
  d.ballot = Ballot(9);
  d.membership_set = true;
  cr_assert_throw(read_delta(codec::pack(d)), codec::MalformedMessage, "a roster of nobody");
  ReplicatedState s;
  s.ballot = Ballot(9);
  cr_assert_throw(read_state(codec::pack(s)), codec::MalformedMessage);
  cr_assert_throw(read_state(""), codec::MalformedMessage);
  cr_assert_throw(codec::unpack<HandshakeRequest>(std::string("\x08\xff\xff\xff\xff\x1f", 6)), codec::MalformedMessage,
                  "a role that does not fit");
  cr_assert_throw(codec::unpack<ClockReading>(std::string("\x09\0\0\0\0\0\0\xf0\x7f", 9)), codec::MalformedMessage,
                  "an infinite time");
  cr_assert_throw(codec::unpack<HandshakeRequest>(std::string("\0\x01", 2)), codec::MalformedMessage, "field 0");
}

Test(input, a_platform_that_says_wait_for_ever_is_asked_again) {
  for (double const wait : {HUGE_VAL, std::nan(""), 1e300}) {
    UsageReporter r{UsageReportOptions{}};
    ReplicatedState s;
    s.fixed.emplace_back();
    s.fixed.back().window = 1;
    r.on_sent(0);
    r.on_response(1, PlatformResponse{503, wait}, 0);
    cr_assert(!r.report_to_send(s, 0.1) && r.report_to_send(s, 301));
  }
}

Test(input, json_that_would_cost_the_stack_or_end_early_is_refused) {
  std::string const deep(100000, '[');
  same(fault_of(deep), "body: nested too deep");
  same(fault_of("{\"x\":" + deep), "body: nested too deep");
  same(fault_of(std::string("{}\0{", 4)), "body: can't be read whole");
  same(fault_of("{\"x\":\"[[[[\\\"\"}"), "", "brackets in a text are none");
}

// One value of a good call is spoiled at a time; the field is named.
Test(input, amends_that_would_be_taken_for_something_else_are_refused) {
  same(fault_of(good_amend), "");
  for (auto const& [from, to, field] : std::vector<std::tuple<char const*, char const*, char const*>>{
           {"\"rank\":2", "\"rank\":4294967296", "upsert.sockets[0].policy[0].rank: out of range"},
           {"\"maxTries\":2", "\"maxTries\":4294967297",
            "upsert.sockets[0].policy[0].actuation.maxTries: out of range"},
           {"\"deadlineS\":1.2", "\"deadlineS\":1e300",
            "upsert.sockets[0].policy[0].actuation.deadlineS: out of range"},
           {"\"idleTimeoutS\":15", "\"idleTimeoutS\":-5", "upsert.limits.idleTimeoutS: negative"},
           {"\"idleTimeoutS\":15", "\"idleTimeoutS\":0", "upsert.limits.idleTimeoutS: wants more than 0"},
           {"\"coldS\":3.0", "\"coldS\":-3", "upsert.pools[0].coldS: negative"},
           {"\"gain\":90},", "\"gain\":1.7e308},{\"service\":\"s1\",\"gain\":1.7e308},",
            "upsert.sockets[0].policy[0].actuation.split.gain: out of range"},
           {"\"name\":\"r1\"", "\"name\":\"r1\\u0000\"", "upsert.sockets[0].policy[0].name: holds a control character"},
           {"\"name\":\"ada\"", "\"name\":\"ada\\r\\nX-Tenant: bob\"", "name: holds a control character"},
           {"\"generation\":\"00000007\"", "\"generation\":\"00000007\\u0000\"",
            "upsert.limits.generation: wants eight hexadecimal digits"},
           {"\"rate\":60", "\"rate\":1e-320", "allowance.rate: out of range"}}) {
    std::string const f = fault_of(with(good_amend, from, to));
    cr_assert(f.size() >= std::string(field).size() &&
                  f.compare(f.size() - std::string(field).size(), std::string::npos, field) == 0,
              "%s: %s", to, f.c_str());
  }
  // Not by the square of what was sent.
  std::string many = "{\"remove\":{\"routes\":[";
  for (int i = 0; i < 100000; ++i)
    many += std::string(i > 0 ? "," : "") + "{\"name\":\"r" + std::to_string(i) + "\",\"generation\":\"00000001\"}";
  cr_assert_eq(read_amend(many + "]}}").items.size(), 100000u);
}

Test(input, settings_that_would_harm_name_their_field) {
  for (auto const& [from, to, field] : std::vector<std::tuple<char const*, char const*, char const*>>{
           {"ip=10.0.0.1\n", "ip=10.0.0.1\nip=10.0.0.2\n", "ip"},
           {"region=r\n", "region=q\n", "region"},
           {"agentPort=7001", "agentPort=7001.5", "agentPort"},
           {"7000,7010", "7000,70000", "innerPorts"},
           {"7000,7010", "7010,7000", "innerPorts"},
           {"7000,7010", "0x10,7000", "innerPorts"},
           {"machines=1", "machines=0.5", "tolerance.machines"},
           {"machines=1", "machines=nan", "tolerance.machines"},
           {"machines=1", "machines=-1", "tolerance.machines"},
           {"ackBoundS=5", "ackBoundS=inf", "bounds.ackBoundS"},
           {"ackBoundS=5", "ackBoundS=", "bounds.ackBoundS"},
           {"ackBoundS=5", "ackBoundS=1e10", "bounds.ackBoundS"},
           {"10.0.0.2:8146", "10.0.0.2:99999", "seedAddrs"},
           {"10.0.0.2:8146", "10.0.0.2: 80", "seedAddrs"},
           {"control=10.0.0.1", "control=10.0.1", "bind.control"},
           {"zone=a\n", "zone\n", "settings"},
           {"nodeName=n", "nodeName=n\t", "nodeName"}}) {
    try {
      parse_settings(with(good_settings, from, to));
      cr_assert(false, "%s was taken", to);
    } catch (SettingsError const& e) {
      cr_assert_str_eq(e.field.c_str(), field);
    }
  }
  Settings const s =
      parse_settings(good_settings + "seedAddrs=10.0.0.1:8146,10.0.0.2:8146\nbounds.unheardOf=nan\nunheardOf=\t\n");
  cr_assert_eq(s.seeds.size(), 2u, "the same said twice, and what nobody knows, does no harm");
}
