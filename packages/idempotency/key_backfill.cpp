#include "idempotency/key_backfill.hpp"

#include <utility>

namespace dockbend {

KeyCopyResponse KeyBackfill::answer_request(KeyTable const& table, Incarnation incarnation, std::optional<Epoch> epoch,
                                            KeyCopyRequest const& request) {
  KeyCopyResponse response;
  response.incarnation = incarnation;
  response.ok = table.is_complete() && epoch && *epoch >= request.epoch;
  if (!response.ok) return response;
  response.epoch = *epoch;
  response.keys = table.all_keys();
  return response;
}

KeyBackfill::Progress KeyBackfill::on_response(std::string const& ip, KeyCopyResponse const& response,
                                               Source const& source, KeyTable& table, Seconds now) {
  Progress progress;
  if (table.is_complete() || !response.ok) return progress;
  if (source.incarnation != response.incarnation || response.epoch < source.epoch) return progress;
  if (!copied_from_.insert(ip).second) return progress;
  for (HeldKey const& key : response.keys) {
    HeldKey sealed = key;
    sealed.holder = table.seal(key.key, key.holder, now);
    progress.keys_to_store.push_back(std::move(sealed));
  }
  progress.has_majority = copied_from_.size() >= source.majority;
  return progress;
}

}  // namespace dockbend
