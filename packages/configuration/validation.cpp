#include "validation.hpp"

#include <cmath>

#include "configuration/json.hpp"

namespace dockbend::validation {
namespace {
using json::Fault;

constexpr double kLongestSeconds = 1e9;  // more fits no timer
constexpr double kLowestTenantRate = 1e-6;
constexpr double kHighestTenantRate = 1e12;  // requests a second
constexpr double kHighestTenantBurst = 1e12;

void check_duration(std::optional<double> const& seconds, std::string const& at) {
  if (!seconds) return;
  if (*seconds < 0) throw Fault(at, "negative");
  if (*seconds > kLongestSeconds) throw Fault(at, "out of range");
}

void check_positive_duration(std::optional<double> const& seconds, std::string const& at) {
  check_duration(seconds, at);
  if (seconds && !(*seconds > 0)) throw Fault(at, "wants more than 0");
}

void check_split(std::vector<schema::Share> const& split, std::string const& at) {
  double sum = 0;
  for (schema::Share const& share : split) {
    if (share.gain < 0) throw Fault(at, "negative");
    sum += share.gain;
  }
  if (!(sum > 0)) throw Fault(at, "all are 0");
  if (!std::isfinite(sum)) throw Fault(at, "out of range");
}

void check_allowance(schema::Allowance const& allowance, std::string const& at) {
  if (!(allowance.rate > 0)) throw Fault(at + ".rate", "wants more than 0");
  if (allowance.rate < kLowestTenantRate || allowance.rate > kHighestTenantRate)
    throw Fault(at + ".rate", "out of range");
  if (allowance.burst > kHighestTenantBurst) throw Fault(at + ".burst", "out of range");
  if (!(allowance.burst >= 1)) throw Fault(at + ".burst", "wants 1 or more");
  double const reserve = allowance.reserve.value_or(0);
  if (reserve < 0 || reserve >= 1) throw Fault(at + ".reserve", "wants a share from 0 to below 1");
}
}  // namespace

void check_name(std::string const& name, std::string const& at) {
  if (name.empty()) throw Fault(at, "empty");
  if (has_control(name)) throw Fault(at, "holds a control character");
}

void check_limits(schema::Limits const& limits) {
  check_positive_duration(limits.headerDeadlineS, "upsert.limits.headerDeadlineS");
  check_positive_duration(limits.idleTimeoutS, "upsert.limits.idleTimeoutS");
}

void check_policy(schema::Policy const& policy, std::string const& at) {
  check_name(policy.name, at + ".name");
  if (policy.selector.pathPrefix.empty() || policy.selector.pathPrefix[0] != '/')
    throw Fault(at + ".selector.pathPrefix", "wants a slash at its start");
  schema::Actuation const& actuation = policy.actuation;
  if (!(actuation.deadlineS > 0)) throw Fault(at + ".actuation.deadlineS", "wants more than 0");
  check_duration(actuation.deadlineS, at + ".actuation.deadlineS");
  check_duration(policy.setpointS, at + ".setpointS");
  bool const has_split = actuation.split && !actuation.split->empty();
  if (!actuation.service && !has_split) throw Fault(at + ".actuation.service", "missing");
  if (has_split) check_split(*actuation.split, at + ".actuation.split.gain");
}

void check_pool(schema::Pool const& pool, std::string const& at) {
  check_name(pool.name, at + ".name");
  check_duration(pool.coldS, at + ".coldS");
  check_duration(pool.coldRateS, at + ".coldRateS");
}

void check_customer(schema::Customer const& customer, std::string const& at) {
  check_name(customer.name, at + ".name");
  if (customer.keys)
    for (std::string const& key : *customer.keys) {
      if (key.empty()) throw Fault(at + ".keys", "an empty key");
      check_name(key, at + ".keys");
    }
  if (customer.allowance) check_allowance(*customer.allowance, at + ".allowance");
}

}  // namespace dockbend::validation
