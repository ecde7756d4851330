/// The disk store on a thread of its own; commits are grouped.
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
#include "storage/file_descriptor.hpp"

namespace dockbend {

/// Who owns what: the loop's thread constructs, calls and destroys this object, and all callbacks run on it, from the
/// event loop. The disk thread uses store_ alone, from the first submit until the destructor has joined it. The two
/// exchange tasks through queued_ and finished_, which mutex_ guards; a byte in the pipe wakes the loop.
///
/// Invariant: a callback gets true only after its commit was synced. Callbacks of tasks that are not finished when this
/// is destroyed are never called.
class AsyncStore {
 public:
  using Done = std::function<void(bool is_written)>;
  using Found = std::function<void(std::vector<std::string> const& answers)>;

  /// Opens (or makes) the file in the directory; throws as DiskStore does. `loop` must outlive this.
  AsyncStore(event_base* loop, std::string const& directory);
  /// Waits until all that was submitted is written.
  ~AsyncStore();
  AsyncStore(AsyncStore const&) = delete;
  AsyncStore& operator=(AsyncStore const&) = delete;

  /// Only before the first submit.
  StoredState load() { return store_.load(); }
  /// Reads the stored answers of all operations that have that text. It sees everything submitted before.
  void find_answers(std::string const& text, Found found);
  void submit(std::vector<StoreOperation> operations, Done done);
  void write_vote(VoteWrite vote, Done done);
  /// For what nobody waits for: written with the next commit, or after a moment with one of its own. Stays in order
  /// with everything submitted before.
  void submit_lazily(std::vector<StoreOperation> operations);

 private:
  struct Task : DiskStore::Write {
    Done done;
    std::string wanted_text;  // of a look-up; empty: it is none
    std::vector<std::string> answers;
    Found found;
  };
  struct FreeEvent {
    void operator()(event* e) const { event_free(e); }
  };
  void enqueue(Task task);

  // On the disk thread.
  void run();
  std::deque<Task> wait_for_tasks();
  void execute(std::deque<Task>& tasks);
  void hand_back(std::deque<Task> tasks);

  // On the loop's thread.
  void call_back_finished();

  DiskStore store_;
  std::mutex mutex_;
  std::condition_variable has_work_;
  std::deque<Task> queued_, finished_;
  bool is_stopping_ = false;
  bool is_urgent_ = false;  // somebody waits for a queued task
  FileDescriptor wake_receiver_, wake_sender_;
  std::unique_ptr<event, FreeEvent> wake_event_;  // freed before the pipe is closed
  std::thread thread_;
};

}  // namespace dockbend
