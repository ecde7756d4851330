#include "configuration/compiled_configuration.hpp"

#include <algorithm>

#include "configuration/json.hpp"

namespace dockbend {
namespace {
using json::Value;

constexpr std::size_t kKeyPrefixLength = 2;             // the letter and the slash of an item key
constexpr double kDefaultTargetShareOfDeadline = 0.25;  // latency target of a route that sets none

RoutePtr compile_route(Value const& item) {
  schema::Policy policy;
  json::read(json::require_member(item, "policy"), "", policy);
  if (policy.selector.pathPrefix.empty()) throw json::Fault("selector.pathPrefix", "empty");
  schema::Actuation const& actuation = policy.actuation;
  auto route = std::make_shared<Route>();
  route->name = policy.name;
  json::read(json::require_member(item, "host"), "host", route->host);
  route->prefix = policy.selector.pathPrefix;
  route->kind = policy.kind;
  if (actuation.split && !actuation.split->empty()) {
    for (schema::Share const& share : *actuation.split)
      route->to.emplace_back(share.service, share.gain);
  } else {
    route->to.emplace_back(actuation.service.value_or(""), 1.0);
  }
  route->deadline = actuation.deadlineS;
  route->latency_target = policy.setpointS.value_or(route->deadline * kDefaultTargetShareOfDeadline);
  route->max_attempts = std::max<u32>(1, actuation.maxTries.value_or(1));
  route->rank = policy.rank.value_or(0);
  route->keyless = policy.keyless.value_or(false);
  if (actuation.homeRegions) route->homes = *actuation.homeRegions;
  route->gen = policy.generation;
  return route;
}

TenantPtr compile_tenant(Value const& item) {
  schema::Customer customer;
  json::read(item, "", customer);
  auto tenant = std::make_shared<Tenant>();
  tenant->name = customer.name;
  if (customer.keys) tenant->keys = *customer.keys;
  if (customer.homeRegions) tenant->homes = *customer.homeRegions;
  tenant->rank = customer.rank;
  tenant->allowance = customer.allowance;
  tenant->gen = customer.generation;
  return tenant;
}

ServiceConfig compile_service(Value const& item) {
  schema::Pool pool;
  json::read(item, "", pool);
  ServiceConfig service;
  service.name = pool.name;
  if (pool.connLimit) service.conn_limit = *pool.connLimit;
  if (pool.selfDedupes) service.dedupes = *pool.selfDedupes;
  if (pool.coldS) service.cold_s = *pool.coldS;
  if (pool.coldRateS) service.cold_rate = *pool.coldRateS;
  return service;
}

bool has_exact_prefix(Route const& route) {
  return route.prefix.back() == '/';
}

/// Of two of one version the one whose name comes first, so that the order does not depend on who was put first.
template <class T>
bool comes_before(T const& a, T const& b) {
  return a->gen == b->gen ? a->name < b->name : b->gen < a->gen;
}

template <class T>
void insert_newest_first(std::vector<T>& list, T const& entry) {
  list.insert(std::lower_bound(list.begin(), list.end(), entry, comes_before<T>), entry);
}

template <class Index, class T>
void erase_entry(Index& index, std::string const& key, T const& entry) {
  auto const list = index.find(key);
  if (list == index.end()) return;
  std::erase(list->second, entry);
  if (list->second.empty()) index.erase(list);
}
}  // namespace

CompiledConfiguration CompiledConfiguration::from(std::vector<ConfigItem> const& items) {
  CompiledConfiguration configuration;
  for (ConfigItem const& item : items)
    configuration.put(item);
  return configuration;
}

void CompiledConfiguration::put(ConfigItem const& item) {
  auto const [version, is_new] = versions_.try_emplace(item.key, item.gen);
  if (!is_new && item.gen <= version->second) return;  // a version has one body
  version->second = item.gen;
  remove(item.key);
  if (item.key[0] == item_key::kTenant) has_had_tenants_ = true;
  if (holds_former_keys(item)) return add_former_keys(item);
  if (item.gone) return;
  try {
    set(item);
  } catch (json::Fault const&) {
    // An item is checked before it is taken, so a newer program wrote this one. It is left out rather than guessed at.
  }
}

void CompiledConfiguration::set(ConfigItem const& item) {
  rapidjson::Document const document = json::parse(item.body);
  Value const& body = document;
  switch (item.key[0]) {
    case item_key::kLimits: {
      schema::Limits limits;
      json::read(body, "", limits);
      set_limits(limits);
      break;
    }
    case item_key::kService: pools_[item.key.substr(kKeyPrefixLength)] = compile_service(body); break;
    case item_key::kTenant: add_tenant(item.key, compile_tenant(body)); break;
    default: add_route(item.key, compile_route(body));
  }
}

void CompiledConfiguration::set_limits(schema::Limits const& limits) {
  if (limits.headerBytes) limits_.header_bytes = *limits.headerBytes;
  if (limits.bodyBytes) limits_.body_bytes = *limits.bodyBytes;
  if (limits.headerDeadlineS) limits_.header_deadline = *limits.headerDeadlineS;
  if (limits.idleTimeoutS) limits_.idle = *limits.idleTimeoutS;
}

void CompiledConfiguration::add_route(std::string const& key, RoutePtr const& route) {
  if (has_exact_prefix(*route)) {
    insert_newest_first(exact_[route->host + route->prefix], route);
  } else {
    std::vector<RoutePtr>& list = inexact_[route->host];
    auto const is_longer = [](RoutePtr const& a, RoutePtr const& b) { return a->prefix.size() > b->prefix.size(); };
    auto const [first, last] = std::equal_range(list.begin(), list.end(), route, is_longer);
    list.insert(std::lower_bound(first, last, route, comes_before<RoutePtr>), route);
  }
  ++routes_by_rank_[route->rank];
  routes_[key] = route;
}

void CompiledConfiguration::add_tenant(std::string const& key, TenantPtr const& tenant) {
  for (std::string const& api_key : tenant->keys)
    insert_newest_first(tenants_by_api_key_[api_key], tenant);
  tenants_[key] = tenant;
}

void CompiledConfiguration::add_former_keys(ConfigItem const& item) {
  FormerKeys const former = read_former_keys(item);
  for (FormerKey const& key : former.keys) {
    auto const holding = std::make_shared<FormerHolding const>(FormerHolding{key.key, former.tenant, key.since});
    insert_newest_first(former_holdings_by_api_key_[key.key], holding);
    former_holdings_[item.key].push_back(holding);
  }
}

void CompiledConfiguration::remove(std::string const& key) {
  remove_route(key);
  remove_tenant(key);
  remove_former_keys(key);
  if (key[0] == item_key::kService) pools_.erase(key.substr(kKeyPrefixLength));
}

void CompiledConfiguration::remove_route(std::string const& key) {
  auto const found = routes_.find(key);
  if (found == routes_.end()) return;
  RoutePtr const route = found->second;
  if (has_exact_prefix(*route))
    erase_entry(exact_, route->host + route->prefix, route);
  else
    erase_entry(inexact_, route->host, route);
  if (--routes_by_rank_[route->rank] == 0) routes_by_rank_.erase(route->rank);
  routes_.erase(found);
}

void CompiledConfiguration::remove_tenant(std::string const& key) {
  auto const found = tenants_.find(key);
  if (found == tenants_.end()) return;
  TenantPtr const tenant = found->second;
  for (std::string const& api_key : tenant->keys)
    erase_entry(tenants_by_api_key_, api_key, tenant);
  tenants_.erase(found);
}

void CompiledConfiguration::remove_former_keys(std::string const& key) {
  auto const found = former_holdings_.find(key);
  if (found == former_holdings_.end()) return;
  for (FormerHoldingPtr const& holding : found->second)
    erase_entry(former_holdings_by_api_key_, holding->api_key, holding);
  former_holdings_.erase(found);
}

RoutePtr CompiledConfiguration::find_inexact(std::string_view host, std::string_view path) const {
  auto const list = inexact_.find(host);
  if (list == inexact_.end()) return nullptr;
  for (RoutePtr const& route : list->second)
    if (path.substr(0, route->prefix.size()) == route->prefix) return route;
  return nullptr;
}

RoutePtr CompiledConfiguration::find(std::string_view host, std::string_view path) const {
  RoutePtr const inexact = find_inexact(host, path);
  // Exact prefixes end with a slash, so only the path's beginnings that do so are looked up, the longest first.
  std::string key(host);
  key.append(path);
  for (std::size_t end = key.size(); end > host.size(); --end) {
    if (key[end - 1] != '/') continue;
    if (inexact && inexact->prefix.size() > end - host.size()) break;
    auto const list = exact_.find(std::string_view(key).substr(0, end));
    if (list != exact_.end()) return list->second.front();
  }
  return inexact;
}

u32 CompiledConfiguration::lowest_rank() const {
  return routes_by_rank_.empty() ? 0 : routes_by_rank_.rbegin()->first;
}

TenantPtr CompiledConfiguration::tenant_of(std::string_view key) const {
  auto const list = tenants_by_api_key_.find(key);
  return list == tenants_by_api_key_.end() ? nullptr : list->second.front();
}

std::string const* CompiledConfiguration::former_tenant_of(std::string_view key) const {
  auto const list = former_holdings_by_api_key_.find(key);
  return list == former_holdings_by_api_key_.end() ? nullptr : &list->second.front()->name;
}

TenantPtr CompiledConfiguration::tenant(std::string_view name) const {
  auto const found = tenants_.find(item_key::tenant(std::string(name)));
  return found == tenants_.end() ? nullptr : found->second;
}

std::vector<TenantPtr> CompiledConfiguration::tenants() const {
  std::vector<TenantPtr> all;
  all.reserve(tenants_.size());
  for (auto const& [key, tenant] : tenants_)
    all.push_back(tenant);
  return all;
}

ServiceConfig const* CompiledConfiguration::pool(std::string const& name) const {
  auto const found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace dockbend
