#include "controller/idempotency_service.hpp"

namespace dockbend {

IdempotencyService::IdempotencyService(ControllerContext& h, u64 filled)
    : context_(h), ledger_(false), copying_(filled) {
  fit(context_.acceptor->state());
}

void IdempotencyService::rebuild(Seconds now) {
  if (ledger_.is_complete() || !context_.committed || now < rebuild_at_) return;
  Member const* me = context_.committed->member(context_.settings.ip);
  if (me == nullptr || me->incarnation != context_.acceptor->incarnation()) return;
  rebuild_at_ = now + 0.7;
  KeyCopyRequest q;
  q.epoch = context_.committed->epoch;
  for (Member const& m : context_.committed->membership)
    if (m.ip != context_.settings.ip && copying_.needs_copy_from(m.ip) && context_.controller(m.ip).link)
      context_.controller(m.ip).link->send(MessageType::key_copy_request, 0, q);
}

void IdempotencyService::rebuilt(std::string const& ip, KeyCopyResponse const& r) {
  if (filling_ || !context_.committed) return;
  ReplicatedState const& st = *context_.committed;
  Member const* m = st.member(ip);
  if (r.ok && r.epoch < st.epoch) context_.unmatched.drop(UnmatchedReason::epoch);  // asked in an earlier epoch
  KeyBackfill::Progress const got = copying_.on_response(
      ip, r, {m == nullptr ? std::nullopt : std::optional<Incarnation>(m->incarnation), st.epoch, st.majority()},
      ledger_, steady_now());
  LOG4CPLUS_INFO(logger_, "Keys of " << ip << ": an answer with " << r.keys.size() << " keys, "
                                     << got.keys_to_store.size() << " of them taken in.");
  std::vector<StoreOperation> ops;
  for (HeldKey const& k : got.keys_to_store)
    ops.push_back(StoreOperation::put_key(k.key, k.holder, true));
  if (got.has_majority) {
    u64 const in = since_in(st);
    ops.push_back(StoreOperation::put_meta("whole", DiskStore::complete_keys_word(in)));
    filling_ = true;
    context_.disk->submit(std::move(ops), [this, in](bool ok) {
      filling_ = false;
      if (!ok) {
        copying_.restart();
        return;
      }
      copying_.set_completed(in);
      fit(context_.acceptor->state());
      if (!ledger_.is_complete()) return;  // no longer a member
      on_whole.emit();
      LOG4CPLUS_INFO(logger_, "Keys are whole, " << ledger_.size() << " of them.");
    });
  } else if (!ops.empty()) {
    context_.disk->submit(std::move(ops), [this](bool ok) {
      if (!ok) copying_.restart();
    });
  }
}

void IdempotencyService::claim(ConnectionPtr const& ch, u32 tag, ClaimRequest const& c) {
  ClaimResponse r;
  r.incarnation = context_.acceptor->incarnation();
  if (c.incarnation != r.incarnation) return context_.unmatched.drop(UnmatchedReason::disk_life);
  if (!context_.is_incarnation_durable) return;
  Epoch const mine = context_.acceptor->state() ? context_.acceptor->state()->epoch : Epoch(~0ULL);
  if (mine != fit_at_) fit(context_.acceptor->state());
  u64 const late = ledger_.claims_after_release();
  if (ledger_.claim(c, mine, steady_now(), r) != ClaimVote::granted) {
    context_.unmatched.drop(UnmatchedReason::late_claim, ledger_.claims_after_release() - late);
    ch->send(MessageType::claim_response, tag, r);
    return;
  }
  std::weak_ptr<Connection> const w = ch;
  context_.disk->submit({StoreOperation::put_key(c.key, c.holder, false)},
                        [this, w, tag, r, key = c.key, holder = c.holder](bool ok) {
                          if (!ledger_.confirm_durable(key, holder, ok)) return;
                          if (auto const cp = w.lock()) cp->send(MessageType::claim_response, tag, r);
                        });
}

void IdempotencyService::store(std::string_view body, bool relay) {
  StoredAnswer const r = codec::unpack<StoredAnswer>(body);
  if (r.body.size() > 64 * 1024) return;
  context_.disk->submit_lazily({StoreOperation::put_answer(r.key, std::string(body))});
  Seconds const now = steady_now();
  ret_order_.push_back({r.key, now, body.size()});
  ret_bytes_ += body.size();
  std::vector<StoreOperation> old;
  // Votes are needed for safety, stored answers are not: answers are deleted long before the disk is full.
  double const most = (context_.settings.diskMb > 0 ? context_.settings.diskMb : 256) * 0.3e6;
  while (!ret_order_.empty() && (now - ret_order_.front().at > context_.settings.bounds.keyHorizonS * 1.25 + 5 ||
                                 static_cast<double>(ret_bytes_) > most)) {
    old.push_back(StoreOperation::delete_answer(ret_order_.front().key));
    ret_bytes_ -= ret_order_.front().bytes;
    ret_order_.pop_front();
  }
  if (!old.empty()) context_.disk->submit_lazily(std::move(old));
  if (!relay || !context_.committed) return;
  Member const* best = nullptr;
  for (Member const& m : context_.committed->membership) {
    if (m.ip == context_.settings.ip || !context_.peers.is_up(m.ip)) continue;
    if (!r.homes.empty() && std::find(r.homes.begin(), r.homes.end(), m.region) == r.homes.end()) continue;
    if (best == nullptr || (m.region == context_.settings.region && best->region != context_.settings.region))
      best = &m;
  }
  if (best != nullptr) context_.controllers[best->ip].link->ch()->send(MessageType::store_answer, 0, body);
}

void IdempotencyService::load(std::vector<StoredKey> const& keys, std::vector<StoredAnswerSize> const& rets) {
  Seconds const now = steady_now();
  for (StoredKey const& k : keys)
    ledger_.load(k.key, k.holder, k.sealed, now);
  for (auto const& [k, n] : rets) {
    ret_order_.push_back({k, now, n});
    ret_bytes_ += n;
  }
}

void IdempotencyService::release(ReleaseRequest const& r) {
  if (!ledger_.release(r)) return;
  context_.disk->submit_lazily({StoreOperation::delete_key(r.key)});
}

void IdempotencyService::fetch(ConnectionPtr const& ch, u32 tag, FetchAnswerRequest const& f) {
  std::weak_ptr<Connection> const w = ch;
  context_.disk->find_answer(f.key, [w, tag](std::string const& v) {
    FetchAnswerResponse r;
    r.found = !v.empty();
    r.stored_answer = v;
    if (auto const c = w.lock()) c->send(MessageType::fetch_answer_response, tag, r);
  });
}

KeyCopyResponse IdempotencyService::copy_for(KeyCopyRequest const& q) {
  if (context_.acceptor->state() && context_.acceptor->state()->epoch != fit_at_) fit(context_.acceptor->state());
  std::optional<ReplicatedState> const& st = context_.acceptor->state();
  if (ledger_.is_complete()) LOG4CPLUS_INFO(logger_, "Keys for another disk: " << ledger_.size() << " are sent.");
  return KeyBackfill::answer_request(ledger_, context_.acceptor->incarnation(),
                                     st ? std::optional<Epoch>(st->epoch) : std::nullopt, q);
}

void IdempotencyService::roster_changed() {
  copying_.restart();
  fit(context_.acceptor->state());
}

bool IdempotencyService::hand_on(std::string const& ip) {
  if (handing_ != ip) {
    handing_ = ip;
    hand_ix_ = ret_order_.size();
  }
  for (int i = 0; i < 100 && hand_ix_ > 0; ++i) {
    Kept const& k = ret_order_[--hand_ix_];
    context_.disk->find_answer(k.key, [this, ip](std::string const& v) {
      auto const it = context_.controllers.find(ip);
      if (!v.empty() && it != context_.controllers.end() && it->second.link && it->second.link->up())
        it->second.link->ch()->send(MessageType::store_answer, 0, std::string_view(v));
    });
  }
  return hand_ix_ == 0;
}

void IdempotencyService::forget_old(Seconds now) {
  auto const old = ledger_.forget_older_than(context_.settings.bounds.keyHorizonS * 1.25 + 5, now, 200);
  if (old.empty()) return;
  std::vector<StoreOperation> ops;
  for (std::string const& k : old)
    ops.push_back(StoreOperation::delete_key(k));
  context_.disk->submit_lazily(std::move(ops));
}

KeyTable const& IdempotencyService::ledger() const {
  return ledger_;
}

u64 IdempotencyService::since_in(ReplicatedState const& s) const {
  Member const* m = s.member(context_.settings.ip);
  return KeyBackfill::membership_id(m == nullptr || m->incarnation != context_.acceptor->incarnation()
                                        ? std::nullopt
                                        : std::optional<Epoch>(m->since));
}

void IdempotencyService::fit(std::optional<ReplicatedState> const& s) {
  if (!s) return;
  fit_at_ = s->epoch;
  copying_.update_completeness(since_in(*s), ledger_);
}

}  // namespace dockbend
