// The disk: a store in a thread of its own, commits in groups. A task that owns
// its file and talks by messages.
#pragma once
#include <event2/event.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "storage/disk_store.hpp"

namespace dockbend {

// Invariant: a batch's callback says true only after its commit was synced.
class AsyncStore {
 public:
  using Op = DiskStore::Op;
  static Op put_meta(std::string k, std::string v) { return DiskStore::put_meta(std::move(k), std::move(v)); }
  using Done = std::function<void(bool)>;
  using Found = std::function<void(std::string const&)>;

  // Opens (or makes) the file in dir; throws as Store does.
  AsyncStore(event_base* loop, std::string const& dir);
  ~AsyncStore();
  AsyncStore(AsyncStore const&) = delete;

  StoredState load() { return store_.load(); }  // only before the first submit
  // Looks a kept answer up; "" if there is none. Seen after all submits before it.
  void find_ret(std::string const& k, Found f);
  void submit(std::vector<Op> ops, Done done);
  void write_vote(VoteWrite w, Done done);
  // For what nobody waits for: goes along with the next commit, or with one of its
  // own after a moment. Kept in order with all that was handed in before.
  void submit_lazy(std::vector<Op> ops);

 private:
  struct Batch : DiskStore::Write {
    Done done;
    std::string want, got;  // a look-up, if want is not empty
    Found found;
  };
  void hand_in(Batch b);
  void run();
  void reap();
  DiskStore store_;
  std::mutex mu_;
  std::condition_variable cv_;
  std::deque<Batch> in_, out_;
  bool stop_ = false, eager_ = false;
  int pipe_[2] = {-1, -1};
  event* ev_ = nullptr;
  std::thread th_;
};

}  // namespace dockbend
