#include "idempotency/claim_quorum.hpp"

#include <algorithm>

namespace dockbend {
namespace {
u64 constexpr kNotStated = 0;

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
      if (response.held_by != kNotStated) holder_by_voter_.try_emplace(voter, response.held_by);
    }
  }
  if (granted_by_.size() >= majority()) return Result::granted;
  if (refused_by_.size() > member_count_ - majority()) return Result::held;
  return Result::open;
}

std::size_t ClaimQuorum::disks_that_name(u64 holder) const {
  return static_cast<std::size_t>(std::count_if(holder_by_voter_.begin(), holder_by_voter_.end(),
                                                [&](auto const& vote) { return vote.second == holder; }));
}

std::size_t ClaimQuorum::most_disks_of(u64 holder) const {
  std::size_t const stated = granted_by_.size() + holder_by_voter_.size();
  std::size_t const unknown = member_count_ > stated ? member_count_ - stated : 0;
  return disks_that_name(holder) + unknown;
}

ClaimQuorum::Standing ClaimQuorum::standing_of(u64 holder) const {
  if (most_disks_of(holder) < majority()) return Standing::lapsed;
  bool const has_rival = std::any_of(holder_by_voter_.begin(), holder_by_voter_.end(), [&](auto const& vote) {
    return vote.second != holder && most_disks_of(vote.second) >= majority();
  });
  return has_rival ? Standing::open : Standing::binding;
}

std::vector<u64> ClaimQuorum::holders() const {
  std::vector<u64> holders;
  for (auto const& [voter, holder] : holder_by_voter_)
    if (std::find(holders.begin(), holders.end(), holder) == holders.end()) holders.push_back(holder);
  std::stable_sort(holders.begin(), holders.end(),
                   [this](u64 one, u64 other) { return disks_that_name(one) > disks_that_name(other); });
  return holders;
}

}  // namespace dockbend
