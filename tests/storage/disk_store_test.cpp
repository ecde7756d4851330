/// A real file that is damaged, cut off or full.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "settings/settings.hpp"
#include "storage/disk_store.hpp"
#include "support/random_changes.hpp"
#include "support/temporary_directory.hpp"

using namespace dockbend;
using namespace dockbend::test;
namespace fs = std::filesystem;

namespace {
int syncs = 0;  // of this process
}  // namespace

// SQLite calls these in place of the system's, which they call in turn.
extern "C" int fdatasync(int file) {
  ++syncs;
  return static_cast<int>(syscall(SYS_fdatasync, file));
}
extern "C" int fsync(int file) {
  ++syncs;
  return static_cast<int>(syscall(SYS_fsync, file));
}

namespace {
/// An acceptor with a store that writes each vote at once.
struct VotingDisk {
  std::unique_ptr<DiskStore> store;
  Acceptor acceptor{Incarnation(1), Ballot(), founding()};
  bool is_acknowledged = false;
  struct Sync {
    DiskStore& s;
    std::vector<StoreOperation> ops;
    void write_vote(VoteWrite w, std::function<void(bool)> done) {
      DiskStore::Write x;
      x.vote = std::move(w);
      x.operations = std::move(ops);
      ops.clear();
      s.commit({&x});
      done(x.is_written);
    }
  } sync;
  VoteWriter<Sync> writer;
  explicit VotingDisk(std::string const& dir)
      : store(std::make_unique<DiskStore>(dir)), sync{*store, {}}, writer(sync, 0) {
    cr_assert(store->load().is_fresh);
    write(rows_of(*acceptor.state()));
  }
  void write(std::vector<StateRow> rows) {
    writer.write(acceptor.vote_header(), std::move(rows), [this](bool ok) { is_acknowledged = ok; });
  }
  bool accept(Rnd& random) {
    AcceptResponse a;
    Acceptor::PendingWrite s = acceptor.accept(next_accept(acceptor, random), a);
    cr_assert(s.is_needed);
    std::string const key = "key-" + std::to_string(random() % 200);
    sync.ops.push_back(StoreOperation::put_key(key, random(), false));
    write(std::move(s.rows));
    return is_acknowledged;
  }
};
}  // namespace

// One flipped bit, or the file cut off, at each page of file and log: what is then read is what was written last, or
// nothing is. Never an older vote, never a mix.
Test(disk, a_damaged_file_is_read_completely_or_not_at_all) {
  TemporaryDirectory const directory;
  Rnd random(9);
  std::string pack;
  VoteHeader head;
  {
    VotingDisk disk(directory.path);
    for (int i = 0; i < 700; ++i)
      cr_assert(disk.accept(random));  // more than one checkpoint's worth
    pack = codec::pack(*disk.acceptor.state());
    head = disk.acceptor.vote_header();
  }
  std::map<std::string, std::string> files;
  for (auto const& e : fs::directory_iterator(directory.path)) {
    std::ifstream f(e.path(), std::ios::binary);
    files[e.path().filename()] = std::string((std::istreambuf_iterator<char>(f)), {});
  }
  cr_assert(files.count("register.db-wal") == 1);
  std::size_t refused = 0, read = 0;
  auto look = [&](std::string const& name, std::string const& bytes, std::string const& what) {
    TemporaryDirectory const copy;
    for (auto const& [n, b] : files)
      std::ofstream(copy.path + "/" + n, std::ios::binary) << (n == name ? bytes : b);
    try {
      DiskStore s(copy.path);
      StoredState const stored = s.load();
      cr_assert(stored.head && stored.value, "%s: read as empty", what.c_str());
      cr_assert(codec::pack(*stored.value) == pack && stored.head->promised == head.promised &&
                    stored.head->incarnation == head.incarnation,
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
      for (std::size_t const in : {std::size_t(at == 0 ? 16 : 0), std::size_t(5), std::size_t(random() % 4096)}) {
        if (at + in >= bytes.size()) continue;
        std::string b = bytes;
        b[at + in] = static_cast<char>(b[at + in] ^ (1 << random() % 8));
        look(name, b, name + " flipped at " + std::to_string(at + in));
      }
    }
  }
  cr_assert_gt(refused, 50u);
}

// The disk is full at any write, which is cut off there: the vote is not acknowledged, and once there is space again
// the next one includes what was refused.
Test(disk, a_full_disk_refuses_votes_and_the_next_one_includes_them) {
  ::signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  ::getrlimit(RLIMIT_FSIZE, &old);
  for (unsigned k = 0; k < 24; ++k) {
    TemporaryDirectory const directory;
    Rnd random(k);
    std::string pack;
    {
      VotingDisk disk(directory.path);
      for (int i = 0; i < 10; ++i)
        cr_assert(disk.accept(random));
      rlimit tight = old;
      tight.rlim_cur = fs::file_size(directory.path + "/register.db-wal") + k * 700;
      ::setrlimit(RLIMIT_FSIZE, &tight);
      int refused = 0;
      for (int i = 0; i < 12; ++i)
        refused += disk.accept(random) ? 0 : 1;
      cr_assert_gt(refused, 0);
      if (k % 2 == 0) {
        ::setrlimit(RLIMIT_FSIZE, &old);
        cr_assert(disk.accept(random));
        pack = codec::pack(*disk.acceptor.state());
      }
    }
    ::setrlimit(RLIMIT_FSIZE, &old);
    DiskStore s(directory.path);
    StoredState const stored = s.load();
    cr_assert(stored.value.has_value());
    if (k % 2 == 0) cr_assert(codec::pack(*stored.value) == pack);
  }
}

// An unreadable file is set aside for good, and even settings for a first start do not found the group again.
Test(disk, after_an_unreadable_file_no_start_is_a_first_one) {
  TemporaryDirectory const directory;
  {
    VotingDisk disk(directory.path);
    Rnd random(2);
    for (int i = 0; i < 700; ++i)
      disk.accept(random);  // so that the file itself has its first page
  }
  std::ofstream(directory.path + "/register.db", std::ios::in | std::ios::out | std::ios::binary) << "torn";
  bool refused = false;
  try {
    DiskStore s(directory.path);
    s.load();
  } catch (StorageCorruption const&) {
    refused = true;
  }
  cr_assert(refused);
  DiskStore::set_aside(directory.path);
  cr_assert_not(fs::exists(directory.path + "/register.db-wal"));
  for (int i = 0; i < 2; ++i) {  // also after a power loss before the new incarnation was written
    DiskStore s(directory.path);
    StoredState const stored = s.load();
    cr_assert_not(stored.head.has_value());
    cr_assert_not(stored.is_fresh);
  }
  fs::remove(directory.path + "/register.db");
  fs::remove(directory.path + "/register.db.unreadable");
  cr_assert_not(DiskStore(directory.path).load().is_fresh, "the mark says that there was a vote");
}

// Damage that SQLite itself does not see.
Test(disk, a_row_changed_behind_our_back_is_seen_on_opening) {
  for (char const* sql : {"UPDATE meta SET v=CAST(substr(v,1,11)||x'7f'||substr(v,13) AS BLOB) WHERE k='head'",
                          "UPDATE claim SET holder=holder+1", "UPDATE value SET v=x'00' WHERE k LIKE 'm/%'",
                          "DELETE FROM value WHERE k LIKE 'm/%'", "DELETE FROM meta WHERE k='head'"}) {
    TemporaryDirectory const directory;
    {
      VotingDisk disk(directory.path);
      Rnd random(3);
      for (int i = 0; i < 5; ++i)
        cr_assert(disk.accept(random));
    }
    sqlite3* h = nullptr;
    sqlite3_open((directory.path + "/register.db").c_str(), &h);
    cr_assert_eq(sqlite3_exec(h, sql, nullptr, nullptr, nullptr), SQLITE_OK, "%s", sql);
    cr_assert_gt(sqlite3_changes(h), 0, "%s", sql);
    sqlite3_close(h);
    bool refused = false;
    try {
      DiskStore(directory.path).load();
    } catch (StorageCorruption const&) {
      refused = true;
    }
    cr_assert(refused, "%s", sql);
  }
}

// Votes are submitted before their base is known to have failed.
Test(disk, a_vote_on_top_of_a_refused_one_is_left_out) {
  TemporaryDirectory const directory;
  VotingDisk disk(directory.path);
  Rnd random(4);
  cr_assert(disk.accept(random));
  VoteWrite v;
  v.head = disk.acceptor.vote_header();
  v.rows = {StateRow{"i/x", "y", false}};
  v.base = 3;  // never written
  v.head.seq = 4;
  DiskStore::Write a, b;
  a.vote = v;
  b.operations.push_back(StoreOperation::put_meta("sites", "s"));
  disk.store->commit({&a, &b});
  cr_assert_not(a.is_written);
  cr_assert(b.is_written);
  StoredState const stored = disk.store->load();
  cr_assert(codec::pack(*stored.value) == codec::pack(*disk.acceptor.state()));
  cr_assert_str_eq(stored.sites.c_str(), "s");
}

// Layout 1 kept the value in one row; after one start it is the same value in rows.
Test(disk, layout_1_is_migrated) {
  TemporaryDirectory const directory;
  Rnd random(8);
  ReplicatedState s = founding();
  for (int i = 0; i < 50; ++i)
    change(s, random);
  s.ballot = Ballot(77);
  std::string const state = codec::pack(s);
  sqlite3* h = nullptr;
  sqlite3_open((directory.path + "/register.db").c_str(), &h);
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
    DiskStore x(directory.path);
    StoredState const stored = x.load();
    cr_assert(stored.head && stored.head->incarnation == Incarnation(5) && stored.head->promised == Ballot(80));
    cr_assert(codec::pack(*stored.value) == state);
    cr_assert(stored.keys_filled == 1 && stored.keys.size() == 2 && stored.keys[0].sealed &&
              stored.keys[0].holder == 9 && !stored.keys[1].sealed);
  }
}

Test(disk, a_newer_layout_is_refused_and_left_as_it_is) {
  TemporaryDirectory const directory;
  {
    VotingDisk disk(directory.path);
    Rnd random(2);
    for (int i = 0; i < 700; ++i)
      disk.accept(random);  // so that the file itself has its first page
  }
  std::fstream f(directory.path + "/register.db", std::ios::in | std::ios::out | std::ios::binary);
  f.seekp(63);
  f.put(DiskStore::kLayout + 1);
  f.close();
  auto bytes = [&] {
    std::map<std::string, std::string> m;
    for (auto const& e : fs::directory_iterator(directory.path)) {
      std::ifstream x(e.path(), std::ios::binary);
      m[e.path().filename()] = std::string((std::istreambuf_iterator<char>(x)), {});
    }
    return m;
  };
  auto const was = bytes();
  bool refused = false;
  try {
    DiskStore s(directory.path);
  } catch (SettingsError const& e) {
    refused = std::string(e.what()).find("layout " + std::to_string(DiskStore::kLayout + 1)) != std::string::npos;
  }
  cr_assert(refused);
  cr_assert(was == bytes());
}

// What is reported as written survives a loss of power only if it was synced before.
Test(disk, each_commit_is_synced) {
  TemporaryDirectory directory;
  VotingDisk disk(directory.path);
  Rnd random(1);
  for (int i = 0; i < 5; ++i) {
    int const before = syncs;
    cr_assert(disk.accept(random));
    cr_assert_gt(syncs, before);
  }
}

// The answers of one key: one of the release before, whose name states no holder, and those of two holders.
Test(disk, answers_of_a_key_are_found_whoever_holds_it) {
  TemporaryDirectory directory;
  DiskStore store(directory.path);
  DiskStore::Write write;
  for (char const* name : {"k", "k\n10", "k\n20", "k2", "k\t3", "j"})
    write.operations.push_back(StoreOperation::put_answer(name, std::string("answer of ") + name));
  store.commit({&write});
  cr_assert(write.is_written);
  std::vector<std::string> const all{"answer of k", "answer of k\n10", "answer of k\n20"};
  cr_assert(store.answers("k") == all);
  cr_assert_eq(store.answers("k2").size(), 1u);
  cr_assert(store.answers("1").empty());
}
