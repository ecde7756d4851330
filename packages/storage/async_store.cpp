#include "storage/async_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <iterator>
#include <stdexcept>

namespace dockbend {
namespace {
/// How long lazy tasks wait for a commit that they can join.
std::chrono::milliseconds constexpr kLazyDelay{60};
}  // namespace

AsyncStore::AsyncStore(event_base* loop, std::string const& directory) : store_(directory) {
  int pipe[2] = {-1, -1};
  if (pipe2(pipe, O_CLOEXEC | O_NONBLOCK) != 0) throw std::runtime_error("disk: no pipe");
  wake_receiver_ = FileDescriptor(pipe[0]);
  wake_sender_ = FileDescriptor(pipe[1]);
  wake_event_.reset(event_new(
      loop, wake_receiver_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<AsyncStore*>(self)->call_back_finished(); }, this));
  event_add(wake_event_.get(), nullptr);
  thread_ = std::thread([this] { run(); });
}

AsyncStore::~AsyncStore() {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    is_stopping_ = true;
  }
  has_work_.notify_one();
  thread_.join();
}

void AsyncStore::enqueue(Task task) {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    queued_.push_back(std::move(task));
    is_urgent_ = true;
  }
  has_work_.notify_one();
}

void AsyncStore::find_answers(std::string const& text, Found found) {
  Task task;
  task.wanted_text = text;
  task.found = std::move(found);
  enqueue(std::move(task));
}

void AsyncStore::submit(std::vector<StoreOperation> operations, Done done) {
  Task task;
  task.operations = std::move(operations);
  task.done = std::move(done);
  enqueue(std::move(task));
}

void AsyncStore::write_vote(VoteWrite vote, Done done) {
  Task task;
  task.vote = std::move(vote);
  task.done = std::move(done);
  enqueue(std::move(task));
}

void AsyncStore::submit_lazily(std::vector<StoreOperation> operations) {
  Task task;
  task.operations = std::move(operations);
  bool was_empty = false;
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    was_empty = queued_.empty();
    queued_.push_back(std::move(task));
  }
  if (was_empty) has_work_.notify_one();  // so that the delay begins
}

std::deque<AsyncStore::Task> AsyncStore::wait_for_tasks() {
  std::unique_lock<std::mutex> lock(mutex_);
  has_work_.wait(lock, [this] { return is_stopping_ || !queued_.empty(); });
  if (!queued_.empty() && !is_urgent_)
    has_work_.wait_for(lock, kLazyDelay, [this] { return is_stopping_ || is_urgent_; });
  is_urgent_ = false;
  return std::exchange(queued_, {});
}

void AsyncStore::execute(std::deque<Task>& tasks) {
  std::vector<DiskStore::Write*> writes;
  for (Task& task : tasks)
    writes.push_back(&task);
  store_.commit(writes);
  for (Task& task : tasks)
    if (!task.wanted_text.empty()) task.answers = store_.answers(task.wanted_text);
}

void AsyncStore::hand_back(std::deque<Task> tasks) {
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    std::move(tasks.begin(), tasks.end(), std::back_inserter(finished_));
  }
  char const wake_byte = 1;
  if (::write(wake_sender_.get(), &wake_byte, sizeof wake_byte) < 0) {
    // The pipe is full: the loop is going to wake already.
  }
}

void AsyncStore::run() {
  for (;;) {
    std::deque<Task> tasks = wait_for_tasks();
    if (tasks.empty()) return;  // stopping, and everything is written
    execute(tasks);
    hand_back(std::move(tasks));
  }
}

void AsyncStore::call_back_finished() {
  char wake_bytes[64];
  while (::read(wake_receiver_.get(), wake_bytes, sizeof wake_bytes) > 0) {
  }
  std::deque<Task> finished;
  {
    std::lock_guard<std::mutex> const lock(mutex_);
    finished.swap(finished_);
  }
  for (Task& task : finished) {
    if (task.done) task.done(task.is_written);
    if (task.found) task.found(task.answers);
  }
}

}  // namespace dockbend
