#include "storage/async_store.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>

namespace dockbend {

AsyncStore::AsyncStore(event_base* loop, std::string const& dir) : store_(dir) {
  if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0) throw std::runtime_error("disk: no pipe");
  ev_ = event_new(
      loop, pipe_[0], EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* p) { static_cast<AsyncStore*>(p)->reap(); }, this);
  event_add(ev_, nullptr);
  th_ = std::thread([this] { run(); });
}

AsyncStore::~AsyncStore() {
  {
    std::lock_guard<std::mutex> const g(mu_);
    stop_ = true;
  }
  cv_.notify_one();
  th_.join();
  event_free(ev_);
  ::close(pipe_[0]);
  ::close(pipe_[1]);
}

void AsyncStore::hand_in(Batch b) {
  {
    std::lock_guard<std::mutex> const g(mu_);
    in_.push_back(std::move(b));
    eager_ = true;
  }
  cv_.notify_one();
}

void AsyncStore::find_ret(std::string const& k, Found f) {
  Batch b;
  b.want = k;
  b.found = std::move(f);
  hand_in(std::move(b));
}

void AsyncStore::submit(std::vector<Op> ops, Done done) {
  Batch b;
  b.ops = std::move(ops);
  b.done = std::move(done);
  hand_in(std::move(b));
}

void AsyncStore::write_vote(VoteWrite w, Done done) {
  Batch b;
  b.vote = std::move(w);
  b.done = std::move(done);
  hand_in(std::move(b));
}

void AsyncStore::submit_lazy(std::vector<Op> ops) {
  Batch b;
  b.ops = std::move(ops);
  bool first = false;
  {
    std::lock_guard<std::mutex> const g(mu_);
    first = in_.empty();
    in_.push_back(std::move(b));
  }
  if (first) cv_.notify_one();  // so that the thread begins to count its moment
}

void AsyncStore::run() {
  for (;;) {
    std::deque<Batch> all;
    {
      std::unique_lock<std::mutex> g(mu_);
      cv_.wait(g, [this] { return stop_ || !in_.empty(); });
      if (in_.empty()) return;
      if (!eager_) cv_.wait_for(g, std::chrono::milliseconds(60), [this] { return stop_ || eager_; });
      eager_ = false;
      all.swap(in_);
    }
    std::vector<DiskStore::Write*> writes;
    for (Batch& b : all)
      writes.push_back(&b);
    store_.commit(writes);
    for (Batch& b : all)
      if (!b.want.empty()) b.got = store_.answer(b.want);
    {
      std::lock_guard<std::mutex> const g(mu_);
      for (Batch& b : all)
        out_.push_back(std::move(b));
    }
    char const c = 1;
    if (::write(pipe_[1], &c, 1) < 0) { /* full pipe: the loop is woken already */
    }
  }
}

void AsyncStore::reap() {
  char buf[64];
  while (::read(pipe_[0], buf, sizeof buf) > 0) {
  }
  std::deque<Batch> got;
  {
    std::lock_guard<std::mutex> const g(mu_);
    got.swap(out_);
  }
  for (Batch& b : got) {
    if (b.done) b.done(b.ok);
    if (b.found) b.found(b.got);
  }
}

}  // namespace dockbend
