// Spoiled input for the parsers, by seed and count: for the tests, and for longer runs of
// `input_soak`. Each part says what was taken, what was refused, and what should not have been.
#pragma once
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"
#include "consensus/state_chunk.hpp"
#include "idempotency/proxy_messages.hpp"
#include "leases/lease_client.hpp"
#include "planning/traffic_survey.hpp"
#include "quorum_contact/quorum_contact.hpp"
#include "quota/quota_messages.hpp"
#include "request/headers.hpp"
#include "rollout/rollout_messages.hpp"
#include "server_registry/server_registry.hpp"
#include "transport/message.hpp"
#include "transport/relay.hpp"
#include "usage/usage_totals.hpp"
#include "wire/frame.hpp"

namespace dockbend::test {
namespace hana = boost::hana;

struct Outcomes {
  std::uint64_t cases = 0, taken = 0, refused = 0;
  std::vector<std::string> faults;
  void error_response(std::string what) {
    if (faults.size() < 20) faults.push_back(std::move(what));
  }
  // Anything but E is a fault.
  template <class E, class F>
  void run(char const* what, F f) {
    ++cases;
    try {
      f();
      ++taken;
    } catch (E const&) {
      ++refused;
    } catch (std::exception const& e) {
      error_response(std::string(what) + ": " + e.what());
    }
  }
};

class Spoiler {
 public:
  explicit Spoiler(std::uint64_t seed) : rnd_(seed) {}
  std::uint64_t below(std::uint64_t n) { return n == 0 ? 0 : rnd_() % n; }
  bool chance(int percent) { return below(100) < static_cast<std::uint64_t>(percent); }
  std::uint64_t odd_number() {
    static std::uint64_t const odd[] = {0,     1,          127,        128,        255,         256,        65535,
                                        65536, 0x7fffffff, 0x80000000, 0xffffffff, 0x100000000, ~0ULL >> 1, ~0ULL};
    return chance(60) ? odd[below(std::size(odd))] : rnd_() >> below(64);
  }
  double odd_double() {
    static double const odd[] = {0.0, -0.0, 1.0, -1.0, 1e300, -1e300, 5e-324, 0.1, 9e15};
    return chance(70) ? odd[below(std::size(odd))] : static_cast<double>(rnd_()) / 1e9;
  }
  std::string text(std::size_t most) {
    static char const alphabet[] = "abz/.:-019 {}[]\",\\\r\n\t%\0\xff\xc3";
    std::string s(below(most + 1), 'x');
    for (char& c : s)
      c = chance(50) ? 'a' : alphabet[below(sizeof alphabet - 1)];
    return s;
  }
  // One to three changes: a bit, a byte, a cut, a copy of a part, a run of large bytes, words of a list.
  std::string spoil(std::string s, std::vector<std::string> const& words = {}) {
    for (std::uint64_t n = 1 + below(3); n > 0; --n) {
      std::size_t const at = below(s.size() + 1);
      switch (below(words.empty() ? 6 : 8)) {
        case 0:
          if (at < s.size()) s[at] = static_cast<char>(s[at] ^ (1 << below(8)));
          break;
        case 1: s.insert(at, 1, static_cast<char>(below(256))); break;
        case 2: s.erase(at); break;
        case 3: s.erase(at, 1 + below(9)); break;
        case 4: s.insert(at, s.substr(below(s.size() + 1), below(40))); break;
        case 5: s.insert(at, std::string(1 + below(10), '\xff')); break;
        default: s.replace(at, below(12), words[below(words.size())]); break;
      }
    }
    return s;
  }
  // Any value of any record.
  template <class T>
  void fill(T& x) {
    if constexpr (codec::IsStrong<T>::value)
      fill(x.v);
    else if constexpr (codec::IsVector<T>::value) {
      x.resize(below(4));
      for (auto& e : x)
        fill(e);
    } else if constexpr (codec::Record<T>)
      hana::for_each(hana::accessors<T>(), [&](auto const& a) { fill(hana::second(a)(x)); });
    else if constexpr (std::is_same_v<T, std::string>)
      x = text(12);
    else if constexpr (std::is_floating_point_v<T>)
      x = odd_double();
    else if constexpr (std::is_same_v<T, bool>)
      x = chance(50);
    else
      x = static_cast<T>(odd_number());
  }
  std::mt19937_64& rnd() { return rnd_; }

 private:
  std::mt19937_64 rnd_;
};

template <class T>
bool all_finite(T const& x) {
  bool ok = true;
  if constexpr (codec::IsVector<T>::value) {
    for (auto const& e : x)
      ok = ok && all_finite(e);
  } else if constexpr (codec::Record<T>) {
    hana::for_each(hana::accessors<T>(), [&](auto const& a) { ok = ok && all_finite(hana::second(a)(x)); });
  } else if constexpr (std::is_floating_point_v<T>) {
    ok = std::isfinite(x);
  }
  return ok;
}

// Every record that one process sends to another.
using Records = hana::tuple<
    hana::type<RelayRequest>, hana::type<RelayResponse>, hana::type<HandshakeRequest>, hana::type<HandshakeResponse>,
    hana::type<ProxyHeartbeat>, hana::type<ProxyHeartbeatResponse>, hana::type<ProxyGossip>, hana::type<ClockReading>,
    hana::type<SubscribeRequest>, hana::type<StateUpdate>, hana::type<GossipDigest>, hana::type<ReplicatedState>,
    hana::type<StateDelta>, hana::type<PrepareRequest>, hana::type<PrepareResponse>, hana::type<AcceptRequest>,
    hana::type<AcceptResponse>, hana::type<CommitNotice>, hana::type<CatchUpRequest>, hana::type<Member>,
    hana::type<AcquireKeyRequest>, hana::type<AcquireKeyResponse>, hana::type<KeyOutcomeNotice>,
    hana::type<ProxyLoadReport>, hana::type<ClaimRequest>, hana::type<ClaimResponse>, hana::type<ReleaseRequest>,
    hana::type<StoredAnswer>, hana::type<FetchAnswerRequest>, hana::type<FetchAnswerResponse>,
    hana::type<KeyCopyRequest>, hana::type<KeyCopyResponse>, hana::type<StageRequest>, hana::type<StageForwardRequest>,
    hana::type<StageResponse>, hana::type<RolloutStatusNotice>, hana::type<UsageUpdate>, hana::type<QuotaLeaseRequest>,
    hana::type<QuotaLeaseResponse>, hana::type<SurveyRequest>, hana::type<TrafficSurvey>, hana::type<HandOverCommand>,
    hana::type<DrainInstruction>, hana::type<StateChunk>, hana::type<ContactProbeResponse>>;

template <class R>
void spoil_record(Spoiler& sp, Outcomes& o) {
  R x{};
  sp.fill(x);
  std::string const good = codec::pack(x);
  o.run<std::bad_alloc>("good record", [&] {
    if (codec::pack(codec::unpack<R>(good)) != good) o.error_response("a record that does not read back");
    // A newer sender's further field is skipped.
    std::string const more = good + std::string("\xa2\x06\x03zzz", 6);  // field 100, three bytes
    if (codec::pack(codec::unpack<R>(more)) != good) o.error_response("a further field changed the record");
  });
  o.run<codec::MalformedMessage>("record of an older layout", [&] {
    // It ends after any of its fields; what is lacking is zero, what is there is the same.
    pb_istream_t in = pb_istream_from_buffer(reinterpret_cast<pb_byte_t const*>(good.data()), good.size());
    for (std::uint64_t n = sp.below(10); n > 0 && in.bytes_left > 0; --n) {
      pb_wire_type_t wt{};
      u32 tag = 0;
      bool eof = false;
      if (!pb_decode_tag(&in, &wt, &tag, &eof) || !pb_skip_field(&in, wt))
        o.error_response("a good record that can't be walked");
    }
    std::string const old = good.substr(0, good.size() - in.bytes_left);
    if (codec::pack(codec::unpack<R>(old)) != old) o.error_response("an older record reads as something else");
  });
  o.run<codec::MalformedMessage>("spoiled record", [&] {
    R const y = codec::unpack<R>(sp.spoil(good));
    if (!all_finite(y)) o.error_response("a number that is none");
    std::string const once = codec::pack(y);
    if (codec::pack(codec::unpack<R>(once)) != once) o.error_response("a spoiled record that reads twice in two ways");
  });
}

inline Outcomes records(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  for (std::uint64_t i = 0; i < rounds; ++i)
    hana::for_each(Records{}, [&](auto t) { spoil_record<typename decltype(t)::type>(sp, o); });
  return o;
}

struct Bytes {  // a frame::Source
  std::string s;
  std::size_t at = 0;
  bool open() const { return true; }
  std::size_t size() const { return s.size() - at; }
  void peek(u8* p) const { std::copy_n(s.begin() + static_cast<long>(at), frame::kHeaderLength, p); }
  void take(std::string& body) {
    at += frame::kHeaderLength;
    body = s.substr(at, body.size());
    at += body.size();
  }
};

inline std::string framed(MessageType k, u32 tag, std::string const& body) {
  u8 h[frame::kHeaderLength];
  frame::write_head(h, frame::Header{static_cast<u32>(body.size()), static_cast<u8>(k), tag});
  return std::string(h, h + frame::kHeaderLength) + body;
}

// Letters in a row, cut anywhere; then one byte spoiled: what came before it is handed on all
// the same, and nothing is ever thrown.
inline Outcomes frames(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  for (std::uint64_t i = 0; i < rounds; ++i) {
    std::vector<std::string> bodies, got;
    std::vector<std::size_t> ends;
    std::string all;
    for (std::uint64_t n = 1 + sp.below(5); n > 0; --n) {
      std::string b = sp.text(40);
      if (sp.chance(30))
        for (int k = 0; k < 9; ++k)
          b += b.substr(0, 4000);
      EncodedMessage const p = encode_message(MessageType::state_update, b);
      all += framed(p.kind, 7, p.body());
      bodies.push_back(b);
      ends.push_back(all.size());
    }
    auto feed = [&](std::string const& s) {
      got.clear();
      Bytes in;
      std::optional<std::string> bad;
      for (std::size_t at = 0; at < s.size() && !bad;) {
        std::size_t const n = std::min<std::size_t>(s.size() - at, 1 + sp.below(s.size()));
        in.s += s.substr(at, n);
        at += n;
        bad = frame::each(in, [&](frame::Header const&, std::string const& b) { got.push_back(b); });
      }
      return bad;
    };
    o.run<std::bad_alloc>("frames", [&] {
      if (feed(all) || got != bodies) o.error_response("letters lost or changed by the way they were cut");
    });
    std::size_t const at = sp.below(all.size());
    std::string worse = all;
    worse[at] = static_cast<char>(worse[at] ^ (1 + sp.below(255)));
    ++o.cases;
    try {
      ++(feed(worse) ? o.refused : o.taken);
    } catch (std::exception const& e) {
      o.error_response(std::string("thrown out of the frames: ") + e.what());
    }
    std::size_t const before =
        static_cast<std::size_t>(std::count_if(ends.begin(), ends.end(), [&](std::size_t e) { return e <= at; }));
    if (got.size() < before || !std::equal(bodies.begin(), bodies.begin() + static_cast<long>(before), got.begin()))
      o.error_response("a letter before the spoiled one is not what was sent");
  }
  return o;
}

std::string const good_amend =
    R"({"upsert":{"limits":{"headerBytes":16384,"bodyBytes":1048576,"headerDeadlineS":3,"idleTimeoutS":15,"generation":"00000007"},
"sockets":[{"host":"a.example","policy":[{"name":"r1","kind":"idempotent","setpointS":0.3,"rank":2,"generation":"00000007","selector":{"pathPrefix":"/p/"},
"actuation":{"split":[{"service":"s1","gain":90},{"service":"s2","gain":10}],"deadlineS":1.2,"maxTries":2,"homeRegions":[]}},
{"name":"r2","kind":"keyed","rank":1,"generation":"00000007","selector":{"pathPrefix":"/p/q"},"actuation":{"service":"s1","deadlineS":1.2}}]}],
"pools":[{"name":"s1","connLimit":110,"selfDedupes":false,"coldS":3.0,"coldRateS":9.9,"generation":"00000007"},{"name":"s2","generation":"00000008"}],
"customers":[{"name":"ada","keys":["k1","k2"],"rank":1,"homeRegions":["n"],"allowance":{"rate":60,"burst":60,"reserve":0.3},"generation":"00000007"}]},
"remove":{"routes":[{"name":"r9","generation":"00000009"}]}})";
std::vector<std::string> const json_words{"null",
                                          "-1",
                                          "1e308",
                                          "1e999",
                                          "0.5",
                                          "4294967296",
                                          "9e15",
                                          "\"\"",
                                          "\"\\u0000\"",
                                          "{",
                                          "[",
                                          "}",
                                          "]",
                                          ",",
                                          "\"a\\r\\nb\"",
                                          "[[[[[[[[",
                                          "true",
                                          "\"00000007\"",
                                          "\"name\":",
                                          "\"generation\":\"zzzzzzzz\"",
                                          "1e-320",
                                          "\"/\"",
                                          "\"\xff\""};

inline std::string a_body(char kind) {
  auto const part = [](char const* from, char const* to) {
    std::size_t const a = good_amend.find(from) + std::string(from).size(), b = good_amend.find(to, a);
    return good_amend.substr(a, b - a);
  };
  switch (kind) {
    case 'l': return part("\"limits\":", ",\n\"sockets\"");
    case 's': return part("\"pools\":[", ",{\"name\":\"s2\"");
    case 'c': return part("\"customers\":[", "]},\n\"remove\"");
    default: return "{\"host\":\"a.example\",\"policy\":" + part("\"policy\":[", ",\n{\"name\":\"r2\"") + "}";
  }
}

// What a spoiled call is taken as must compile whole on a proxy and read back as it was taken.
inline Outcomes amends(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  for (std::uint64_t i = 0; i < rounds; ++i) {
    std::string const body = sp.spoil(good_amend, json_words);
    o.run<json::Fault>("amend", [&] {
      ConfigChange const a = read_amend(body);
      std::size_t standing = 0;
      std::map<std::string, ConfigItem> items;
      for (ConfigItem const& it : a.items) {
        standing += it.gone || it.key[0] == 'l' ? 0 : 1;
        items[it.key] = it;
      }
      CompiledConfiguration const c = CompiledConfiguration::from(a.items);
      if (c.size() != standing) o.error_response("taken, but not whole on a proxy: " + body);
      for (auto const& [k, l] : c.all_lanes())
        if (!(l->deadline > 0 && l->deadline <= 1e9)) o.error_response("a deadline that fits no timer: " + body);
      if (!(c.limits().idle > 0 && c.limits().idle <= 1e9))
        o.error_response("an idle time that fits no timer: " + body);
      ConfigChange const b = read_amend("{\"upsert\":" + render_read(items) + "}");
      for (ConfigItem const& it : b.items)
        if (!(items[it.key] == it)) o.error_response("read back as something else: " + body);
    });
    // Bodies as a register of garbled bytes could hold them.
    ConfigItem it;
    it.key = std::string(1, "lrsc"[sp.below(4)]) + "/x";
    it.gen = Generation(i + 1);
    it.body = sp.spoil(a_body(it.key[0]), json_words);
    o.run<json::Fault>("item", [&] {
      CompiledConfiguration c;
      c.put(it);
      c.find("a.example", "/p/");
      ConfigItem gone = it;
      gone.gen = Generation(i + 2);
      gone.gone = true;
      c.put(gone);
      if (c.size() != 0) o.error_response("dropped, and still there: " + it.body);
      render_read({{it.key, it}});
    });
    o.run<json::Fault>("heartbeat", [&] {
      json::parse_as<schema::Heartbeat>(sp.spoil(
          R"({"service":"s1","address":"10.0.0.1:80","zone":"z","generation":"g","capacity":4,"state":"ready","coldLeftS":0.5,"callSeq":7})",
          json_words));
    });
  }
  return o;
}

std::string const good_settings =
    "nodeName=n\nip=10.0.0.1\nzone=a\nregion=r\nzones.a=r\nzones.b=q\nbind.control=10.0.0.1:8146\ninnerPorts=7000,"
    "7010\nagentPort=7001\nseedAddrs=10.0.0.1:8146,10.0.0.2:8146\n"
    "bootstrap=true\ntolerance.machines=1\nbeatPeriodS=1.5\nlimits.cpuShare=0.2\nbounds.ackBoundS=5\nbounds.ttl_max_s="
    "5\nrollout.stages=0.3,1.0\nrollout.enough=0.6\ncloudApi.address=10.9.0.1:80\n";
std::vector<std::string> const setting_words{"nan",
                                             "inf",
                                             "-1",
                                             "1e400",
                                             "0x10",
                                             "65536",
                                             "0",
                                             "",
                                             "=",
                                             "\n",
                                             ",",
                                             "1.5",
                                             " 1",
                                             "10.0.0.1",
                                             "10.0.0.1:0",
                                             "300.1.1.1:80",
                                             "true",
                                             "tolerance.machines=0.5\n",
                                             "ip=10.0.0.2\n"};

inline Outcomes settings(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  for (std::uint64_t i = 0; i < rounds; ++i) {
    std::string const text = sp.spoil(good_settings, setting_words);
    ++o.cases;
    try {
      Settings const s = parse_settings(text);
      ++o.taken;
      bool ok = is_ip(s.ip) && !s.zone.empty() && s.innerFirst >= 1 && s.innerLast > s.innerFirst &&
                s.innerLast <= 65535 && s.toleranceMachines >= 0 && std::isfinite(s.toleranceMachines) &&
                s.beatPeriodS >= 0.01 && s.bounds.ackBoundS >= 0.1 && s.bounds.ackBoundS <= 1e9 &&
                s.bounds.ttlMaxS >= 0 && s.rollout.stages.back() == 1 && s.rollout.enough > 0 &&
                s.rollout.giveUpS > 0 && s.region_of(s.zone) == s.region;
      for (Address const& a : s.seeds)
        ok = ok && is_ip(a.ip) && a.port >= 1 && a.port <= 65535;
      if (!ok) o.error_response("taken: " + text);
    } catch (SettingsError const& e) {
      ++o.refused;
      if (e.field.empty() || std::string(e.what()).find('\n') != std::string::npos)
        o.error_response("no field, or more than a line: " + std::string(e.what()));
    } catch (std::exception const& e) {
      o.error_response(std::string("settings: ") + e.what());
    }
  }
  return o;
}

// What passes as this attempt's whole answer is framed in one way, has that length and bears no other id.
inline Outcomes heads(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  std::vector<std::string> const names{"Content-Length",
                                       "content-length",
                                       "Transfer-Encoding",
                                       "X-Attempt-Id",
                                       "x-attempt-id",
                                       "X-Server-Seal",
                                       "X-Not-Run",
                                       "Host",
                                       "Content-Length ",
                                       "A\rB",
                                       ""};
  std::vector<std::string> const values{"4",
                                        "4",
                                        "a1",
                                        "a1",
                                        "a2",
                                        "chunked",
                                        "Chunked",
                                        "gzip, chunked",
                                        "-4",
                                        "+4",
                                        "4 ",
                                        "0x4",
                                        "99999999999999999999",
                                        "",
                                        "s"};
  int const codes[] = {200, 200, 204, 304, 500, 503, 421, 429, 99, 600, 0, -1};
  for (std::uint64_t i = 0; i < rounds; ++i) {
    UpstreamResponse r;
    r.status = codes[sp.below(std::size(codes))];
    r.body_bytes = sp.below(6);
    for (std::uint64_t n = sp.below(6); n > 0; --n)
      r.headers.emplace_back(names[sp.below(names.size())], values[sp.below(values.size())]);
    ++o.cases;
    AttemptResult const e = check_response(r, "a1").result;
    ++(e == AttemptResult::broken ? o.refused : o.taken);
    std::size_t lengths = 0, codings = 0, ids = 0, others = 0;
    for (auto const& [k, v] : r.headers) {
      lengths += same_header_name(k, "Content-Length") ? 1 : 0;
      codings += same_header_name(k, "Transfer-Encoding") ? 1 : 0;
      ids += same_header_name(k, "X-Attempt-Id") && v == "a1" ? 1 : 0;
      others += same_header_name(k, "X-Attempt-Id") && v != "a1" ? 1 : 0;
    }
    if (e != AttemptResult::broken && (lengths + codings > 1 || others > 0 || r.status < 200 || r.status > 599))
      o.error_response("an ambiguous answer passed, code " + std::to_string(r.status));
    if (e == AttemptResult::complete && ids == 0) o.error_response("an answer without an id passed");
    if (are_well_formed(r.headers) && std::any_of(r.headers.begin(), r.headers.end(), [](auto const& h) {
          return h.first.empty() || h.first.find_first_of(" \r") != std::string::npos;
        }))
      o.error_response("a name that is no token passed");
  }
  return o;
}

// Garbled votes: what a disk promised and holds never goes back, and a proposer wins nothing by them.
inline Outcomes votes(std::uint64_t seed, std::uint64_t rounds) {
  Outcomes o;
  Spoiler sp(seed);
  ReplicatedState founding;
  for (int i = 1; i <= 3; ++i) {
    Member m;
    m.ip = "10.0.0." + std::to_string(i);
    m.incarnation = Incarnation(1);
    founding.membership.push_back(m);
  }
  Acceptor acc(Incarnation(1), Ballot(), founding);
  Proposer prop("10.0.0.1");
  for (std::uint64_t i = 0; i < rounds; ++i) {
    ReplicatedState const best = *acc.state();
    auto const asks = prop.begin_round(
        best, [](ReplicatedState& s) { return ++s.to_fix > 0; }, 0, acc.state()->epoch);
    if (asks.empty()) {
      o.error_response("a value without a roster stands");
      break;
    }
    Ballot const promised = acc.promised(), held = best.ballot;
    PrepareResponse pr;
    AcceptResponse ar;
    o.run<codec::MalformedMessage>("prep", [&] {
      acc.prepare(codec::unpack<PrepareRequest>(sp.spoil(codec::pack(std::get<PrepareRequest>(asks[0].request)))), pr);
    });
    Proposer::Messages accs;
    for (char const* ip : {"10.0.0.1", "10.0.0.2"})
      o.run<codec::MalformedMessage>("prepR", [&] {
        PrepareResponse good;
        good.is_promised = true;
        good.ballot = std::get<PrepareRequest>(asks[0].request).ballot;
        good.promised = good.ballot;
        good.incarnation = Incarnation(1);
        std::string const body = codec::pack(good);
        auto const v =
            prop.on_prepare_response(ip, codec::unpack<PrepareResponse>(sp.chance(50) ? sp.spoil(body) : body));
        accs.insert(accs.end(), v.begin(), v.end());
      });
    for (auto const& x : accs)
      if (auto const* const accept = std::get_if<AcceptRequest>(&x.request))
        o.run<codec::MalformedMessage>("acc", [&] {
          std::string const body = codec::pack(*accept);
          acc.accept(codec::unpack<AcceptRequest>(sp.chance(70) ? sp.spoil(body) : body), ar);
        });
    if (acc.promised() < promised || acc.state()->ballot < held) o.error_response("a disk went back");
    if (acc.state()->membership.empty() || acc.state()->epoch.v > acc.state()->ballot.v)
      o.error_response("a value that no round could write stands");
    if (acc.promised() > kLastBallot) o.error_response("outbid for ever");
    if (acc.promised().v >> 62 != 0)
      acc = Acceptor(Incarnation(1), Ballot(), founding);  // far up: begin anew, for it must not overflow here either
    prop.abandon();
  }
  return o;
}

}  // namespace dockbend::test
