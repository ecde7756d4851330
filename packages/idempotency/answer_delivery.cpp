#include "idempotency/answer_delivery.hpp"

#include <utility>

namespace dockbend {

bool AnswerDelivery::store(KeyOutcomeNotice const& notice, std::set<std::string> const& may_hold, Seconds now,
                           std::vector<ClaimAction>& actions) {
  bool const is_known = notice.outcome == KeyOutcome::returned;
  std::string const lost = codec::pack(lost_answer_of(notice));
  if (std::string const disk = disks_.nearest_that_may_store(notice.homes); !disk.empty()) {
    actions.emplace_back(SendStore{disk, is_known ? notice.stored_answer : lost});
    return true;
  }
  for (std::string const& ip : may_hold)
    if (disks_.is_connected(ip)) actions.emplace_back(SendStore{ip, lost});
  return !is_known || hold(notice, now);
}

bool AnswerDelivery::hold(KeyOutcomeNotice const& notice, Seconds now) {
  UndeliveredAnswers::Answer answer;
  answer.operation = operation_of(notice);
  answer.holder = notice.holder;
  answer.homes = notice.homes;
  answer.encoded = notice.stored_answer;
  answer.since = now;
  return held_.add(std::move(answer));
}

void AnswerDelivery::send_held(std::vector<ClaimAction>& actions) {
  auto const has_disk = [this](UndeliveredAnswers::Answer const& answer) {
    return !disks_.nearest_that_may_store(answer.homes).empty();
  };
  for (UndeliveredAnswers::Answer& answer : held_.take_if(has_disk))
    actions.emplace_back(SendStore{disks_.nearest_that_may_store(answer.homes), std::move(answer.encoded)});
}

}  // namespace dockbend
