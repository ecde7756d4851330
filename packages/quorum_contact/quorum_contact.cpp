#include "quorum_contact/quorum_contact.hpp"

#include <algorithm>
#include <functional>

namespace dockbend {

ContactOptions ContactOptions::from_bounds(Bounds const& bounds) {
  ContactOptions options;
  options.max_age = 0.6 * bounds.applyBoundS;
  options.probe_interval = 0.4 * options.max_age;
  options.widen_after = 0.6 * options.max_age;
  return options;
}

void QuorumContact::set_members(std::vector<Voter> members, Incarnation own_incarnation) {
  members_ = std::move(members);
  own_incarnation_ = own_incarnation;
}

void QuorumContact::set_known_ballot(Ballot ballot) {
  if (ballot <= known_ballot_) return;
  known_ballot_ = ballot;
  for (auto& [ip, peer] : peers_)
    count_covered_answers(peer);
}

u32 QuorumContact::next_question(std::string const& ip, Seconds now) {
  if (++last_number_ == 0) ++last_number_;
  Peer& peer = peers_[ip];
  peer.last_asked_at = now;
  peer.open_questions.push_back({last_number_, now});
  if (peer.open_questions.size() > kMaxOpenQuestions) peer.open_questions.pop_front();
  return last_number_;
}

bool QuorumContact::on_response(std::string const& ip, u32 number, ContactProbeResponse const& response) {
  auto const found = peers_.find(ip);
  if (found == peers_.end()) return false;
  Peer& peer = found->second;
  auto& open = peer.open_questions;
  auto const question =
      std::find_if(open.begin(), open.end(), [&](Question const& asked) { return asked.number == number; });
  if (question == open.end()) return false;
  Seconds const asked_at = question->asked_at;
  open.erase(open.begin(), question + 1);  // answers to older questions would say less
  if (response.incarnation != peer.incarnation) {
    peer.fresh_since = kNever;
    peer.uncovered_answers.clear();
    peer.incarnation = response.incarnation;
  }
  // Nobody is in contact for longer than max_age after a question.
  peer.in_contact_until = response.time_left > 0 ? asked_at + std::min(response.time_left, options_.max_age) : kNever;
  peer.uncovered_answers.push_back({asked_at, response.ballot});
  if (peer.uncovered_answers.size() > kMaxUncoveredAnswers) peer.uncovered_answers.pop_front();
  count_covered_answers(peer);
  return true;
}

void QuorumContact::count_covered_answers(Peer& peer) const {
  std::erase_if(peer.uncovered_answers, [&](UncoveredAnswer const& answer) {
    if (answer.ballot > known_ballot_) return false;
    peer.fresh_since = std::max(peer.fresh_since, answer.asked_at);
    return true;
  });
}

Seconds QuorumContact::fresh_since(Seconds now) const {
  if (members_.empty()) return kNever;
  std::vector<Seconds> times;
  for (Voter const& member : members_) {
    if (member.ip == ip_) {
      times.push_back(member.incarnation == own_incarnation_ ? now : kNever);
      continue;
    }
    auto const peer = peers_.find(member.ip);
    bool const is_same_disk = peer != peers_.end() && peer->second.incarnation == member.incarnation;
    times.push_back(is_same_disk ? peer->second.fresh_since : kNever);
  }
  auto const last_of_majority = times.begin() + static_cast<std::ptrdiff_t>(majority() - 1);
  std::nth_element(times.begin(), last_of_majority, times.end(), std::greater<>());
  return *last_of_majority;
}

Seconds QuorumContact::time_left(Seconds now) const {
  return std::max(0.0, fresh_since(now) + options_.max_age - now);
}

std::vector<std::string> QuorumContact::questions_due(std::vector<std::string> const& nearest_first,
                                                      Seconds now) const {
  bool const is_widened = now - fresh_since(now) > options_.widen_after;
  // A majority with ourselves left out, and one more in case one does not answer.
  std::size_t const limit = is_widened ? nearest_first.size() : majority();
  std::vector<std::string> due;
  std::size_t considered = 0;
  for (std::string const& ip : nearest_first) {
    if (!is_member(ip)) continue;
    if (++considered > limit) break;
    auto const peer = peers_.find(ip);
    if (peer == peers_.end() || now - peer->second.last_asked_at >= options_.probe_interval) due.push_back(ip);
  }
  return due;
}

std::string QuorumContact::member_in_contact(Seconds now) const {
  std::string best;
  Seconds until = now;
  for (Voter const& member : members_) {
    auto const peer = peers_.find(member.ip);
    if (member.ip == ip_ || peer == peers_.end() || peer->second.in_contact_until <= until) continue;
    best = member.ip;
    until = peer->second.in_contact_until;
  }
  return best;
}

bool QuorumContact::is_member(std::string const& ip) const {
  return std::any_of(members_.begin(), members_.end(), [&](Voter const& member) { return member.ip == ip; });
}

}  // namespace dockbend
