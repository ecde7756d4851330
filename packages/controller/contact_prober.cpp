#include "controller/contact_prober.hpp"

namespace dockbend {

void ContactProber::update_voters() {
  std::vector<QuorumContact::Voter> voters;
  for (Member const& member : context_.committed->membership)
    voters.push_back({member.ip, member.incarnation});
  context_.contact.set_members(std::move(voters), context_.acceptor->incarnation());
  context_.contact.set_known_ballot(context_.committed->ballot);
}

void ContactProber::probe(std::string const& ip, PeerLink& link, Seconds now) {
  if (Connection* connection = link.ch(); connection != nullptr)
    connection->send(MessageType::contact_probe, context_.contact.next_question(ip, now), std::string_view());
}

void ContactProber::probe_due(Seconds now) {
  if (!context_.committed) return;
  std::vector<std::string> candidates, far;
  for (auto const& [ip, peer] : context_.controllers)
    if (peer.link && peer.link->up()) (context_.peers.is_near(ip) ? candidates : far).push_back(ip);
  candidates.insert(candidates.end(), far.begin(), far.end());
  for (std::string const& ip : context_.contact.questions_due(candidates, now))
    probe(ip, *context_.controllers[ip].link, now);
}

void ContactProber::detect_change() {
  bool const is_in_contact = context_.in_contact();
  if (is_in_contact == was_in_contact_) return;
  was_in_contact_ = is_in_contact;
  LOG4CPLUS_INFO(logger_, (is_in_contact ? "In contact with a majority." : "Out of contact with a majority."));
  on_change.emit(is_in_contact);
}

Seconds ContactProber::remaining(Seconds now) const {
  return context_.committed ? context_.contact.time_left(now) : 0;
}

}  // namespace dockbend
