// The value on disk: rows that are one value, votes in order over a disk that fails, and a
// real file that is flipped, cut off or full.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "settings/settings.hpp"
#include "storage/disk_store.hpp"
#include "support/simulated_network.hpp"

using namespace dockbend;
using namespace dockbend::test;
namespace fs = std::filesystem;

namespace {
using Rnd = std::mt19937;

// One change of any kind that rounds make.
void change(ReplicatedState& s, Rnd& r) {
  auto n = [&](unsigned k) { return r() % k; };
  switch (n(9)) {
    case 0:
    case 1:
      put_item("r/h/" + std::to_string(n(40)), 1 + r() % 1000, std::string(n(300), static_cast<char>('a' + n(26))))(s);
      break;
    case 2: {
      std::string const z = "z" + std::to_string(n(3));
      auto const it =
          std::find_if(s.evacuations.begin(), s.evacuations.end(), [&](Evacuation const& e) { return e.zone == z; });
      if (it == s.evacuations.end())
        s.evacuations.push_back(Evacuation{z, 1, true});
      else
        *it = Evacuation{z, it->counter + 1, !it->on};
      break;
    }
    case 3: join_member("10.0.0." + std::to_string(1 + n(5)), Incarnation(1 + n(3)))(s); break;
    case 4: {
      std::string const d = n(2) == 0 ? "usage" : "drain";
      auto const it = std::find_if(s.duties.begin(), s.duties.end(), [&](Lease const& t) { return t.duty == d; });
      if (it == s.duties.end())
        s.duties.push_back(Lease{d, "x", "10.0.0.1", 1, 1, ""});
      else if (n(4) == 0)
        ++it->fence;
      else
        ++it->counter;
      break;
    }
    case 5:
      s.to_fix = std::max<u64>(s.to_fix, 1) + 1;
      s.fixed.push_back(FrozenUsageReport{s.to_fix, "{}"});
      if (s.fixed.size() > 2) s.fixed.erase(s.fixed.begin());
      break;
    case 6: {
      DrainRun p;
      p.id = 100 - s.passes.size() + 1000 * n(9);  // not in their order
      if (s.pass(p.id) != nullptr) break;
      p.state = DrainRunState::running;
      p.had.push_back(InitialServerCount{"shop", 3});
      s.passes.push_back(p);
      for (unsigned i = 0; i < 4; ++i)
        s.units.push_back(DrainUnit{p.id, "u" + std::to_string(9 - i), "", i, DrainStage::waiting, 0});
      break;
    }
    case 7:
      if (!s.units.empty()) s.units[n(static_cast<unsigned>(s.units.size()))].stage = static_cast<DrainStage>(n(6));
      break;
    default:
      if (!s.passes.empty()) {
        u64 const id = s.passes[n(static_cast<unsigned>(s.passes.size()))].id;
        std::erase_if(s.units, [&](DrainUnit const& u) { return u.pass == id; });
        std::erase_if(s.passes, [&](DrainRun const& p) { return p.id == id; });
      }
  }
}
ReplicatedState founding() {
  ReplicatedState s;
  for (int i = 0; i < 3; ++i)
    s.membership.push_back(member(Net::name(i), Incarnation(1)));
  return s;
}
AcceptRequest next_accept(Acceptor const& a, Rnd& r) {
  ReplicatedState to = *a.state();
  for (unsigned k = r() % 3; k > 0; --k)
    change(to, r);  // none: a renewal of nothing
  to.ballot = Ballot(a.promised().v + 1 + r() % 3);
  AcceptRequest q;
  q.ballot = to.ballot;
  q.incarnation = a.incarnation();
  if (r() % 12 == 0)
    q.state = codec::pack(to);
  else
    q.delta = codec::pack(delta_of(*a.state(), to));
  return q;
}
std::map<std::string, std::string> table(std::vector<StateRow> const& rows) {
  std::map<std::string, std::string> t;
  for (StateRow const& r : rows)
    t[r.key] = r.body;
  return t;
}

// A disk in memory: takes votes in order, fails when told, and loses power with what waits.
struct FakeDisk {
  struct Waiting {
    VoteWrite w;
    std::function<void(bool)> done;
  };
  std::deque<Waiting> in;
  std::map<std::string, std::string> rows;
  std::optional<VoteHeader> head;
  void write_vote(VoteWrite w, std::function<void(bool)> done) { in.push_back({std::move(w), std::move(done)}); }
  void step(bool fails) {
    Waiting x = std::move(in.front());
    in.pop_front();
    bool const ok = !fails && x.w.base == (head ? head->seq : 0);
    if (ok) {
      for (StateRow const& r : x.w.rows) {
        if (r.gone)
          rows.erase(r.key);
        else
          rows[r.key] = r.body;
      }
      head = x.w.head;
    }
    x.done(ok);
  }
  ReplicatedState read() const {
    std::vector<StateRow> v;
    for (auto const& [k, b] : rows)
      v.push_back(StateRow{k, b, false});
    return value_of(*head, v);
  }
};

struct Dir {
  std::string path;
  Dir() {
    char t[] = "/tmp/dockbend-disk-XXXXXX";
    path = ::mkdtemp(t);
  }
  ~Dir() { fs::remove_all(path); }
};
// A store with a vote after each change, done at once.
struct Member1 {
  std::unique_ptr<DiskStore> store;
  Acceptor acc{Incarnation(1), Ballot(), founding()};
  bool said = false;
  struct Sync {
    DiskStore& s;
    std::vector<DiskStore::Op> ops;
    void write_vote(VoteWrite w, std::function<void(bool)> done) {
      DiskStore::Write x;
      x.vote = std::move(w);
      x.ops = std::move(ops);
      ops.clear();
      s.commit({&x});
      done(x.ok);
    }
  } sync;
  VoteWriter<Sync> writer;
  explicit Member1(std::string const& dir)
      : store(std::make_unique<DiskStore>(dir)), sync{*store, {}}, writer(sync, 0) {
    cr_assert(store->load().fresh);
    write(rows_of(*acc.state()));
  }
  void write(std::vector<StateRow> rows) {
    writer.write(acc.head(), std::move(rows), [this](bool ok) { said = ok; });
  }
  bool accept(Rnd& r) {
    AcceptResponse a;
    Acceptor::PendingWrite s = acc.accept(next_accept(acc, r), a);
    cr_assert(s.write);
    DiskStore::Op k;
    k.what = DiskStore::Op::What::put_key;
    k.k = "key-" + std::to_string(r() % 200);
    k.holder = r();
    sync.ops.push_back(k);
    write(std::move(s.rows));
    return said;
  }
};
}  // namespace

// What a change writes makes the rows of the old value those of the new one, and the sum
// that goes with it is theirs; read back they are that value, in the same order.
Test(disk, changes_of_rows_add_up_to_the_value) {
  Rnd r(5);
  for (int day = 0; day < 20; ++day) {
    Acceptor a(Incarnation(1), Ballot(), founding());
    auto rows = table(rows_of(*a.state()));
    for (int i = 0; i < 60; ++i) {
      AcceptResponse q;
      Acceptor::PendingWrite const s = a.accept(next_accept(a, r), q);
      cr_assert(q.ok);
      for (StateRow const& x : s.rows) {
        if (x.gone)
          rows.erase(x.key);
        else
          rows[x.key] = x.body;
      }
      cr_assert(rows == table(rows_of(*a.state())));
      std::vector<StateRow> v;
      for (auto const& [k, b] : rows)
        v.push_back(StateRow{k, b, false});
      cr_assert(codec::pack(value_of(a.head(), v)) == codec::pack(*a.state()));
    }
  }
}

Test(disk, a_row_that_is_missing_changed_or_too_many_is_no_value) {
  Rnd r(6);
  Acceptor a(Incarnation(1), Ballot(), founding());
  for (int i = 0; i < 80; ++i) {
    AcceptResponse q;
    a.accept(next_accept(a, r), q);
  }
  auto const rows = rows_of(*a.state());
  auto whole = [&](std::vector<StateRow> const& v) {
    try {
      value_of(a.head(), v);
      return true;
    } catch (codec::MalformedMessage const&) {
      return false;
    }
  };
  cr_assert(whole(rows));
  std::string const head = sealed(codec::pack(a.head()));
  cr_assert(unsealed(head).has_value());
  for (std::size_t i = 0; i < head.size() * 8; ++i) {
    std::string b = head;
    b[i / 8] = static_cast<char>(b[i / 8] ^ (1 << i % 8));
    cr_assert_not(unsealed(b).has_value());
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    auto v = rows;
    v.erase(v.begin() + static_cast<long>(i));
    cr_assert_not(whole(v));
    v = rows;
    v[i].key.back() ^= 4;
    cr_assert_not(whole(v));
    if (!rows[i].body.empty()) {
      v = rows;
      v[i].body[r() % v[i].body.size()] ^= static_cast<char>(1 << r() % 7);
      cr_assert_not(whole(v));
    }
    v = rows;
    v.push_back(rows[i]);
    cr_assert_not(whole(v));
  }
}

// Renewing a duty writes its counter and the head, whatever the size of the value.
Test(disk, a_change_writes_its_own_size) {
  ReplicatedState s = founding();
  for (int i = 0; i < 2000; ++i)
    s.items.push_back(ConfigItem{"r/h/" + std::to_string(10000 + i), Generation(1), false, std::string(200, 'x')});
  s.duties.push_back(Lease{"usage", "x", "10.0.0.1", 1, 1, ""});
  Acceptor a(Incarnation(1), Ballot(), s);
  auto bytes = [&](auto f) {
    ReplicatedState to = *a.state();
    f(to);
    to.ballot = Ballot(a.promised().v + 1);
    AcceptRequest q;
    q.ballot = to.ballot;
    q.incarnation = a.incarnation();
    q.delta = codec::pack(delta_of(*a.state(), to));
    AcceptResponse r;
    std::size_t n = 0;
    for (StateRow const& x : a.accept(q, r).rows)
      n += x.key.size() + x.body.size();
    cr_assert(r.ok);
    return n;
  };
  cr_assert_lt(bytes([](ReplicatedState& x) { ++x.duties[0].counter; }), 20u);
  cr_assert_lt(bytes([](ReplicatedState& x) { x.items[77].body[0] = 'y'; }), 250u);
  cr_assert_eq(bytes([](ReplicatedState&) {}), 0u);
}

// Writes fail or hang at any point, alone or in a row, and power goes at any point: what is
// read back is a value as it once was, and not older than what was said.
Test(disk, any_failure_leaves_some_value_whole_and_not_older_than_said) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    Rnd r(seed);
    FakeDisk disk;
    auto acc = std::make_unique<Acceptor>(Incarnation(1), Ballot(), founding());
    auto w = std::make_unique<VoteWriter<FakeDisk>>(disk, 0);
    std::map<u64, std::pair<std::string, Ballot>> was;  // by seq
    u64 handed = 0, said = 0;
    auto hand = [&](std::vector<StateRow> rows) {
      was[++handed] = {codec::pack(*acc->state()), acc->promised()};
      w->write(acc->head(), std::move(rows), [&, n = handed](bool ok) {
        if (ok) said = std::max(said, n);
      });
    };
    hand(rows_of(*acc->state()));
    while (!disk.in.empty())
      disk.step(false);
    unsigned full = 0;
    for (int i = 0; i < 150; ++i) {
      switch (r() % 6) {
        case 0: {
          PrepareResponse q;
          PrepareRequest p;
          p.ballot = Ballot(acc->promised().v + 1);
          p.incarnation = acc->incarnation();
          hand(acc->prepare(p, q).rows);
          break;
        }
        case 1:
        case 2: {
          AcceptResponse q;
          hand(acc->accept(next_accept(*acc, r), q).rows);
          break;
        }
        default:
          if (disk.in.empty()) break;
          if (full == 0 && r() % 9 == 0) full = 1 + r() % 6;
          disk.step(full > 0);
          full -= full > 0 ? 1 : 0;
      }
      if (r() % 25 != 0) continue;
      disk.in.clear();  // power goes
      ReplicatedState const s = disk.read();
      u64 const seq = disk.head->seq;
      cr_assert(seq >= said, "seed %u: older than what was said", seed);
      cr_assert(codec::pack(s) == was.at(seq).first && disk.head->promised == was.at(seq).second,
                "seed %u: not a value that was", seed);
      acc = std::make_unique<Acceptor>(Incarnation(1), disk.head->promised, s);
      w = std::make_unique<VoteWriter<FakeDisk>>(disk, seq);
      handed = said = seq;
    }
    // A disk that takes writes again holds the newest.
    while (!disk.in.empty())
      disk.step(false);
    hand({});
    while (!disk.in.empty())
      disk.step(false);
    cr_assert(codec::pack(disk.read()) == codec::pack(*acc->state()), "seed %u", seed);
  }
}

// One bit turned over, or the file cut off, at each page of file and log: what is then read is
// what was written last, or nothing is. Never an older vote, never a mix.
Test(disk, a_damaged_file_is_read_whole_or_not_at_all) {
  Dir const d;
  Rnd r(9);
  std::string pack;
  VoteHeader head;
  {
    Member1 m(d.path);
    for (int i = 0; i < 700; ++i)
      cr_assert(m.accept(r));  // more than one checkpoint's worth
    pack = codec::pack(*m.acc.state());
    head = m.acc.head();
  }
  std::map<std::string, std::string> files;
  for (auto const& e : fs::directory_iterator(d.path)) {
    std::ifstream f(e.path(), std::ios::binary);
    files[e.path().filename()] = std::string((std::istreambuf_iterator<char>(f)), {});
  }
  cr_assert(files.count("register.db-wal") == 1);
  std::size_t refused = 0, read = 0;
  auto look = [&](std::string const& name, std::string const& bytes, std::string const& what) {
    Dir const t;
    for (auto const& [n, b] : files)
      std::ofstream(t.path + "/" + n, std::ios::binary) << (n == name ? bytes : b);
    try {
      DiskStore s(t.path);
      StoredState const o = s.load();
      cr_assert(o.head && o.value, "%s: read as empty", what.c_str());
      cr_assert(
          codec::pack(*o.value) == pack && o.head->promised == head.promised && o.head->incarnation == head.incarnation,
          "%s: not what was said", what.c_str());
      ++read;
    } catch (StorageCorruption const&) {
      ++refused;
    } catch (SettingsError const&) {
      ++refused;  // the layout's number itself: read as a newer one
    }
  };
  look("", "", "untouched");
  cr_assert_eq(read, 1u);
  for (auto const& [name, bytes] : files) {
    if (name == "register.mark") continue;
    std::size_t const step = std::max<std::size_t>(4096, bytes.size() / 60 / 4096 * 4096);
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      if (at > 0) look(name, bytes.substr(0, at), name + " cut off at " + std::to_string(at));
      for (std::size_t const in : {std::size_t(at == 0 ? 16 : 0), std::size_t(5), std::size_t(r() % 4096)}) {
        if (at + in >= bytes.size()) continue;
        std::string b = bytes;
        b[at + in] = static_cast<char>(b[at + in] ^ (1 << r() % 8));
        look(name, b, name + " flipped at " + std::to_string(at + in));
      }
    }
  }
  cr_assert_gt(refused, 50u);
}

// The disk is full at any write, torn where it ends: the vote isn't said, and once there is room
// again the next one covers what was refused.
Test(disk, a_full_disk_refuses_votes_and_the_next_covers_them) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  ::getrlimit(RLIMIT_FSIZE, &old);
  for (unsigned k = 0; k < 24; ++k) {
    Dir const d;
    Rnd r(k);
    std::string pack;
    {
      Member1 m(d.path);
      for (int i = 0; i < 10; ++i)
        cr_assert(m.accept(r));
      rlimit tight = old;
      tight.rlim_cur = fs::file_size(d.path + "/register.db-wal") + k * 700;
      ::setrlimit(RLIMIT_FSIZE, &tight);
      int refused = 0;
      for (int i = 0; i < 12; ++i)
        refused += m.accept(r) ? 0 : 1;
      cr_assert_gt(refused, 0);
      if (k % 2 == 0) {
        ::setrlimit(RLIMIT_FSIZE, &old);
        cr_assert(m.accept(r));
        pack = codec::pack(*m.acc.state());
      }
    }
    ::setrlimit(RLIMIT_FSIZE, &old);
    DiskStore s(d.path);
    StoredState const o = s.load();
    cr_assert(o.value.has_value());
    if (k % 2 == 0) cr_assert(codec::pack(*o.value) == pack);
  }
}

// An unreadable file is put aside for good, and even a first start's settings found nothing anew.
Test(disk, after_an_unreadable_file_nothing_is_founded) {
  Dir const d;
  {
    Member1 m(d.path);
    Rnd r(2);
    for (int i = 0; i < 700; ++i)
      m.accept(r);  // so that the file itself has its first page
  }
  std::ofstream(d.path + "/register.db", std::ios::in | std::ios::out | std::ios::binary) << "torn";
  bool refused = false;
  try {
    DiskStore s(d.path);
    s.load();
  } catch (StorageCorruption const&) {
    refused = true;
  }
  cr_assert(refused);
  DiskStore::set_aside(d.path);
  cr_assert_not(fs::exists(d.path + "/register.db-wal"));
  for (int i = 0; i < 2; ++i) {  // also after a loss of power before the new life was written
    DiskStore s(d.path);
    StoredState const o = s.load();
    cr_assert_not(o.head.has_value());
    cr_assert_not(o.fresh);
  }
  fs::remove(d.path + "/register.db");
  fs::remove(d.path + "/register.db.unreadable");
  cr_assert_not(DiskStore(d.path).load().fresh, "the mark says that there was a vote");
}

// Rows that SQLite itself finds nothing wrong with.
Test(disk, a_row_changed_behind_our_back_is_seen_on_opening) {
  for (char const* sql : {"UPDATE meta SET v=CAST(substr(v,1,11)||x'7f'||substr(v,13) AS BLOB) WHERE k='head'",
                          "UPDATE claim SET holder=holder+1", "UPDATE value SET v=x'00' WHERE k LIKE 'm/%'",
                          "DELETE FROM value WHERE k LIKE 'm/%'", "DELETE FROM meta WHERE k='head'"}) {
    Dir const d;
    {
      Member1 m(d.path);
      Rnd r(3);
      for (int i = 0; i < 5; ++i)
        cr_assert(m.accept(r));
    }
    sqlite3* h = nullptr;
    sqlite3_open((d.path + "/register.db").c_str(), &h);
    cr_assert_eq(sqlite3_exec(h, sql, nullptr, nullptr, nullptr), SQLITE_OK, "%s", sql);
    cr_assert_gt(sqlite3_changes(h), 0, "%s", sql);
    sqlite3_close(h);
    bool refused = false;
    try {
      DiskStore(d.path).load();
    } catch (StorageCorruption const&) {
      refused = true;
    }
    cr_assert(refused, "%s", sql);
  }
}

// Votes are handed in before the one they rest on is known to have failed.
Test(disk, a_vote_on_top_of_a_refused_one_is_left_out) {
  Dir const d;
  Member1 m(d.path);
  Rnd r(4);
  cr_assert(m.accept(r));
  VoteWrite v;
  v.head = m.acc.head();
  v.rows = {StateRow{"i/x", "y", false}};
  v.base = 3;  // never written
  v.head.seq = 4;
  DiskStore::Write a, b;
  a.vote = v;
  b.ops.push_back(DiskStore::put_meta("sites", "s"));
  m.store->commit({&a, &b});
  cr_assert_not(a.ok);
  cr_assert(b.ok);
  StoredState const o = m.store->load();
  cr_assert(codec::pack(*o.value) == codec::pack(*m.acc.state()));
  cr_assert_str_eq(o.sites.c_str(), "s");
}

// What the layout before this one kept whole is rows after one start, and is the same.
Test(disk, the_layout_before_is_taken_over) {
  Dir const d;
  Rnd r(8);
  ReplicatedState s = founding();
  for (int i = 0; i < 50; ++i)
    change(s, r);
  s.ballot = Ballot(77);
  std::string const state = codec::pack(s);
  sqlite3* h = nullptr;
  sqlite3_open((d.path + "/register.db").c_str(), &h);
  char const* const sql =
      "PRAGMA journal_mode=WAL;CREATE TABLE meta(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID;"
      "CREATE TABLE claim(k TEXT PRIMARY KEY, holder INTEGER, sealed INTEGER) WITHOUT ROWID;"
      "CREATE TABLE server(k TEXT PRIMARY KEY, v BLOB) WITHOUT ROWID;CREATE TABLE ret(k TEXT PRIMARY KEY, v BLOB) "
      "WITHOUT ROWID;"
      "INSERT INTO meta VALUES('life','5'),('promised','80'),('whole','1');INSERT INTO claim "
      "VALUES('a',9,1),('b',8,0);";
  cr_assert_eq(sqlite3_exec(h, sql, nullptr, nullptr, nullptr), SQLITE_OK);
  sqlite3_stmt* q = nullptr;
  sqlite3_prepare_v2(h, "INSERT INTO meta VALUES('state',?)", -1, &q, nullptr);
  sqlite3_bind_blob(q, 1, state.data(), static_cast<int>(state.size()), SQLITE_STATIC);
  cr_assert_eq(sqlite3_step(q), SQLITE_DONE);
  sqlite3_finalize(q);
  sqlite3_close(h);
  for (int i = 0; i < 2; ++i) {
    DiskStore x(d.path);
    StoredState const o = x.load();
    cr_assert(o.head && o.head->incarnation == Incarnation(5) && o.head->promised == Ballot(80));
    cr_assert(codec::pack(*o.value) == state);
    cr_assert(o.keys_filled == 1 && o.keys.size() == 2 && o.keys[0].sealed && o.keys[0].holder == 9 &&
              !o.keys[1].sealed);
  }
}

Test(disk, a_newer_layout_is_refused_and_left_as_it_is) {
  Dir const d;
  {
    Member1 m(d.path);
    Rnd r(2);
    for (int i = 0; i < 700; ++i)
      m.accept(r);  // so that the file itself has its first page
  }
  std::fstream f(d.path + "/register.db", std::ios::in | std::ios::out | std::ios::binary);
  f.seekp(63);
  f.put(3);
  f.close();
  auto bytes = [&] {
    std::map<std::string, std::string> m;
    for (auto const& e : fs::directory_iterator(d.path)) {
      std::ifstream x(e.path(), std::ios::binary);
      m[e.path().filename()] = std::string((std::istreambuf_iterator<char>(x)), {});
    }
    return m;
  };
  auto const was = bytes();
  bool refused = false;
  try {
    DiskStore s(d.path);
  } catch (SettingsError const& e) {
    refused = std::string(e.what()).find("layout 3") != std::string::npos;
  }
  cr_assert(refused);
  cr_assert(was == bytes());
}
