#include "idempotency/claim_quorum.hpp"

#include <algorithm>

namespace dockbend {
namespace {
void add_once(std::vector<std::string>& voters, std::string const& voter) {
  if (std::find(voters.begin(), voters.end(), voter) == voters.end()) voters.push_back(voter);
}
}  // namespace

ClaimQuorum::Result ClaimQuorum::count(std::string const& voter, ClaimResponse const& response) {
  if (response.epoch == epoch_) {
    if (response.vote == ClaimVote::granted) {
      add_once(granted_by_, voter);
    } else if (response.vote == ClaimVote::held) {
      is_in_progress_ = is_in_progress_ || response.in_progress;
      add_once(refused_by_, voter);
    }
  }
  std::size_t const majority = member_count_ / 2 + 1;
  if (granted_by_.size() >= majority) return Result::granted;
  if (refused_by_.size() > member_count_ - majority) return Result::held;
  return Result::open;
}

}  // namespace dockbend
