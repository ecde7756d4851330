#include "load_generation/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace dockbend {
namespace {
double const least = 1e-5, grow = 1.02;
}

LoadKind parse_kind(std::string const& s) {
  std::vector<std::string> p{""};
  for (char const c : s) {
    if (c == ':')
      p.emplace_back();
    else
      p.back() += c;
  }
  if (p.size() < 4 || p.size() > 7)
    throw BadLoad("--kind: wants NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]], not '" + s + "'");
  LoadKind k;
  k.name = p[0];
  k.method = p[1];
  k.path = p[2];
  auto number = [&](std::string const& v, char const* what) {
    char* end = nullptr;
    double const d = std::strtod(v.c_str(), &end);
    if (v.empty() || *end != '\0' || !(d >= 0) || d > 1e6)
      throw BadLoad(std::string("--kind: ") + what + ": not a fitting number: '" + v + "'");
    return d;
  };
  if (k.name.empty()) throw BadLoad("--kind: NAME: empty");
  if (k.method != "GET" && k.method != "POST" && k.method != "PUT")
    throw BadLoad("--kind: METHOD: GET, POST or PUT, not '" + k.method + "'");
  if (k.path.empty() || k.path[0] != '/') throw BadLoad("--kind: PATH: wants a slash at its start");
  k.rate = number(p[3], "RATE");
  if (k.rate <= 0) throw BadLoad("--kind: RATE: wants more than 0");
  if (p.size() > 4 && !(p.size() > 5 && p[4].empty())) k.body = static_cast<std::size_t>(number(p[4], "BODYBYTES"));
  if (k.body > 0 && k.method == "GET") throw BadLoad("--kind: BODYBYTES: a GET carries none");
  if (p.size() > 6) k.token = p[6];
  if (p.size() > 5 && !(p.size() > 6 && p[5].empty())) {
    if (p[5] != "keyed") throw BadLoad("--kind: the sixth part can only be 'keyed'");
    k.keyed = true;
  }
  return k;
}

Seconds Arrivals::next() {
  double const u = (static_cast<double>(next64(s_) >> 11) + 0.5) * 0x1.0p-53;
  at_ += -std::log(u) / rate_;
  return at_;
}

void Times::add(Seconds due, Seconds done) {
  Seconds const t = std::max(0.0, done - due);
  auto const i = static_cast<std::size_t>(t <= least ? 0 : std::log(t / least) / std::log(grow));
  if (b_.size() <= i) b_.resize(i + 1);
  ++b_[i];
  ++n_;
  most_ = std::max(most_, t);
}

Seconds Times::quantile(double q) const {
  if (n_ == 0) return 0;
  auto const want = static_cast<u64>(std::ceil(q * static_cast<double>(n_)));
  u64 seen = 0;
  for (std::size_t i = 0; i < b_.size(); ++i) {
    seen += b_[i];
    if (seen >= std::max<u64>(want, 1)) return std::min(most_, least * std::pow(grow, static_cast<double>(i) + 0.5));
  }
  return most_;
}

void Tally::add(Seconds due_at, Seconds sent_at, Seconds done_at, int code) {
  ++due;
  if (sent_at - due_at > 0.01) ++late;
  ++codes[code];
  if (code >= 200 && code < 300) times.add(due_at, done_at);
}

void Granted::add(Seconds at) {
  if (at_ >= 0 && at > at_) level_ = std::max(0.0, level_ - (at - at_) * rate_);
  at_ = std::max(at_, at);
  level_ += 1;
  worst_ = std::max(worst_, level_);
}

}  // namespace dockbend
