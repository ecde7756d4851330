#include "controller/quota_service.hpp"

#include <algorithm>
#include <cmath>

namespace dockbend {

namespace {

/// Quota leases that the allocator before has given may still run for this long and a part of the role's lease.
Seconds constexpr kQuotaLease = 1.0;
double constexpr kClockDriftPartOfLease = 0.1;

void write_tenant(JsonWriter& json, std::string const& tenant, QuotaAllocator::TenantStatus const& quota) {
  write_member(json, "tenant", tenant);
  write_member(json, "rate", quota.rule.rate);
  write_member(json, "burst", quota.rule.burst);
  write_member(json, "reserve", quota.rule.reserve);
  write_member(json, "left", std::floor(quota.available));
  write_member(json, "lent", quota.leased);
  write_member(json, "spent", quota.spent);
  write_member(json, "refused", quota.refused);
}

void write_proxies(JsonWriter& json, QuotaAllocator::TenantStatus const& quota) {
  write_array(json, "gateways", [&] {
    for (auto const& [front, tokens] : quota.leased_by_address)
      write_object(json, [&, &front = front, &tokens = tokens] {
        write_member(json, "address", front);
        write_member(json, "lent", tokens);
      });
  });
}

}  // namespace

QuotaService::QuotaService(ControllerContext& context, DirectoryService const& directory_service, LeaseService& leases)
    : context_(context), directory_service_(directory_service), leases_(leases) {
  leases.add_role(kQuotaRole, *this);
}

void QuotaService::tick(Seconds now) {
  if (!leases_.holds(kQuotaRole)) return;
  double const proxies = directory_service_.proxies();
  for (std::string const& tenant : allocator_.tenants())
    if (!has_rate_limit(tenant)) allocator_.remove_tenant(tenant);
  for (TenantPtr const& tenant : context_.tenants.tenants()) {
    if (!tenant->allowance) continue;
    QuotaRule const rule{tenant->allowance->rate, tenant->allowance->burst, tenant->allowance->reserve.value_or(0)};
    allocator_.set_rule(tenant->name, rule, proxies, now);
  }
}

void QuotaService::on_quota_lease_request(Connection& connection, u32 tag, QuotaLeaseRequest const& request,
                                          Seconds now) {
  QuotaLeaseResponse response;
  response.incarnation = request.incarnation;
  response.seq = request.seq;
  if (leases_.may_act(kQuotaRole, now, 0)) response = allocator_.grant(request, now);
  connection.send(MessageType::quota_lease_response, tag, response);
}

bool QuotaService::has_rate_limit(std::string const& tenant) const {
  TenantPtr const found = context_.tenants.tenant(tenant);
  return found && found->allowance;
}

// The lease

bool QuotaService::is_wanted() const {
  std::vector<TenantPtr> const tenants = context_.tenants.tenants();
  return std::any_of(tenants.begin(), tenants.end(), [](TenantPtr const& tenant) { return !!tenant->allowance; });
}

/// Begins only after every quota lease of the allocator before has ended.
void QuotaService::on_lease_acquired(Seconds now) {
  allocator_.open(now + kQuotaLease + context_.settings.bounds.leaseTermS * kClockDriftPartOfLease);
}

void QuotaService::on_lease_lost() {
  allocator_.close();
}

// Calls of operators

void QuotaService::allowance_call(evhttp_request* http_request, std::string const& tenant, std::string const& uri) {
  if (!tenant.empty() && !has_rate_limit(tenant)) return refuse_unknown(http_request, tenant, uri);
  if (!leases_.holds(kQuotaRole)) return context_.api.write(http_request, redirect_to_allocator(uri));
  Seconds const now = steady_now();
  context_.api.write(http_request, ApiResponse{200, tenant.empty() ? list_json(now) : tenant_json(tenant, now)});
}

/// A refusal is final for the caller, so it has to rest on a value that was read from a majority.
void QuotaService::refuse_unknown(evhttp_request* http_request, std::string const& tenant, std::string const& uri) {
  context_.submit([](ReplicatedState&) { return false; },
                  [this, http_request, tenant, uri](ReplicatedState const* state) {
                    if (state == nullptr)
                      return context_.api.write(http_request, error_response(503, "no majority in time"));
                    if (has_rate_limit(tenant)) return allowance_call(http_request, tenant, uri);
                    bool const is_known = context_.tenants.tenant(tenant) != nullptr;
                    std::string const why = is_known ? "tenant without an allowance: " : "no such tenant: ";
                    context_.api.write(http_request, error_response(404, why + tenant));
                  },
                  context_.patience());
}

/// An empty list if there is nothing to allocate.
ApiResponse QuotaService::redirect_to_allocator(std::string const& uri) const {
  Lease const* lease = context_.committed ? context_.committed->term(kQuotaRole) : nullptr;
  Member const* holder = lease == nullptr ? nullptr : context_.committed->member(lease->ip);
  if (holder != nullptr && holder->ip != context_.settings.ip)
    return ApiResponse{307, "{}", "http://" + Address{holder->ip, holder->control}.str() + uri};
  return is_wanted() ? error_response(503, "nobody lends yet") : ApiResponse{200, "{\"allowances\":[]}"};
}

std::string QuotaService::tenant_json(std::string const& tenant, Seconds now) const {
  QuotaAllocator::TenantStatus const quota = allocator_.status(tenant, now);
  return json_object([&](JsonWriter& json) {
    write_tenant(json, tenant, quota);
    write_proxies(json, quota);
  });
}

std::string QuotaService::list_json(Seconds now) const {
  return json_object([&](JsonWriter& json) {
    write_array(json, "allowances", [&] {
      for (std::string const& tenant : allocator_.tenants())
        write_object(json, [&] { write_tenant(json, tenant, allocator_.status(tenant, now)); });
    });
  });
}

}  // namespace dockbend
