#include "idempotency/answer_search.hpp"

#include <algorithm>

namespace dockbend {

void AnswerSearch::on_found(std::string const& disk, FoundAnswer answer) {
  on_none(disk);
  add(std::move(answer));
}

void AnswerSearch::on_none(std::string const& disk) {
  asked_.erase(disk);
  heard_.insert(disk);
}

std::size_t AnswerSearch::drop_lapsed(ClaimQuorum const& votes) {
  return std::erase_if(answers_, [&](FoundAnswer const& answer) {
    return votes.standing_of(answer.holder) == ClaimQuorum::Standing::lapsed;
  });
}

FoundAnswer const* AnswerSearch::binding(ClaimQuorum const& votes) const {
  FoundAnswer const* lost = nullptr;
  for (FoundAnswer const& answer : answers_) {
    if (votes.standing_of(answer.holder) != ClaimQuorum::Standing::binding) continue;
    if (!answer.is_lost) return &answer;
    lost = &answer;
  }
  return lost;
}

bool AnswerSearch::may_be_missed(std::vector<Member> const& members, std::vector<std::string> const& homes) const {
  auto const is_unheard = [this](Member const& member) { return heard_.count(member.ip) == 0; };
  auto const is_home = [&](Member const& member) {
    return homes.empty() || std::find(homes.begin(), homes.end(), member.region) != homes.end();
  };
  auto const unheard = static_cast<std::size_t>(std::count_if(members.begin(), members.end(), is_unheard));
  bool const has_home = std::any_of(members.begin(), members.end(), is_home);
  bool const has_heard_home = std::any_of(members.begin(), members.end(),
                                          [&](Member const& member) { return is_home(member) && !is_unheard(member); });
  return unheard >= kStoredCopies || (has_home && !has_heard_home);
}

}  // namespace dockbend
