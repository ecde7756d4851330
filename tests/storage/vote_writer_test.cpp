/// The value as rows, and votes written in order on a disk that fails.
#include <criterion/criterion.h>

#include <deque>

#include "consensus/vote_writer.hpp"
#include "support/random_changes.hpp"

using namespace dockbend;
using namespace dockbend::test;

namespace {
/// A disk in memory: takes votes in order, fails on demand, and loses what waits when power goes.
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
    return value_from_rows(*head, v);
  }
};
}  // namespace

// What a change writes turns the rows of the old value into those of the new one, with their checksum; read back, they
// are that value, in the same order.
Test(vote_writer, changed_rows_make_the_new_value) {
  Rnd r(5);
  for (int day = 0; day < 20; ++day) {
    Acceptor a(Incarnation(1), Ballot(), founding());
    auto rows = table(rows_of(*a.state()));
    for (int i = 0; i < 60; ++i) {
      AcceptResponse q;
      Acceptor::PendingWrite const s = a.accept(next_accept(a, r), q);
      cr_assert(q.is_accepted);
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
      cr_assert(codec::pack(value_from_rows(a.vote_header(), v)) == codec::pack(*a.state()));
    }
  }
}

Test(vote_writer, a_row_that_is_missing_changed_or_too_many_is_no_value) {
  Rnd r(6);
  Acceptor a(Incarnation(1), Ballot(), founding());
  for (int i = 0; i < 80; ++i) {
    AcceptResponse q;
    a.accept(next_accept(a, r), q);
  }
  auto const rows = rows_of(*a.state());
  auto is_a_value = [&](std::vector<StateRow> const& v) {
    try {
      value_from_rows(a.vote_header(), v);
      return true;
    } catch (codec::MalformedMessage const&) {
      return false;
    }
  };
  cr_assert(is_a_value(rows));
  std::string const head = sealed(codec::pack(a.vote_header()));
  cr_assert(unsealed(head).has_value());
  for (std::size_t i = 0; i < head.size() * 8; ++i) {
    std::string b = head;
    b[i / 8] = static_cast<char>(b[i / 8] ^ (1 << i % 8));
    cr_assert_not(unsealed(b).has_value());
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    auto v = rows;
    v.erase(v.begin() + static_cast<long>(i));
    cr_assert_not(is_a_value(v));
    v = rows;
    v[i].key.back() ^= 4;
    cr_assert_not(is_a_value(v));
    if (!rows[i].body.empty()) {
      v = rows;
      v[i].body[r() % v[i].body.size()] ^= static_cast<char>(1 << r() % 7);
      cr_assert_not(is_a_value(v));
    }
    v = rows;
    v.push_back(rows[i]);
    cr_assert_not(is_a_value(v));
  }
}

// Renewing a lease writes its counter and the header, whatever the size of the value.
Test(vote_writer, a_change_writes_its_own_size) {
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
    cr_assert(r.is_accepted);
    return n;
  };
  cr_assert_lt(bytes([](ReplicatedState& x) { ++x.duties[0].counter; }), 20u);
  cr_assert_lt(bytes([](ReplicatedState& x) { x.items[77].body[0] = 'y'; }), 250u);
  cr_assert_eq(bytes([](ReplicatedState&) {}), 0u);
}

// Writes fail or wait at any point, alone or in a row, and power is lost at any point: what is read back is a value as
// it once was, and not older than what was acknowledged.
Test(vote_writer, any_failure_leaves_a_complete_value_not_older_than_acknowledged) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    Rnd r(seed);
    FakeDisk disk;
    auto acc = std::make_unique<Acceptor>(Incarnation(1), Ballot(), founding());
    auto w = std::make_unique<VoteWriter<FakeDisk>>(disk, 0);
    std::map<u64, std::pair<std::string, Ballot>> was;  // by seq
    u64 handed = 0, said = 0;
    auto hand = [&](std::vector<StateRow> rows) {
      was[++handed] = {codec::pack(*acc->state()), acc->promised()};
      w->write(acc->vote_header(), std::move(rows), [&, n = handed](bool ok) {
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
      cr_assert(seq >= said, "seed %u: older than what was acknowledged", seed);
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
