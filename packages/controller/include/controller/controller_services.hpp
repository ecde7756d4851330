/// The services of one controller, as the dispatchers of messages and API calls see them.
#pragma once
#include "controller/consensus_service.hpp"
#include "controller/directory_service.hpp"
#include "controller/drain_service.hpp"
#include "controller/idempotency_service.hpp"
#include "controller/lease_service.hpp"
#include "controller/membership_service.hpp"
#include "controller/quota_service.hpp"
#include "controller/registry_service.hpp"
#include "controller/rollout_service.hpp"
#include "controller/survey_service.hpp"
#include "controller/usage_service.hpp"

namespace dockbend {

/// References only: `Controller` owns all of them, and they live as long as it.
struct ControllerServices {
  ControllerContext& context;
  ConsensusService& consensus;
  MembershipService& membership;
  IdempotencyService& idempotency;
  RegistryService& registry;
  DirectoryService& directory;
  RolloutService& rollouts;
  LeaseService& leases;
  UsageService& usage;
  QuotaService& quotas;
  SurveyService& surveys;
  DrainService& drains;
};

}  // namespace dockbend
