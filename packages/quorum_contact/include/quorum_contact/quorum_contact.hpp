#pragma once
#include <deque>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "base/record.hpp"
#include "settings/settings.hpp"
#include "wire/codec.hpp"

/// \file
/// How fresh a controller's contact with a majority of the members is. No I/O.
///
/// The rule is that of a read lease without clocks that agree:
/// - a controller asks the members numbered questions all the while (contact probes; a gossip digest is one too);
/// - an answer counts from the moment its question was asked, on the asker's steady clock, so that time on the
///   way, and time that a frozen process spent not reading it, makes it older;
/// - it counts only once all that the member knew to be committed when it answered is known here too: a
///   controller that lacks a committed change would serve old values;
/// - a controller is in contact while a majority, itself counted, has answered questions that were asked no
///   longer ago than ContactOptions::max_age;
/// - it asks as many members as a majority takes, and widens to all of them once the contact is older than
///   ContactOptions::widen_after, which leaves time for their answers before the bound is reached.

namespace dockbend {

/// A member's answer: its disk, the newest ballot that it knows to be committed, and for how many seconds it
/// is still in contact itself (0: it is not).
struct ContactProbeResponse {
  DB_RECORD(ContactProbeResponse, (Incarnation, incarnation), (Ballot, ballot), (double, time_left, left));
};

/// The times of contact, derived from what the operators promise and never set alone. A controller may be
/// out of contact for `max_age` before it says so; its agents hear of that within a tick and need a round
/// trip to be served by another one; all of it fits in applyBoundS.
struct ContactOptions {
  Seconds max_age = 1.5;         ///< for so long after its question an answer counts
  Seconds probe_interval = 0.6;  ///< between two questions to one member
  Seconds widen_after = 0.9;     ///< if contact is older, every member is asked
  static ContactOptions from_bounds(Bounds const& bounds);
};

/// A time that never was: no answer has counted.
Seconds constexpr kNever = -std::numeric_limits<Seconds>::infinity();

/// One controller's contact with the members.
///
/// Invariants:
/// - a question's number is used once in the life of this process, and is open on one connection only; an
///   answer that names no open question of its connection counts nothing;
/// - a peer's `fresh_since` is the time of a question that it answered, and falls only if its disk is replaced;
/// - so the end of contact never comes nearer, except by a change of the membership: the `time_left` that we told
///   others holds, and no two controllers send a caller to each other in turn.
class QuorumContact {
 public:
  struct Voter {
    std::string ip;
    Incarnation incarnation;
    friend bool operator==(Voter const&, Voter const&) = default;
  };

  QuorumContact() = default;
  /// ip: our own address. first_number: where the questions' numbers begin, drawn by chance so that no answer to
  /// an earlier run of this process fits.
  QuorumContact(ContactOptions options, std::string ip, u32 first_number)
      : options_(options), ip_(std::move(ip)), last_number_(first_number) {}

  ContactOptions const& options() const { return options_; }
  void set_options(ContactOptions options) { options_ = options; }

  /// The members of the committed value, and the incarnation of our own disk.
  void set_members(std::vector<Voter> members, Incarnation own_incarnation);
  /// All that was committed up to this ballot is known here.
  void set_known_ballot(Ballot ballot);

  /// There is a new connection to ip; questions asked over the one before get no answer.
  void on_connected(std::string const& ip) { peers_[ip].open_questions.clear(); }
  /// The number of a question that goes to ip now; never 0.
  u32 next_question(std::string const& ip, Seconds now);
  /// False if it answers no open question.
  bool on_response(std::string const& ip, u32 number, ContactProbeResponse const& response);

  /// The newest time such that a majority has answered a question that was asked then or later; we count as
  /// answering now if our disk is a member. kNever if there is no such time.
  Seconds fresh_since(Seconds now) const;
  /// For how many seconds we are in contact even if no further answer comes.
  Seconds time_left(Seconds now) const;
  bool in_contact(Seconds now) const { return time_left(now) > 0; }

  /// Whom to ask now among those connected, who are given nearest first.
  std::vector<std::string> questions_due(std::vector<std::string> const& nearest_first, Seconds now) const;

  /// Another member that is certainly in contact; the one that stays so for longest; "" if none is known.
  std::string member_in_contact(Seconds now) const;

 private:
  struct Question {
    u32 number = 0;
    Seconds asked_at = 0;
  };
  /// An answer that does not count yet: the member knew of commits that we don't know.
  struct UncoveredAnswer {
    Seconds asked_at = 0;
    Ballot ballot;
  };
  struct Peer {
    Seconds last_asked_at = kNever;
    Seconds fresh_since = kNever;
    Seconds in_contact_until = kNever;  ///< by its own word, on our clock
    Incarnation incarnation;
    std::deque<Question> open_questions;            ///< oldest first
    std::deque<UncoveredAnswer> uncovered_answers;  ///< oldest first
  };
  static std::size_t constexpr kMaxOpenQuestions = 16;
  static std::size_t constexpr kMaxUncoveredAnswers = 16;

  void count_covered_answers(Peer& peer) const;
  bool is_member(std::string const& ip) const;
  std::size_t majority() const { return members_.size() / 2 + 1; }

  ContactOptions options_;
  std::string ip_;
  u32 last_number_ = 0;
  std::vector<Voter> members_;
  Incarnation own_incarnation_;
  Ballot known_ballot_;
  std::map<std::string, Peer> peers_;
};

}  // namespace dockbend
