#include "idempotency/undelivered_answers.hpp"

#include <algorithm>
#include <utility>

namespace dockbend {

bool UndeliveredAnswers::add(Answer answer) {
  bytes_ += answer.encoded.size();
  answers_.push_back(std::move(answer));
  bool has_room = true;
  while (bytes_ > kMostBytes) {
    has_room = false;
    bytes_ -= answers_.front().encoded.size();
    answers_.pop_front();
  }
  return has_room;
}

UndeliveredAnswers::Answer const* UndeliveredAnswers::find(OperationId const& operation) const {
  auto const found = std::find_if(answers_.rbegin(), answers_.rend(),
                                  [&](Answer const& answer) { return answer.operation == operation; });
  return found == answers_.rend() ? nullptr : &*found;
}

std::vector<UndeliveredAnswers::Answer> UndeliveredAnswers::take_if(
    std::function<bool(Answer const&)> const& has_somewhere_to_go) {
  std::vector<Answer> taken;
  std::deque<Answer> kept;
  for (Answer& answer : answers_) {
    if (!has_somewhere_to_go(answer)) {
      kept.push_back(std::move(answer));
      continue;
    }
    bytes_ -= answer.encoded.size();
    taken.push_back(std::move(answer));
  }
  answers_ = std::move(kept);
  return taken;
}

void UndeliveredAnswers::drop_older_than(Seconds age, Seconds now) {
  while (!answers_.empty() && now - answers_.front().since > age) {
    bytes_ -= answers_.front().encoded.size();
    answers_.pop_front();
  }
}

}  // namespace dockbend
