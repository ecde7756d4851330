#include "idempotency/key_backfill.hpp"

namespace dockbend {

KeyCopyResponse KeyBackfill::answer(KeyTable const& l, Incarnation mine, std::optional<Epoch> epoch,
                                    KeyCopyRequest const& q) {
  KeyCopyResponse r;
  r.incarnation = mine;
  r.ok = l.whole() && epoch && *epoch >= q.epoch;
  if (!r.ok) return r;
  r.epoch = *epoch;
  r.keys = l.all();
  return r;
}

KeyBackfill::Progress KeyBackfill::hear(std::string const& ip, KeyCopyResponse const& r,
                                        std::optional<Incarnation> named, Epoch epoch, std::size_t majority,
                                        KeyTable& l, Seconds now) {
  Progress s;
  // An answer to what we asked under an earlier roster may lack what was won since.
  if (l.whole() || !r.ok || named != r.incarnation || r.epoch < epoch || !heard_.insert(ip).second) return s;
  for (HeldKey const& k : r.keys) {
    HeldKey h = k;
    h.holder = l.seal(k.key, k.holder, now);
    s.put.push_back(std::move(h));
  }
  s.enough = heard_.size() >= majority;
  return s;
}

}  // namespace dockbend
