#include "load_generation/load_report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace dockbend {
namespace {

Seconds constexpr kLeastLatency = 1e-5;
double constexpr kBucketGrowth = 1.02;
Seconds constexpr kLateAfter = 0.01;
double constexpr kMostNumber = 1e6;
std::size_t constexpr kLeastFields = 4, kMostFields = 7;
/// The places of a kind's fields.
std::size_t constexpr kName = 0, kMethod = 1, kPath = 2, kRate = 3, kBodyBytes = 4, kKeyed = 5, kToken = 6;

std::vector<std::string> split_fields(std::string const& text) {
  std::vector<std::string> fields{""};
  for (char const letter : text) {
    if (letter == ':')
      fields.emplace_back();
    else
      fields.back() += letter;
  }
  return fields;
}

double read_number(std::string const& text, char const* field) {
  char* end = nullptr;
  double const number = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(number >= 0) || number > kMostNumber)
    throw LoadOptionError(std::string("--kind: ") + field + ": not a fitting number: '" + text + "'");
  return number;
}

void check_request_line(LoadKind const& kind) {
  if (kind.name.empty()) throw LoadOptionError("--kind: NAME: empty");
  if (kind.method != "GET" && kind.method != "POST" && kind.method != "PUT")
    throw LoadOptionError("--kind: METHOD: GET, POST or PUT, not '" + kind.method + "'");
  if (kind.path.empty() || kind.path[0] != '/') throw LoadOptionError("--kind: PATH: wants a slash at its start");
}

/// Whether an optional field is given. It may be empty only if another follows.
bool is_given(std::vector<std::string> const& fields, std::size_t field) {
  return fields.size() > field && !(fields.size() > field + 1 && fields[field].empty());
}

}  // namespace

LoadKind parse_kind(std::string const& text) {
  std::vector<std::string> const fields = split_fields(text);
  if (fields.size() < kLeastFields || fields.size() > kMostFields)
    throw LoadOptionError("--kind: wants NAME:METHOD:PATH:RATE[:BODYBYTES[:keyed[:TOKEN]]], not '" + text + "'");
  LoadKind kind;
  kind.name = fields[kName];
  kind.method = fields[kMethod];
  kind.path = fields[kPath];
  check_request_line(kind);
  kind.rate = read_number(fields[kRate], "RATE");
  if (kind.rate <= 0) throw LoadOptionError("--kind: RATE: wants more than 0");
  if (is_given(fields, kBodyBytes)) kind.body = static_cast<std::size_t>(read_number(fields[kBodyBytes], "BODYBYTES"));
  if (kind.body > 0 && kind.method == "GET") throw LoadOptionError("--kind: BODYBYTES: a GET carries none");
  if (fields.size() > kToken) kind.token = fields[kToken];
  if (is_given(fields, kKeyed)) {
    if (fields[kKeyed] != "keyed") throw LoadOptionError("--kind: the sixth part can only be 'keyed'");
    kind.keyed = true;
  }
  return kind;
}

Seconds Arrivals::next() {
  double const uniform = (static_cast<double>(next64(random_state_) >> 11) + 0.5) * 0x1.0p-53;  // 0 < uniform < 1
  last_ += -std::log(uniform) / rate_;
  return last_;
}

void LatencyHistogram::add(Seconds due_at, Seconds done_at) {
  Seconds const latency = std::max(0.0, done_at - due_at);
  auto const bucket = static_cast<std::size_t>(
      latency <= kLeastLatency ? 0 : std::log(latency / kLeastLatency) / std::log(kBucketGrowth));
  if (buckets_.size() <= bucket) buckets_.resize(bucket + 1);
  ++buckets_[bucket];
  ++count_;
  most_ = std::max(most_, latency);
}

Seconds LatencyHistogram::quantile(double share) const {
  if (count_ == 0) return 0;
  auto const wanted = std::max<u64>(static_cast<u64>(std::ceil(share * static_cast<double>(count_))), 1);
  u64 seen = 0;
  for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    seen += buckets_[bucket];
    Seconds const middle = kLeastLatency * std::pow(kBucketGrowth, static_cast<double>(bucket) + 0.5);
    if (seen >= wanted) return std::min(most_, middle);
  }
  return most_;
}

void KindResults::add(Seconds due_at, Seconds sent_at, Seconds done_at, int code) {
  ++due;
  if (sent_at - due_at > kLateAfter) ++late;
  ++codes[code];
  if (code >= 200 && code < 300) times.add(due_at, done_at);
}

void BudgetUsage::add(Seconds granted_at) {
  if (last_at_ >= 0 && granted_at > last_at_) level_ = std::max(0.0, level_ - (granted_at - last_at_) * rate_);
  last_at_ = std::max(last_at_, granted_at);
  level_ += 1;
  worst_ = std::max(worst_, level_);
}

}  // namespace dockbend
