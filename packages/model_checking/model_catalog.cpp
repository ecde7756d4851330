#include "model_checking/model_catalog.hpp"

#include <algorithm>
#include <sstream>

#include "model_checking/consensus_model.hpp"
#include "model_checking/idempotency_model.hpp"
#include "model_checking/lease_model.hpp"

namespace dockbend::model_checking {
namespace {

template <class M>
Case made(char const* model, char const* error_response, char const* what, Bounds const& plan,
          WalkLimits const& walks) {
  static_assert(Model<M>);
  Case c;
  c.model = model;
  c.error_response = error_response;
  c.what = what;
  c.plan = plan;
  c.walks = walks;
  c.search = [](Bounds const& p, SearchLimits const& s) { return search(M(p), s); };
  c.walk = [](Bounds const& p, WalkLimits const& w) { return walk(M(p), w); };
  c.play = [](Bounds const& p, Trace const& t) {
    Replay r;
    M m(p);
    for (Action const& a : t) {
      std::string const line = m.describe(a);
      r.lines.push_back(m.step(a) ? line : "(can't be done now) " + line);
      if (!m.breach().empty()) break;
    }
    if (m.breach().empty()) {
      r.settled = true;
      m.settle();
    }
    r.breach = m.breach();
    return r;
  };
  c.words.assign(M::words.begin(), M::words.end());
  return c;
}

Bounds rounds(u32 nodes) {
  Bounds p;
  p.nodes = nodes;
  p.spares = 2;
  p.proposers = 3;
  p.proposals = 14;
  p.items = 3;
  p.joins = 4;
  p.leaves = 3;
  p.swaps = 2;
  p.restarts = 4;
  p.wipes = 2;
  p.repeats = 6;
  p.holds = 20;
  p.lates = 6;
  p.cuts = 4;
  p.drops = 20;
  p.tells = 30;
  return p;
}
Bounds restarts() {
  Bounds p = rounds(3);
  p.spares = p.joins = p.leaves = p.swaps = p.wipes = p.lates = p.cuts = p.drops = 0;
  p.restarts = p.proposals = 10;
  return p;
}
Bounds claims(u32 nodes) {
  Bounds p;
  p.nodes = nodes;
  p.spares = 2;
  p.proposers = 2;
  p.joins = 8;
  p.leaves = 4;
  p.restarts = 3;
  p.wipes = 2;
  p.repeats = 1;
  p.holds = 6;
  p.lates = 4;
  p.drops = 2;
  return p;
}
// One disk of three is lost and comes back empty; nothing else.
Bounds replacement() {
  Bounds p;
  p.nodes = 3;
  p.proposers = 2;
  p.joins = 1;
  p.wipes = 1;
  return p;
}
Bounds out_and_back() {
  Bounds p;
  p.nodes = 4;
  p.proposers = 2;
  p.joins = 2;
  p.leaves = 2;
  return p;
}
Bounds terms() {
  Bounds p;
  p.nodes = 3;
  p.ticks = 60;
  p.swaps = 6;
  p.restarts = 5;
  p.drops = 12;
  return p;
}
}  // namespace

std::vector<Case> const& cases() {
  static std::vector<Case> const all = [] {
    std::vector<Case> v;
    char const* const r = "registers";
    char const* const l = "ledgers";
    char const* const d = "duties";
    WalkLimits const w{1, 1000, 200};
    v.push_back(made<ConsensusModel<NoFault>>(r, kNoFault, "the register as it is", rounds(3), w));
    v.push_back(made<ConsensusModel<RepliesBeforeWrite>>(r, "replies-before-write",
                                                         "an acceptor's answer leaves before its write", rounds(3), w));
    v.push_back(made<ConsensusModel<AcceptsBelowPromise>>(
        r, "accepts-below-promise", "an acceptor takes a ballot below its promise", rounds(3), w));
    v.push_back(made<ConsensusModel<VotesForOtherLife>>(
        r, "votes-for-other-life", "an acceptor takes what was meant for another disk", rounds(3), w));
    v.push_back(made<ConsensusModel<CountsNewRosterOnly>>(
        r, "counts-new-roster-only", "a step is won by a majority of the new roster", rounds(3), w));
    v.push_back(made<ConsensusModel<CountsOldRosterOnly>>(
        r, "counts-old-roster-only", "a step is won by a majority of the old roster", rounds(3), w));
    v.push_back(
        made<ConsensusModel<WinsByOneTooFew>>(r, "wins-by-one-too-few", "one less than a majority wins", rounds(3), w));
    v.push_back(made<ConsensusModel<AdoptsNothing>>(
        r, "adopts-nothing", "a proposer goes by its own value, not by the newest found", rounds(3), w));
    v.push_back(made<ConsensusModel<StepsOnUnwonStep>>(r, "steps-on-unwon-step",
                                                       "any step found counts as won (the code before)", rounds(3), w));
    v.push_back(made<ConsensusModel<LearnsByNewRosterOnly>>(
        r, "learns-by-new-roster-only", "learning without a round asks the new roster only", rounds(3), w));
    v.push_back(made<ConsensusModel<AppliesOnAnyBase>>(r, "applies-on-any-base",
                                                       "a delta goes on whatever value is there", rounds(3), w));
    v.push_back(made<ConsensusModel<ForgetsOnRestart>>(r, "forgets-on-restart", "a promise is not read back from disk",
                                                       restarts(), WalkLimits{1, 2000, 150}));
    v.push_back(
        made<IdempotencyModel<NoFault>>(l, kNoFault, "claims as they are", claims(5), WalkLimits{1, 1000, 120}));
    v.push_back(made<IdempotencyModel<VotesBeforeWhole>>(l, "votes-before-whole", "a new disk grants before it copied",
                                                         replacement(), WalkLimits{1, 2000, 60}));
    v.push_back(made<IdempotencyModel<IgnoresEpoch>>(l, "ignores-epoch", "a disk grants whatever epoch is named",
                                                     replacement(), WalkLimits{1, 3000, 60}));
    v.push_back(made<IdempotencyModel<CopiesFromTooFew>>(l, "copies-from-too-few",
                                                         "a new disk copies from one less than a majority",
                                                         replacement(), WalkLimits{1, 2000, 60}));
    WalkLimits const rare{1, 0, 0};  // too rare for walks; the tests show it by a trace
    Bounds five = replacement();
    five.nodes = 5;
    v.push_back(made<IdempotencyModel<CopiesUnmoved>>(
        l, "copies-unmoved", "a new disk copies from disks that still grant under the old epoch", five, rare));
    five.lates = five.restarts = 1;
    v.push_back(made<IdempotencyModel<CopiesUnsynced>>(
        l, "copies-unsynced", "it copies from disks whose move is not on disk yet", five, rare));
    v.push_back(made<IdempotencyModel<ShrinksFreely>>(
        l, "shrinks-freely", "removals without regard to claims won before", claims(5), WalkLimits{1, 2000, 120}));
    v.push_back(made<IdempotencyModel<ReturnsAsWhole>>(l, "returns-as-whole",
                                                       "a removed disk comes back with its old ledger", out_and_back(),
                                                       WalkLimits{1, 2000, 80}));
    v.push_back(made<LeaseModel<NoFault>>(d, kNoFault, "duties as they are", terms(), WalkLimits{1, 300, 300}));
    v.push_back(made<LeaseModel<LeasesFromAnswer>>(d, "leases-from-answer", "a lease is counted from the answer",
                                                   terms(), WalkLimits{1, 300, 300}));
    v.push_back(made<LeaseModel<ActsWhileHanding>>(
        d, "acts-while-handing", "a holder acts on after it was told to hand over", terms(), WalkLimits{1, 300, 300}));
    return v;
  }();
  return all;
}

Case const* find(std::string const& model, std::string const& error_response) {
  auto const& v = cases();
  auto const it = std::find_if(v.begin(), v.end(),
                               [&](Case const& c) { return c.model == model && c.error_response == error_response; });
  return it == v.end() ? nullptr : &*it;
}

std::string write_plan(Bounds const& p) {
  std::string s;
  for (BoundsField const& f : kBoundsFields)
    s += (s.empty() ? "" : " ") + std::string(f.name) + "=" + std::to_string(p.*f.at);
  return s;
}

namespace {
u64 number(std::string const& s, std::string const& what, u64 most) {
  std::size_t end = 0;
  u64 x = 0;
  try {
    if (!s.empty() && s[0] != '-') x = std::stoull(s, &end);
  } catch (std::exception const&) {
    end = 0;
  }
  if (s.empty() || end != s.size() || x > most)
    throw TraceError(what + ": wants a number up to " + std::to_string(most));
  return x;
}
}  // namespace

Bounds read_plan(std::string const& text, Bounds p) {
  std::string t = text;
  std::replace(t.begin(), t.end(), ',', ' ');
  std::istringstream in(t);
  for (std::string w; in >> w;) {
    auto const eq = w.find('=');
    std::string const name = w.substr(0, eq);
    auto const f =
        std::find_if(kBoundsFields.begin(), kBoundsFields.end(), [&](BoundsField const& x) { return name == x.name; });
    if (eq == std::string::npos || f == kBoundsFields.end()) throw TraceError("plan: no such bound: " + w);
    p.*f->at = static_cast<u32>(number(w.substr(eq + 1), "plan: " + name, 1000000));
  }
  if (p.nodes < 2 || p.nodes + p.spares > 8) throw TraceError("plan: wants 2 founders at least, 8 nodes at most");
  if (p.proposers < 1 || p.proposers > 8) throw TraceError("plan: wants 1 to 8 proposers");
  return p;
}

std::string write_trace(RecordedTrace const& r) {
  std::ostringstream o;
  o << "model " << r.of->model << "\nfault " << r.of->error_response << "\nplan " << write_plan(r.plan) << "\nseed "
    << r.seed << "\nbreach " << r.breach << "\n";
  Replay const p = r.of->play(r.plan, r.trace);
  for (std::size_t i = 0; i < r.trace.size(); ++i) {
    Action const& a = r.trace[i];
    o << "step " << r.of->words.at(a.what) << " " << int{a.a} << " " << int{a.b} << " " << int{a.c} << " " << a.m;
    if (i < p.lines.size()) o << "  # " << p.lines[i];
    o << "\n";
  }
  return o.str();
}

RecordedTrace read_trace(std::string const& text) {
  RecordedTrace r;
  std::string model, error_response;
  std::istringstream in(text);
  int n = 0;
  for (std::string line; std::getline(in, line);) {
    ++n;
    std::string const at = "line " + std::to_string(n);
    if (auto const h = line.find("  #"); h != std::string::npos) line.erase(h);
    std::istringstream l(line);
    std::string word, rest;
    if (!(l >> word) || word[0] == '#') continue;
    std::getline(l >> std::ws, rest);
    if (word == "model")
      model = rest;
    else if (word == "fault")
      error_response = rest;
    else if (word == "seed")
      r.seed = number(rest, at, ~0ULL);
    else if (word == "breach")
      r.breach = rest;
    else if (word == "plan")
      r.plan = read_plan(rest, Bounds{});
    else if (word == "step") {
      r.of = r.of == nullptr ? find(model, error_response) : r.of;
      if (r.of == nullptr) throw TraceError(at + ": no such model and fault before the first step");
      std::istringstream s(rest);
      std::string what, a, b, c, m, more;
      s >> what >> a >> b >> c >> m;
      auto const w = std::find(r.of->words.begin(), r.of->words.end(), what);
      if (w == r.of->words.end()) throw TraceError(at + ": no such step: " + what);
      if (s >> more) throw TraceError(at + ": too many words");
      Action x;
      x.what = static_cast<u8>(w - r.of->words.begin());
      x.a = static_cast<u8>(number(a, at, 255));
      x.b = static_cast<u8>(number(b, at, 255));
      x.c = static_cast<u8>(number(c, at, 255));
      x.m = number(m, at, ~0ULL);
      r.trace.push_back(x);
    } else {
      throw TraceError(at + ": unknown word: " + word);
    }
  }
  if (r.of == nullptr) r.of = find(model, error_response);
  if (r.of == nullptr) throw TraceError("names no known model and fault");
  return r;
}

}  // namespace dockbend::model_checking
