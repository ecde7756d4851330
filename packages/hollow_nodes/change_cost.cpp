#include "hollow_nodes/change_cost.hpp"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "consensus/acceptor.hpp"
#include "consensus/proposer.hpp"
#include "hollow_nodes/process_usage.hpp"
#include "storage/disk_store.hpp"

namespace dockbend {
namespace {

int constexpr kMembers = 3;
int constexpr kRounds = 60;
double constexpr kFrameHeadBytes = 9;
std::size_t constexpr kItemStride = 7919;  // a prime, so that the changed items are spread

/// A directory under /tmp that is removed with its owner.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    if (::mkdtemp(path_) == nullptr) throw std::runtime_error("no room in /tmp");
  }
  TemporaryDirectory(TemporaryDirectory const&) = delete;
  TemporaryDirectory& operator=(TemporaryDirectory const&) = delete;
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  char const* path() const { return path_; }

 private:
  char path_[32] = "/tmp/dockbend-hollow-XXXXXX";
};

/// Writes votes to the store at once.
struct BlockingVoteDisk {
  DiskStore& store;

  void write_vote(VoteWrite vote, std::function<void(bool)> const& done) {
    DiskStore::Write write;
    write.vote = std::move(vote);
    store.commit({&write});
    done(write.is_written);
  }
};

/// A proposer with its three acceptors, of which the first has a disk; messages are delivered by calls.
class MeasuredConsensus {
 public:
  explicit MeasuredConsensus(DiskStore& store)
      : proposer_("10.0.0.1",
                  [this](Ballot have, Ballot ballot) {
                    return acceptors_[0]->state()->ballot == ballot ? acceptors_[0]->changes_since(have) : std::nullopt;
                  }),
        disk_{store},
        writer_(disk_, 0) {}
  MeasuredConsensus(MeasuredConsensus const&) = delete;
  MeasuredConsensus& operator=(MeasuredConsensus const&) = delete;

  /// Starts all members with the same state, and writes it.
  /// @return the heap bytes of one member's value
  double found(ReplicatedState const& state) {
    double const before = heap_bytes();
    for (int member = 0; member < kMembers; ++member)
      acceptors_.push_back(std::make_unique<Acceptor>(Incarnation(1), Ballot(1), state));
    double const value = (heap_bytes() - before) / kMembers;
    writer_.write(acceptors_[0]->vote_header(), rows_of(state), [](bool) {});
    return value;
  }

  void run_round(Proposer::Change change) {
    proposer_.observe_ballot(acceptors_[0]->promised());
    deliver(proposer_.begin_round(*acceptors_[0]->state(), std::move(change), 0, std::nullopt));
    CommitNotice notice;
    notice.ballot = proposer_.value().ballot;
    notice.delta = proposer_.delta();
    sent_bytes_ += (kMembers - 1) * (kFrameHeadBytes + static_cast<double>(codec::pack(notice).size()));
  }

  ChangeCost measure(std::function<void(ReplicatedState&, int)> const& change) {
    double const sent_before = sent_bytes_, written_before = written_bytes();
    for (int round = 0; round < kRounds; ++round)
      run_round([&](ReplicatedState& state) {
        change(state, round);
        return true;
      });
    return {(sent_bytes_ - sent_before) / kRounds, (written_bytes() - written_before) / kRounds, 0, 0};
  }

  /// The most heap that this process held after any message.
  double peak_heap_bytes() const { return peak_heap_bytes_; }

 private:
  void write(Acceptor::PendingWrite const& pending) {
    if (!pending.is_needed) return;
    writer_.write(acceptors_[0]->vote_header(), pending.rows, [](bool is_written) {
      if (!is_written) throw std::runtime_error("the disk took no vote");
    });
  }

  template <class Record>
  void count_sent(std::size_t member, Record const& record) {
    std::size_t const size = codec::pack(record).size();
    if (member != 0) sent_bytes_ += kFrameHeadBytes + static_cast<double>(size);
  }

  Proposer::Messages deliver_prepare(std::string const& member_ip, std::size_t member, PrepareRequest const& request) {
    PrepareResponse response;
    Acceptor::PendingWrite const pending = acceptors_[member]->prepare(request, response);
    if (member == 0) write(pending);
    count_sent(member, request);
    count_sent(member, response);
    return proposer_.on_prepare_response(member_ip, response);
  }

  Proposer::Messages deliver_accept(std::string const& member_ip, std::size_t member, AcceptRequest const& request) {
    AcceptResponse response;
    Acceptor::PendingWrite const pending = acceptors_[member]->accept(request, response);
    if (member == 0) write(pending);
    count_sent(member, request);
    count_sent(member, response);
    return proposer_.on_accept_response(member_ip, response);
  }

  void deliver(Proposer::Messages messages) {
    while (!messages.empty()) {
      OutgoingMessage const message = std::move(messages.front());
      messages.erase(messages.begin());
      auto const member = static_cast<std::size_t>(message.to_ip.back() - '1');
      auto const* const prepare = std::get_if<PrepareRequest>(&message.request);
      Proposer::Messages const more =
          prepare != nullptr ? deliver_prepare(message.to_ip, member, *prepare)
                             : deliver_accept(message.to_ip, member, std::get<AcceptRequest>(message.request));
      peak_heap_bytes_ = std::max(peak_heap_bytes_, heap_bytes());
      messages.insert(messages.end(), more.begin(), more.end());
    }
    if (!proposer_.is_committed()) throw std::runtime_error("a round was lost");
  }

  std::vector<std::unique_ptr<Acceptor>> acceptors_;
  Proposer proposer_;
  double sent_bytes_ = 0, peak_heap_bytes_ = 0;
  BlockingVoteDisk disk_;
  VoteWriter<BlockingVoteDisk> writer_;
};

/// The state of a consensus of three with these items and one lease.
ReplicatedState state_of(std::vector<ConfigItem> items) {
  ReplicatedState state;
  std::sort(items.begin(), items.end(),
            [](ConfigItem const& left, ConfigItem const& right) { return left.key < right.key; });
  state.items = std::move(items);
  for (int number = 1; number <= kMembers; ++number) {
    Member member;
    member.ip = "10.0.0." + std::to_string(number);
    member.incarnation = Incarnation(1);
    state.membership.push_back(member);
  }
  state.duties.push_back(Lease{"usage", "core-1", "10.0.0.1", 1, 1, ""});
  state.ballot = Ballot(1);
  return state;
}

}  // namespace

ChangeCosts measure_change_costs(std::vector<ConfigItem> items) {
  TemporaryDirectory const directory;
  DiskStore store(directory.path());
  store.load();
  MeasuredConsensus consensus(store);
  ReplicatedState state = state_of(std::move(items));
  double const value = consensus.found(state);
  state = ReplicatedState();
  double const base = heap_bytes() - value;  // without the first member's own vote
  consensus.run_round([](ReplicatedState&) { return true; });
  ChangeCosts costs;
  costs.item_change = consensus.measure([](ReplicatedState& changed, int round) {
    ConfigItem& item = changed.items[static_cast<std::size_t>(round) * kItemStride % changed.items.size()];
    item.gen = Generation(item.gen.v + 1);
  });
  costs.item_change.value_heap_bytes = value;
  costs.item_change.round_heap_bytes = consensus.peak_heap_bytes() - base;
  costs.lease_renewal = consensus.measure([](ReplicatedState& changed, int) { ++changed.duties[0].counter; });
  return costs;
}

}  // namespace dockbend
