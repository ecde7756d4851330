#include "idempotency/key_backfill.hpp"

namespace dockbend {

RebuildR Filling::answer(Ledger const& l, Life mine, std::optional<Epoch> epoch, Rebuild const& q) {
  RebuildR r;
  r.life = mine;
  r.ok = l.whole() && epoch && *epoch >= q.epoch;
  if (!r.ok) return r;
  r.epoch = *epoch;
  r.keys = l.all();
  return r;
}

Filling::Step Filling::hear(std::string const& ip, RebuildR const& r, std::optional<Life> named, Epoch epoch,
                            std::size_t majority, Ledger& l, Secs now) {
  Step s;
  // An answer to what we asked under an earlier roster may lack what was won since.
  if (l.whole() || !r.ok || named != r.life || r.epoch < epoch || !heard_.insert(ip).second) return s;
  for (HeldKey const& k : r.keys) {
    HeldKey h = k;
    h.holder = l.seal(k.key, k.holder, now);
    s.put.push_back(std::move(h));
  }
  s.enough = heard_.size() >= majority;
  return s;
}

}  // namespace dockbend
