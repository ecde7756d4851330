#include "request/admission.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace dockbend {
namespace {

using schema::RouteKind;

// What is read of the head. Invariant: a name that must be said once is counted.
struct Named {
  std::string const *id = nullptr, *key = nullptr, *host = nullptr, *time_left = nullptr, *authorization = nullptr;
  std::size_t ids = 0, keys = 0, hosts = 0;
};

Named read(Headers const& heads) {
  Named n;
  auto first = [](std::string const*& p, std::string const& v) {
    if (p == nullptr) p = &v;
  };
  for (auto const& [k, v] : heads) {
    if (same_name(k, "X-Attempt-Id"))
      first(n.id, v), ++n.ids;
    else if (same_name(k, "X-Operation-Key"))
      first(n.key, v), ++n.keys;
    else if (same_name(k, "Host"))
      first(n.host, v), ++n.hosts;
    else if (same_name(k, "X-Time-Left"))
      first(n.time_left, v);
    else if (same_name(k, "Authorization"))
      first(n.authorization, v);
  }
  return n;
}

bool well_framed(IncomingRequest const& a) {
  u64 len = 0;
  switch (framing_of(a.heads, len)) {
    case BodyFraming::none: return a.body == 0;
    case BodyFraming::length: return len == a.body;
    case BodyFraming::chunked: return a.chunks;
    case BodyFraming::ambiguous: break;
  }
  return false;
}

// The key that a client names itself by: `Authorization: Token KEY`.
std::string_view key_of(std::string_view v) {
  auto const sp = v.find(' ');
  if (sp == std::string_view::npos || !same_name(v.substr(0, sp), "Token")) return {};
  v.remove_prefix(sp);
  while (!v.empty() && v.front() == ' ')
    v.remove_prefix(1);
  while (!v.empty() && v.back() == ' ')
    v.remove_suffix(1);
  return v;
}

std::string host_of(std::string_view h) {
  std::string s(h.substr(0, h.find(':')));
  std::transform(s.begin(), s.end(), s.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return s;
}

std::string const* pick(Route const& route, double draw) {
  double sum = 0;
  for (auto const& [s, g] : route.to)
    sum += g;
  double x = draw * sum;
  for (auto const& [s, g] : route.to) {
    if (g > 0 && x < g) return &s;
    x -= g;
  }
  return &route.to.back().first;
}

// If both the lane and the partner have homes, both bind. None: they have none in common.
std::optional<std::vector<std::string>> homes_of(Route const& route, Tenant const* t) {
  if (t == nullptr || t->homes.empty()) return route.homes;
  if (route.homes.empty()) return t->homes;
  std::vector<std::string> both;
  for (std::string const& h : route.homes)
    if (std::find(t->homes.begin(), t->homes.end(), h) != t->homes.end()) both.push_back(h);
  if (both.empty()) return std::nullopt;
  return both;
}

}  // namespace

std::size_t size_of(Headers const& h) {
  std::size_t n = 0;
  for (auto const& [k, v] : h)
    n += k.size() + v.size() + 4;
  return n;
}

AdmissionResult admit(IncomingRequest const& a, CompiledConfiguration const* man, LimitsConfig const& limits,
                      bool drains, double draw) {
  Named const n = read(a.heads);
  AdmissionResult out;
  if (n.id != nullptr) out.id = *n.id;
  auto no = [&out](LocalReply v, char const* why = nullptr) {
    out.no = v;
    out.why = why;
    return std::move(out);
  };
  // Two names for one request: we would go by the one and the server by the other.
  if (!well_framed(a) || n.hosts != 1 || n.ids > 1 || n.keys > 1 || !well_formed(a.heads))
    return no(verdict_of(400, -1, true));
  if (size_of(a.heads) + a.target.size() > limits.header_bytes) return no(verdict_of(431, -1, true));
  if (a.body > limits.body_bytes) return no(verdict_of(413, -1, true));
  if (a.target.empty() || a.target[0] != '/' || !well_formed_target(a.target)) return no(verdict_of(400, -1, true));
  if (man == nullptr) return no(verdict_of(503, 0.3));
  AdmittedRequest r;
  r.route = man->find(host_of(*n.host), a.target.substr(0, a.target.find('?')));
  if (!r.route) return no(verdict_of(404));
  if (out.id.empty()) return no(verdict_of(400));
  Route const& route = *r.route;
  r.upload = route.kind == RouteKind::inflow || a.body > kUploadBytes;
  // On its way out for maintenance: what may not be cut is not begun.
  if (drains && (route.kind == RouteKind::keyed || r.upload)) return no(verdict_of(503, 0.05, true), "draining");
  r.gated = man->has_tenants();
  if (r.gated) {
    if (n.authorization != nullptr)
      if (std::string_view const k = key_of(*n.authorization); !k.empty()) r.tenant = man->tenant_of(k);
    if (!r.tenant && !route.keyless) return no(verdict_of(401));
  }
  r.rank = r.tenant && r.tenant->rank ? *r.tenant->rank : route.rank;
  r.left = route.deadline;
  if (n.time_left != nullptr)
    if (double const ms = std::strtod(n.time_left->c_str(), nullptr); ms > 0) r.left = std::min(r.left, ms / 1000.0);
  r.service = pick(route, draw);
  ServiceConfig const* const d = man->pool(*r.service);
  r.repeatable = route.kind == RouteKind::idempotent || (route.kind == RouteKind::keyed && d != nullptr && d->dedupes);
  if (route.kind == RouteKind::keyed) {
    if (n.key == nullptr || n.key->empty()) return no(verdict_of(400));
    r.key = r.tenant ? r.tenant->name + "/" + *n.key : *n.key;
  }
  std::optional<std::vector<std::string>> homes = homes_of(route, r.tenant.get());
  // Nobody may ever run it.
  if (!homes) return no(verdict_of(503, 1.0), "homes have nothing in common");
  r.homes = std::move(*homes);
  out.ok = std::move(r);
  return out;
}

}  // namespace dockbend
