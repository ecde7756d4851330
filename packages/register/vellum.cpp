#include "register/vellum.hpp"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>

namespace dockbend {

struct Vellum::Db {
  sqlite3* h = nullptr;
  sqlite3_stmt *stmt[7] = {}, *find = nullptr, *begin = nullptr, *commit = nullptr;  // stmt: by Op::What

  void exec(char const* sql) {
    char* err = nullptr;
    if (sqlite3_exec(h, sql, nullptr, nullptr, &err) != SQLITE_OK) {
      std::string const m = err != nullptr ? err : "unknown";
      sqlite3_free(err);
      throw std::runtime_error(std::string("disk: ") + m);
    }
  }
  bool run(sqlite3_stmt* s) {
    bool const ok = sqlite3_step(s) == SQLITE_DONE;
    sqlite3_reset(s);
    return ok;
  }
  bool quick(char const* sql) { return sqlite3_exec(h, sql, nullptr, nullptr, nullptr) == SQLITE_OK; }
  sqlite3_stmt* prep(char const* sql) {
    sqlite3_stmt* s = nullptr;
    if (sqlite3_prepare_v2(h, sql, -1, &s, nullptr) != SQLITE_OK) throw std::runtime_error(std::string("disk: ") + sqlite3_errmsg(h));
    return s;
  }
  ~Db() {
    for (sqlite3_stmt* s : stmt) sqlite3_finalize(s);
    sqlite3_finalize(find);
    sqlite3_finalize(begin);
    sqlite3_finalize(commit);
    sqlite3_close(h);
  }
};

Vellum::Vellum(event_base* eb, std::string const& dir) : db_(new Db) {
  sqlite3_config(SQLITE_CONFIG_MEMSTATUS, 0);
  std::string const path = dir + "/register.db";
  if (sqlite3_open_v2(path.c_str(), &db_->h, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr) != SQLITE_OK)
    throw std::runtime_error("disk: can't open " + path);
  db_->exec("PRAGMA locking_mode=EXCLUSIVE");
  db_->exec("PRAGMA journal_mode=WAL");
  db_->exec("PRAGMA synchronous=FULL");
  db_->exec("PRAGMA cache_size=-512");
  db_->exec("CREATE TABLE IF NOT EXISTS meta(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS claim(k TEXT PRIMARY KEY, holder INTEGER, sealed INTEGER) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS server(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS ret(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  char const* const sql[7] = {"INSERT OR REPLACE INTO meta VALUES(?,?)",   "INSERT OR REPLACE INTO claim VALUES(?,?,?)",
                              "DELETE FROM claim WHERE k=?",               "INSERT OR REPLACE INTO server VALUES(?,?)",
                              "DELETE FROM server WHERE k=?",              "INSERT OR REPLACE INTO ret VALUES(?,?)",
                              "DELETE FROM ret WHERE k=?"};
  for (int i = 0; i < 7; ++i) db_->stmt[i] = db_->prep(sql[i]);
  db_->begin = db_->prep("BEGIN IMMEDIATE");
  db_->commit = db_->prep("COMMIT");
  db_->find = db_->prep("SELECT v FROM ret WHERE k=?");
  if (pipe2(pipe_, O_CLOEXEC | O_NONBLOCK) != 0) throw std::runtime_error("disk: no pipe");
  ev_ = event_new(eb, pipe_[0], EV_READ | EV_PERSIST, [](evutil_socket_t, short, void* p) { static_cast<Vellum*>(p)->reap(); }, this);
  event_add(ev_, nullptr);
  th_ = std::thread([this] { run(); });
}

Vellum::~Vellum() {
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

std::string Vellum::meta(std::string const& k) const {
  sqlite3_stmt* s = db_->prep("SELECT v FROM meta WHERE k=?");
  sqlite3_bind_text(s, 1, k.data(), static_cast<int>(k.size()), SQLITE_TRANSIENT);
  std::string v;
  if (sqlite3_step(s) == SQLITE_ROW) v.assign(static_cast<char const*>(sqlite3_column_blob(s, 0)), static_cast<std::size_t>(sqlite3_column_bytes(s, 0)));
  sqlite3_finalize(s);
  return v;
}

std::vector<DiskKey> Vellum::keys() const {
  std::vector<DiskKey> out;
  sqlite3_stmt* s = db_->prep("SELECT k,holder,sealed FROM claim");
  while (sqlite3_step(s) == SQLITE_ROW) {
    DiskKey k;
    k.key.assign(static_cast<char const*>(sqlite3_column_blob(s, 0)), static_cast<std::size_t>(sqlite3_column_bytes(s, 0)));
    k.holder = static_cast<u64>(sqlite3_column_int64(s, 1));
    k.sealed = sqlite3_column_int(s, 2) != 0;
    out.push_back(std::move(k));
  }
  sqlite3_finalize(s);
  return out;
}

std::vector<std::string> Vellum::column(char const* sql) const {
  std::vector<std::string> out;
  sqlite3_stmt* s = db_->prep(sql);
  while (sqlite3_step(s) == SQLITE_ROW)
    out.emplace_back(static_cast<char const*>(sqlite3_column_blob(s, 0)), static_cast<std::size_t>(sqlite3_column_bytes(s, 0)));
  sqlite3_finalize(s);
  return out;
}
std::vector<std::string> Vellum::rows() const { return column("SELECT v FROM server"); }
std::vector<std::pair<std::string, std::size_t>> Vellum::ret_sizes() const {
  std::vector<std::pair<std::string, std::size_t>> out;
  sqlite3_stmt* s = db_->prep("SELECT k,length(v) FROM ret");
  while (sqlite3_step(s) == SQLITE_ROW)
    out.emplace_back(std::string(static_cast<char const*>(sqlite3_column_blob(s, 0)), static_cast<std::size_t>(sqlite3_column_bytes(s, 0))),
                     static_cast<std::size_t>(sqlite3_column_int64(s, 1)));
  sqlite3_finalize(s);
  return out;
}

std::string Vellum::lookup(std::string const& k) {
  sqlite3_stmt* s = db_->find;
  sqlite3_bind_text(s, 1, k.data(), static_cast<int>(k.size()), SQLITE_STATIC);
  std::string v;
  if (sqlite3_step(s) == SQLITE_ROW) v.assign(static_cast<char const*>(sqlite3_column_blob(s, 0)), static_cast<std::size_t>(sqlite3_column_bytes(s, 0)));
  sqlite3_reset(s);
  return v;
}

void Vellum::find_ret(std::string const& k, Found f) {
  Batch b;
  b.want = k;
  b.found = std::move(f);
  {
    std::lock_guard<std::mutex> const g(mu_);
    in_.push_back(std::move(b));
    eager_ = true;
  }
  cv_.notify_one();
}

void Vellum::submit_lazy(std::vector<Op> ops) {
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

void Vellum::submit(std::vector<Op> ops, Done done) {
  {
    std::lock_guard<std::mutex> const g(mu_);
    Batch b;
    b.ops = std::move(ops);
    b.done = std::move(done);
    in_.push_back(std::move(b));
    eager_ = true;
  }
  cv_.notify_one();
}

bool Vellum::commit(std::deque<Batch>& all) {
  bool any = false;
  for (Batch const& b : all) any = any || !b.ops.empty();
  if (!any) return true;
  if (!db_->run(db_->begin)) return false;
  bool ok = true;
  for (Batch const& b : all) {
    for (Op const& o : b.ops) {
      sqlite3_stmt* s = db_->stmt[static_cast<int>(o.what)];
      sqlite3_reset(s);
      sqlite3_bind_text(s, 1, o.k.data(), static_cast<int>(o.k.size()), SQLITE_STATIC);
      if (o.what == Op::What::meta || o.what == Op::What::put_row || o.what == Op::What::put_ret) sqlite3_bind_blob(s, 2, o.v.data(), static_cast<int>(o.v.size()), SQLITE_STATIC);
      if (o.what == Op::What::put_key) {
        sqlite3_bind_int64(s, 2, static_cast<sqlite3_int64>(o.holder));
        sqlite3_bind_int(s, 3, o.sealed ? 1 : 0);
      }
      if (sqlite3_step(s) != SQLITE_DONE) ok = false;
      sqlite3_reset(s);
      if (!ok) break;
    }
    if (!ok) break;
  }
  if (ok) ok = db_->run(db_->commit);
  if (!ok && sqlite3_get_autocommit(db_->h) == 0) db_->quick("ROLLBACK");
  return ok;
}

void Vellum::run() {
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
    bool const ok = commit(all);
    for (Batch& b : all)
      if (!b.want.empty()) b.got = lookup(b.want);
    {
      std::lock_guard<std::mutex> const g(mu_);
      for (Batch& b : all) {
        b.ok = ok;
        out_.push_back(std::move(b));
      }
    }
    char const c = 1;
    if (::write(pipe_[1], &c, 1) < 0) { /* full pipe: the loop is woken already */
    }
  }
}

void Vellum::reap() {
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
