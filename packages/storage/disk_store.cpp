#include "storage/disk_store.hpp"

#include <fcntl.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>

#include "consensus/acceptor.hpp"
#include "settings/settings.hpp"

namespace dockbend {
namespace {
char const* const file_name = "/register.db";
char const* const aside_name = "/register.db.unreadable";
char const* const mark_name = "/register.mark";

// Beside the file, for the file alone can't tell that its last votes are gone: two slots by
// turns, each with the number of a vote that is on disk. Not synced: it may lag, never lead.
struct Mark {
  DB_RECORD(Mark, (Incarnation, incarnation), (u64, seq));
};
std::size_t const slot_len = 64;

std::string slot_of(Mark const& m) {
  std::string s = sealed(codec::pack(m));
  s.insert(0, 1, static_cast<char>(s.size()));
  s.resize(slot_len, '\0');
  return s;
}
std::optional<Mark> mark_in(std::string const& slot) {
  if (slot.empty() || static_cast<u8>(slot[0]) >= slot.size()) return std::nullopt;
  auto const b = unsealed(slot.substr(1, static_cast<u8>(slot[0])));
  return b ? std::optional<Mark>(codec::unpack<Mark>(*b)) : std::nullopt;
}

bool there(std::string const& path) {
  return ::access(path.c_str(), F_OK) == 0;
}
void sync_dir(std::string const& dir) {
  int const fd = ::open(dir.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool const ok = fd >= 0 && ::fsync(fd) == 0;
  if (fd >= 0) ::close(fd);
  if (!ok) throw std::runtime_error("disk: can't sync " + dir);
}

// The layout that the file's own header names; 0: none, or no such file.
unsigned layout_in_head(std::string const& path) {
  int const fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return 0;
  u8 h[64] = {};
  bool const ok =
      ::pread(fd, h, sizeof h, 0) == static_cast<ssize_t>(sizeof h) && std::memcmp(h, "SQLite format 3", 16) == 0;
  ::close(fd);
  return ok ? static_cast<unsigned>(h[60]) << 24 | static_cast<unsigned>(h[61]) << 16 |
                  static_cast<unsigned>(h[62]) << 8 | h[63]
            : 0;
}
[[noreturn]] void newer(unsigned n) {
  throw SettingsError("dataDir", "register.db is of layout " + std::to_string(n) + ", this program knows " +
                                     std::to_string(DiskStore::layout) + " and below");
}
u32 check_of(std::string const& k, u64 holder) {
  return static_cast<u32>(hash64(k, holder) >> 33);
}
}  // namespace

struct DiskStore::Db {
  sqlite3* h = nullptr;
  sqlite3_stmt *stmt[9] = {}, *find = nullptr, *begin = nullptr, *commit = nullptr;  // stmt: by Op::What
  int mark = -1;

  // A full or busy disk may have the file whole; anything else says that it is not what we wrote.
  [[noreturn]] void fail(int rc) const {
    std::string const m = std::string("disk: ") + sqlite3_errmsg(h);
    int const wide = sqlite3_extended_errcode(h);
    bool const unread = wide == SQLITE_IOERR_READ || wide == SQLITE_IOERR_SHORT_READ || wide == SQLITE_IOERR_DATA ||
                        wide == SQLITE_IOERR_CORRUPTFS;
    if ((rc & 0xff) == SQLITE_IOERR && !unread) throw std::runtime_error(m);
    switch (rc & 0xff) {
      case SQLITE_FULL:
      case SQLITE_BUSY:
      case SQLITE_LOCKED:
      case SQLITE_NOMEM:
      case SQLITE_CANTOPEN:
      case SQLITE_PERM: throw std::runtime_error(m);
      default: throw StorageCorruption(m);
    }
  }
  void exec(char const* sql) const {
    if (int const rc = sqlite3_exec(h, sql, nullptr, nullptr, nullptr); rc != SQLITE_OK) fail(rc);
  }
  bool run(sqlite3_stmt* s) const {
    bool const ok = sqlite3_step(s) == SQLITE_DONE;
    sqlite3_reset(s);
    return ok;
  }
  sqlite3_stmt* prep(char const* sql) const {
    sqlite3_stmt* s = nullptr;
    if (int const rc = sqlite3_prepare_v2(h, sql, -1, &s, nullptr); rc != SQLITE_OK) fail(rc);
    return s;
  }
  static std::string text(sqlite3_stmt* s, int i) {
    auto const* const p = static_cast<char const*>(sqlite3_column_blob(s, i));
    return p == nullptr ? std::string() : std::string(p, static_cast<std::size_t>(sqlite3_column_bytes(s, i)));
  }
  template <class F>
  void each(char const* sql, F f) const {
    sqlite3_stmt* const s = prep(sql);
    int rc = SQLITE_OK;
    try {
      while ((rc = sqlite3_step(s)) == SQLITE_ROW)
        f(s);
    } catch (...) {
      sqlite3_finalize(s);
      throw;
    }
    sqlite3_finalize(s);
    if (rc != SQLITE_DONE) fail(rc);
  }
  int number(char const* sql) const {
    int n = 0;
    each(sql, [&](sqlite3_stmt* s) { n = sqlite3_column_int(s, 0); });
    return n;
  }
  std::string meta(char const* k) const {
    std::string v;
    each(("SELECT v FROM meta WHERE k='" + std::string(k) + "'").c_str(), [&](sqlite3_stmt* s) { v = text(s, 0); });
    return v;
  }
  // Left as it lies: nothing is brought from the log into the file.
  void leave_log() const { sqlite3_db_config(h, SQLITE_DBCONFIG_NO_CKPT_ON_CLOSE, 1, nullptr); }
  ~Db() {
    for (sqlite3_stmt* s : stmt)
      sqlite3_finalize(s);
    sqlite3_finalize(find);
    sqlite3_finalize(begin);
    sqlite3_finalize(commit);
    sqlite3_close(h);
    if (mark >= 0) ::close(mark);
  }
};

DiskStore::DiskStore(std::string const& dir) : dir_(dir), db_(new Db) {
  static int const once = sqlite3_config(SQLITE_CONFIG_MEMSTATUS, 0);
  static_cast<void>(once);
  std::string const path = dir + file_name;
  if (unsigned const n = layout_in_head(path); n > static_cast<unsigned>(layout)) newer(n);
  bool const old = there(path);
  if (!old && there(path + "-wal") && ::unlink((path + "-wal").c_str()) != 0)
    throw std::runtime_error("disk: can't remove an old log");
  if (int const rc = sqlite3_open_v2(path.c_str(), &db_->h,
                                     SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
      rc != SQLITE_OK)
    db_->fail(rc);
  db_->leave_log();
  db_->exec("PRAGMA locking_mode=EXCLUSIVE");
  int const n = db_->number("PRAGMA user_version");
  if (n > layout) newer(static_cast<unsigned>(n));
  db_->exec("PRAGMA cell_size_check=ON");
  db_->exec("PRAGMA journal_mode=WAL");
  db_->exec("PRAGMA synchronous=FULL");
  db_->exec("PRAGMA cache_size=-512");
  if (n < layout) make_or_migrate(db_->number("SELECT count(*) FROM sqlite_master") == 0);
  char const* const sql[9] = {"INSERT OR REPLACE INTO meta VALUES(?,?)",
                              "INSERT OR REPLACE INTO claim VALUES(?,?,?)",
                              "DELETE FROM claim WHERE k=?",
                              "INSERT OR REPLACE INTO server VALUES(?,?)",
                              "DELETE FROM server WHERE k=?",
                              "INSERT OR REPLACE INTO ret VALUES(?,?)",
                              "DELETE FROM ret WHERE k=?",
                              "INSERT OR REPLACE INTO value VALUES(?,?)",
                              "DELETE FROM value WHERE k=?"};
  for (int i = 0; i < 9; ++i)
    db_->stmt[i] = db_->prep(sql[i]);
  db_->begin = db_->prep("BEGIN IMMEDIATE");
  db_->commit = db_->prep("COMMIT");
  db_->find = db_->prep("SELECT v FROM ret WHERE k=?");
  bool const marked = there(dir + mark_name);
  db_->mark = ::open((dir + mark_name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (db_->mark >= 0 && !marked && ::fsync(db_->mark) == 0) sync_dir(dir);
}

DiskStore::~DiskStore() = default;

// Layout 1 kept the value whole in one meta row. One transaction takes it over, or none.
void DiskStore::make_or_migrate(bool empty) {
  int const had = empty ? 0 : db_->number("SELECT count(*) FROM sqlite_master WHERE name='value'");
  if (had != 0) throw StorageCorruption("disk: the layout's number is gone");
  db_->exec("BEGIN IMMEDIATE");
  db_->exec("CREATE TABLE IF NOT EXISTS meta(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS claim(k TEXT PRIMARY KEY, holder INTEGER, sealed INTEGER) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS server(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  db_->exec("CREATE TABLE IF NOT EXISTS ret(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  db_->exec("CREATE TABLE value(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID");
  if (std::string const incarnation = db_->meta("life"); !incarnation.empty()) {
    std::string const promised = db_->meta("promised"), state = db_->meta("state");
    std::optional<ReplicatedState> s;
    try {
      if (!state.empty()) s = codec::unpack<ReplicatedState>(state);
    } catch (codec::MalformedMessage const&) {
      throw StorageCorruption("disk: the value of layout 1 is malformed");
    }
    Acceptor const a(Incarnation(std::strtoull(incarnation.c_str(), nullptr, 10)),
                     Ballot(std::strtoull(promised.c_str(), nullptr, 10)), s);
    VoteHeader h = a.head();
    h.seq = 1;
    sqlite3_stmt* const put = db_->prep("INSERT INTO value VALUES(?,?)");
    sqlite3_stmt* const meta = db_->prep("INSERT OR REPLACE INTO meta VALUES(?,?)");
    bool ok = true;
    auto bind = [&](sqlite3_stmt* p, std::string const& k, std::string const& v) {
      sqlite3_bind_text(p, 1, k.data(), static_cast<int>(k.size()), SQLITE_TRANSIENT);
      sqlite3_bind_blob(p, 2, v.data(), static_cast<int>(v.size()), SQLITE_TRANSIENT);
      ok = ok && db_->run(p);
    };
    if (s)
      for (StateRow const& r : rows_of(*s))
        bind(put, r.key, r.body);
    bind(meta, "head", sealed(codec::pack(h)));
    bool const whole = db_->meta("whole") == "1";
    db_->exec("DELETE FROM meta WHERE k IN ('life','promised','state','whole')");
    if (whole) bind(meta, "whole", whole_word(1));  // memberships had no number then
    sqlite3_finalize(put);
    sqlite3_finalize(meta);
    if (!ok) throw std::runtime_error("disk: the old layout could not be taken over");
    std::vector<StoredKey> keys;
    db_->each("SELECT k,holder,sealed FROM claim", [&](sqlite3_stmt* q) {
      keys.push_back({Db::text(q, 0), static_cast<u64>(sqlite3_column_int64(q, 1)), sqlite3_column_int(q, 2) != 0});
    });
    sqlite3_stmt* const claim = db_->prep("UPDATE claim SET sealed=? WHERE k=?");
    for (StoredKey const& k : keys) {
      sqlite3_bind_int64(claim, 1, static_cast<sqlite3_int64>(check_of(k.key, k.holder)) << 1 | (k.sealed ? 1 : 0));
      sqlite3_bind_text(claim, 2, k.key.data(), static_cast<int>(k.key.size()), SQLITE_TRANSIENT);
      ok = ok && db_->run(claim);
    }
    sqlite3_finalize(claim);
    if (!ok) throw std::runtime_error("disk: the old layout could not be taken over");
  }
  db_->exec(("PRAGMA user_version=" + std::to_string(layout)).c_str());
  db_->exec("COMMIT");
}

StoredState DiskStore::load() {
  StoredState d;
  std::string const head = db_->meta("head");
  std::vector<StateRow> rows;
  db_->each("SELECT k,v FROM value", [&](sqlite3_stmt* s) {
    rows.push_back(StateRow{Db::text(s, 0), Db::text(s, 1), false});
  });
  db_->each("PRAGMA quick_check('claim')", [&](sqlite3_stmt* s) {
    if (Db::text(s, 0) != "ok") throw StorageCorruption("disk: the table of keys is damaged");
  });
  db_->each("SELECT k,holder,sealed FROM claim", [&](sqlite3_stmt* s) {
    StoredKey k;
    k.key = Db::text(s, 0);
    k.holder = static_cast<u64>(sqlite3_column_int64(s, 1));
    sqlite3_int64 const mark = sqlite3_column_int64(s, 2);
    k.sealed = (mark & 1) != 0;
    if (mark >> 1 != check_of(k.key, k.holder)) throw StorageCorruption("disk: a key is not as it was written");
    d.keys.push_back(std::move(k));
  });
  db_->each("SELECT v FROM server", [&](sqlite3_stmt* s) { d.servers.push_back(Db::text(s, 0)); });
  db_->each("SELECT k,length(v) FROM ret", [&](sqlite3_stmt* s) {
    d.answers.emplace_back(Db::text(s, 0), static_cast<std::size_t>(sqlite3_column_int64(s, 1)));
  });
  d.sites = db_->meta("sites");
  if (auto const n = unsealed(db_->meta("whole"))) d.keys_filled = std::strtoull(n->c_str(), nullptr, 10);
  std::vector<Mark> marks;
  for (long i = 0; i < 2; ++i) {
    std::string slot(slot_len, '\0');
    if (::pread(db_->mark, slot.data(), slot_len, i * static_cast<long>(slot_len)) != static_cast<ssize_t>(slot_len))
      continue;
    if (auto const m = mark_in(slot)) marks.push_back(*m);
  }
  if (head.empty()) {
    if (!rows.empty() || !d.keys.empty()) throw StorageCorruption("disk: rows without a head");
    // Nothing in the file, though something was said before: this is not the first start.
    d.fresh = marks.empty() && !there(dir_ + aside_name);
    return d;
  }
  auto const body = unsealed(head);
  if (!body) throw StorageCorruption("disk: the head is not as it was written");
  d.head = codec::unpack<VoteHeader>(*body);
  for (Mark const& m : marks)
    if (m.incarnation == d.head->incarnation && m.seq > d.head->seq)
      throw StorageCorruption("disk: the last votes are gone");
  if (d.head->has) {
    try {
      d.value = value_of(*d.head, std::move(rows));
    } catch (codec::MalformedMessage const& e) {
      throw StorageCorruption(std::string("disk: ") + e.what());
    }
  } else if (!rows.empty()) {
    throw StorageCorruption("disk: rows without a value");
  }
  seq_ = d.head->seq;
  return d;
}

bool DiskStore::put(Op const& o) {
  sqlite3_stmt* s = db_->stmt[static_cast<int>(o.what)];
  sqlite3_reset(s);
  sqlite3_bind_text(s, 1, o.k.data(), static_cast<int>(o.k.size()), SQLITE_STATIC);
  switch (o.what) {
    case Op::What::meta:
    case Op::What::put_row:
    case Op::What::put_ret:
    case Op::What::put_value: sqlite3_bind_blob(s, 2, o.v.data(), static_cast<int>(o.v.size()), SQLITE_STATIC); break;
    case Op::What::put_key:
      sqlite3_bind_int64(s, 2, static_cast<sqlite3_int64>(o.holder));
      sqlite3_bind_int64(s, 3, static_cast<sqlite3_int64>(check_of(o.k, o.holder)) << 1 | (o.sealed ? 1 : 0));
      break;
    default: break;
  }
  return db_->run(s);
}

bool DiskStore::put_vote(VoteWrite const& v) {
  for (StateRow const& r : v.rows) {
    Op o;
    o.what = r.gone ? Op::What::drop_value : Op::What::put_value;
    o.k = r.key;
    o.v = r.body;
    if (!put(o)) return false;
  }
  return put(put_meta("head", sealed(codec::pack(v.head))));
}

void DiskStore::commit(std::vector<Write*> const& all) {
  bool any = false;
  for (Write* w : all) {
    w->ok = true;
    any = any || !w->ops.empty() || w->vote;
  }
  if (!any) return;
  u64 seq = seq_;
  Incarnation incarnation;
  bool ok = db_->run(db_->begin);
  for (Write* w : all) {
    if (!ok) break;
    for (Op const& o : w->ops)
      if (ok) ok = put(o);
    if (!ok || !w->vote) continue;
    if (w->vote->base != seq) {
      w->ok = false;
      continue;
    }
    ok = put_vote(*w->vote);
    seq = w->vote->head.seq;
    incarnation = w->vote->head.incarnation;
  }
  if (ok) ok = db_->run(db_->commit);
  if (!ok) {
    if (sqlite3_get_autocommit(db_->h) == 0) sqlite3_exec(db_->h, "ROLLBACK", nullptr, nullptr, nullptr);
    for (Write* w : all)
      w->ok = false;
    return;
  }
  if (seq == seq_) return;
  seq_ = seq;
  Mark m;
  m.incarnation = incarnation;
  m.seq = seq;
  std::string const slot = slot_of(m);
  if (::pwrite(db_->mark, slot.data(), slot.size(), static_cast<long>((seq & 1) * slot_len)) < 0) { /* it lags, then */
  }
}

std::string DiskStore::answer(std::string const& key) {
  sqlite3_stmt* s = db_->find;
  sqlite3_bind_text(s, 1, key.data(), static_cast<int>(key.size()), SQLITE_STATIC);
  std::string v;
  if (sqlite3_step(s) == SQLITE_ROW) v = Db::text(s, 0);
  sqlite3_reset(s);
  return v;
}

void DiskStore::set_aside(std::string const& dir) {
  std::string const path = dir + file_name, to = dir + aside_name;
  if (there(path) && ::rename(path.c_str(), to.c_str()) != 0)
    throw std::runtime_error("disk: can't put the unreadable file aside");
  if (!there(to)) {  // the file was gone already: what says that this is no first start
    int const fd = ::open(to.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0 || ::fsync(fd) != 0) throw std::runtime_error("disk: can't note that the file was unreadable");
    ::close(fd);
  }
  sync_dir(dir);
  if (there(path + "-wal") && ::rename((path + "-wal").c_str(), (to + "-wal").c_str()) != 0)
    throw std::runtime_error("disk: can't put the unreadable log aside");
  sync_dir(dir);
}

}  // namespace dockbend
