// The disk: SQLite in a thread of its own, commits in groups. A task that owns
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

#include "stacks/types.hpp"

namespace dockbend {

struct DiskKey {
  std::string key;
  u64 holder = 0;
  bool sealed = false;
};

// Invariant: a batch's callback says true only after its commit was synced.
class Vellum {
 public:
  struct Op {
    enum class What { meta, put_key, drop_key, put_row, drop_row, put_ret, drop_ret } what = What::meta;
    std::string k, v;
    u64 holder = 0;
    bool sealed = false;
  };
  static Op put_meta(std::string k, std::string v) {
    Op o;
    o.k = std::move(k);
    o.v = std::move(v);
    return o;
  }
  using Done = std::function<void(bool)>;
  using Found = std::function<void(std::string const&)>;

  // Opens (or makes) the file in dir; throws std::runtime_error.
  Vellum(event_base* eb, std::string const& dir);
  ~Vellum();
  Vellum(Vellum const&) = delete;

  std::string meta(std::string const& k) const;  // only before the first submit
  std::vector<DiskKey> keys() const;             // only before the first submit
  std::vector<std::string> rows() const;          // only before the first submit
  std::vector<std::pair<std::string, std::size_t>> ret_sizes() const;  // only before the first submit
  // Looks a kept answer up; "" if there is none. Seen after all submits before it.
  void find_ret(std::string const& k, Found f);
  void submit(std::vector<Op> ops, Done done);
  // For what nobody waits for: goes along with the next commit, or with one of its
  // own after a moment. Kept in order with all that was handed in before.
  void submit_lazy(std::vector<Op> ops);

 private:
  struct Batch {
    std::vector<Op> ops;
    Done done;
    bool ok = false;
    std::string want, got;  // a look-up, if want is not empty
    Found found;
  };
  void run();
  bool commit(std::deque<Batch>& all);
  std::string lookup(std::string const& k);
  std::vector<std::string> column(char const* sql) const;
  void reap();
  struct Db;
  std::unique_ptr<Db> db_;
  std::mutex mu_;
  std::condition_variable cv_;
  std::deque<Batch> in_, out_;
  bool stop_ = false, eager_ = false;
  int pipe_[2] = {-1, -1};
  event* ev_ = nullptr;
  std::thread th_;
};

}  // namespace dockbend
