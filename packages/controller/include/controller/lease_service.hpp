// The desk of the duties: who has them, the usage reports, and the lending of budgets.
#pragma once
#include <cmath>

#include "controller/directory_service.hpp"
#include "leases/lease_client.hpp"
#include "leases/platform_client.hpp"
#include "leases/usage_reporter.hpp"
#include "quota/quota.hpp"

namespace dockbend {

class LeaseService {
 public:
  LeaseService(ControllerContext& h, DirectoryService& s);

  void duties_see(Seconds now);

  void duties(Seconds now);

  // Counts go on to whoever reports.
  void pass_tally(Seconds now);

  template <class W>
  void write_duties(W& w) const {
    w.Key("duties");
    w.StartArray();
    if (context_.committed)
      for (Lease const& t : context_.committed->duties) {
        w.StartObject();
        w.Key("duty");
        w.String(t.duty.c_str());
        w.Key("holder");
        w.String(t.holder.c_str());
        w.Key("fence");
        w.Uint64(t.fence);
        if (!t.next.empty()) {
          w.Key("handedTo");
          w.String(t.next.c_str());
        }
        if (t.duty == "usage") {
          u64 const first =
              context_.committed->fixed.empty() ? context_.committed->to_fix : context_.committed->fixed.front().window;
          w.Key("lastWindow");  // the newest that the platform acknowledged
          w.Uint64(first == 0 ? 0 : first - 1);
          w.Key("outstanding");
          w.Uint64(context_.committed->fixed.size());
        }
        w.EndObject();
      }
    w.EndArray();
  }

  std::string duty_status() const;

  void hand_over_call(evhttp_request* r, std::string const& rest);

  // The lender knows; another node says where it is.
  void allowance_call(evhttp_request* r, std::string const& tenant, std::string const& uri);

  // May this node act under that duty in a call that ends within `need`?
  bool may(std::string const& duty, Seconds now, Seconds need) const;
  u64 fence(std::string const& duty) const;
  void tick(Seconds now);
  void leave();
  bool handing() const;
  void told(HandOverCommand const& c);
  void controller_clock(std::string const& ip, Seconds steady, WallSeconds said);
  void join(UsageUpdate const& n);
  void reported_to(u64 window);
  // May this node be handed a duty and act at once?
  bool fit_at_once() const;
  void lend_to(Connection& ch, u32 tag, QuotaLeaseRequest const& a, Seconds now);

 private:
  // Passes an order on to whoever holds the duty; what stood in its way, if anything.
  std::string hand_over(HandOverLease const& o);
  // An order is answered once the register says that the duty goes where it was ordered to.
  void answer_orders(Seconds now);

  // Only a value read on a majority refuses.
  void refuse(evhttp_request* r, std::string const& tenant, std::string const& uri);
  bool wanted(std::string const& duty) const;
  bool drains() const;
  bool fit() const;

  bool reports() const;

  bool lends() const;

  // Whom a leaving holder names: a mate that would be let act at once, a near one first.
  std::string successor() const;

  void lost_duty(std::string const& n);

  void report(Seconds now);

  // Wanted: a purse for every partner with an allowance.
  void lend_rules(Seconds now);

  struct Ordered {
    HandOverLease o;
    evhttp_request* r = nullptr;
    Seconds until = 0;
  };
  ControllerContext& context_;
  DirectoryService& directory_service_;
  std::vector<Ordered> orders_;  // to hand a duty over, on their way
  std::map<std::string, LeaseClient> leases_;
  UsageReporter reporter_{UsageReportOptions{}};
  std::unique_ptr<PlatformClient> envoy_;
  QuotaAllocator lender_;
  UsageTotals totals_;
  MedianClock clock_;
  u64 tally_fence_ = 0;
  bool tally_all_ = false;  // the holder of the usage duty may lack what we have
  Seconds tallied_ = 0;
  log4cplus::Logger logger_ = log4cplus::Logger::getInstance("controller");
};

}  // namespace dockbend
