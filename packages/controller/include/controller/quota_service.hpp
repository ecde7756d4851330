/// The singleton role `allowance`: leases tokens of the tenants' rate limits to the proxies.
#pragma once
#include <string>

#include "controller/controller_context.hpp"
#include "controller/directory_service.hpp"
#include "controller/lease_service.hpp"
#include "controller/singleton_role.hpp"
#include "quota/quota_allocator.hpp"

namespace dockbend {

/// Runs the quota allocator while this controller holds the lease of the role, and answers the operators'
/// calls about it. Runs on the event loop; refers to its context and to the other services, and owns none.
class QuotaService : public SingletonRole {
 public:
  /// Adds itself to `leases`.
  QuotaService(ControllerContext& context, DirectoryService const& directory_service, LeaseService& leases);

  /// Keeps the allocator's rules as the configuration has them.
  void tick(Seconds now);
  /// A proxy asks for tokens. Answered without any if this controller is not the allocator.
  void on_quota_lease_request(Connection& connection, u32 tag, QuotaLeaseRequest const& request, Seconds now);
  /// `/-/Allowance.List` (an empty tenant) and `/-/Allowance.Show/TENANT`. Other controllers than the allocator
  /// answer with a redirect to it; `uri` is the call's own.
  void allowance_call(evhttp_request* http_request, std::string const& tenant, std::string const& uri);

  bool is_wanted() const override;
  void on_lease_acquired(Seconds now) override;
  void on_lease_lost() override;

 private:
  void refuse_unknown(evhttp_request* http_request, std::string const& tenant, std::string const& uri);
  ApiResponse redirect_to_allocator(std::string const& uri) const;
  std::string tenant_json(std::string const& tenant, Seconds now) const;
  std::string list_json(Seconds now) const;
  bool has_rate_limit(std::string const& tenant) const;

  ControllerContext& context_;
  DirectoryService const& directory_service_;
  LeaseService& leases_;
  QuotaAllocator allocator_;
};

}  // namespace dockbend
