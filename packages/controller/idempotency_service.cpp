#include "controller/idempotency_service.hpp"

namespace dockbend {
namespace {
int constexpr kAnswersHandedAtOnce = 100;
std::size_t constexpr kAnswersForgottenAtOnce = 200;
double constexpr kDefaultDiskMb = 256, kBytesPerMb = 1e6, kShareOfDiskForAnswers = 0.3;
}  // namespace

IdempotencyService::IdempotencyService(ControllerContext& h, u64 filled)
    : context_(h), ledger_(false), backfill_(filled) {
  fit(context_.acceptor->state());
}

void IdempotencyService::rebuild(Seconds now) {
  if (ledger_.is_complete() || !context_.committed) return;
  Member const* const me = context_.committed->member(context_.settings.ip);
  if (me == nullptr || me->incarnation != context_.acceptor->incarnation()) return;
  ReplicatedState const& state = *context_.committed;
  for (KeyBackfill::Question const& question :
       backfill_.questions_due(copy_candidates(), state.epoch, state.majority(), now))
    context_.controllers[question.ip].link->send(MessageType::key_copy_request, 0, question.request);
}

std::vector<std::string> IdempotencyService::copy_candidates() const {
  std::vector<std::string> near, far;
  for (Member const& member : context_.committed->membership)
    if (member.ip != context_.settings.ip && context_.peers.is_up(member.ip))
      (context_.peers.is_near(member.ip) ? near : far).push_back(member.ip);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

void IdempotencyService::rebuilt(std::string const& ip, KeyCopyResponse const& response) {
  if (is_completing_ || !context_.committed) return;
  ReplicatedState const& state = *context_.committed;
  Member const* const member = state.member(ip);
  if (response.ok && response.epoch < state.epoch)
    context_.unmatched.drop(UnmatchedReason::epoch);  // asked in an earlier epoch
  Seconds const now = steady_now();
  KeyBackfill::Source const source{member == nullptr ? std::nullopt : std::optional<Incarnation>(member->incarnation),
                                   state.epoch, state.majority()};
  KeyBackfill::Progress const progress = backfill_.on_response(ip, response, source, ledger_, now);
  store_copied(progress);
  if (!backfill_.needs_copy_from(ip) && !response.has_more)
    LOG4CPLUS_INFO(logger_, "The keys of " << ip << " are copied, " << ledger_.size() << " in all.");
  if (!progress.has_majority) rebuild(now);
}

void IdempotencyService::store_copied(KeyBackfill::Progress const& progress) {
  std::vector<StoreOperation> operations;
  for (HeldKey const& key : progress.keys_to_store)
    operations.push_back(StoreOperation::put_key(operation_of(key).storage_key(), key.holder, true));
  if (progress.has_majority) return complete_backfill(std::move(operations));
  if (operations.empty()) return;
  context_.disk->submit(std::move(operations), [this](bool is_written) {
    if (!is_written) backfill_.on_write_failed();
  });
}

void IdempotencyService::complete_backfill(std::vector<StoreOperation> operations) {
  u64 const membership = since_in(*context_.committed);
  operations.push_back(StoreOperation::put_meta("whole", DiskStore::complete_keys_word(membership)));
  is_completing_ = true;
  context_.disk->submit(std::move(operations), [this, membership, begun = backfill_.generation()](bool is_written) {
    is_completing_ = false;
    if (!is_written) return backfill_.on_write_failed();
    if (begun != backfill_.generation()) return;  // the membership changed, or an earlier write failed
    backfill_.set_completed(membership);
    fit(context_.acceptor->state());
    if (!ledger_.is_complete()) return;  // no longer a member
    on_whole.emit();
    LOG4CPLUS_INFO(logger_, "Keys are whole, " << ledger_.size() << " of them.");
  });
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
  std::vector<OperationId> const names = ledger_.names_of(operation_of(c), c.client, c.holder);
  std::vector<StoreOperation> operations;
  for (OperationId const& name : names)
    operations.push_back(StoreOperation::put_key(name.storage_key(), c.holder, false));
  context_.disk->submit(std::move(operations), [this, w, tag, r, names, holder = c.holder](bool ok) {
    bool stands = true;
    for (OperationId const& name : names)
      stands = ledger_.confirm_durable(name, holder, ok) && stands;
    if (!stands) return;
    if (auto const cp = w.lock()) cp->send(MessageType::claim_response, tag, r);
  });
}

void IdempotencyService::store(std::string_view body, bool relay) {
  StoredAnswer const r = codec::unpack<StoredAnswer>(body);
  if (r.body.size() > kMostStoredBodyBytes) return;
  Seconds const now = steady_now();
  AnswerId const id{operation_of(r), r.holder};
  ledger_.end_work(id.operation, id.holder);
  context_.disk->submit_lazily({StoreOperation::put_answer(id.storage_key(), std::string(body))});
  answers_.add(id, body.size(), now);
  forget_old_answers(now);
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
    ledger_.load(OperationId::of_storage_key(k.key), k.holder, k.sealed, now);
  for (StoredAnswerSize const& answer : rets)
    answers_.add(AnswerId::of_storage_key(answer.key), answer.bytes, now);
}

void IdempotencyService::release(ReleaseRequest const& r) {
  std::vector<StoreOperation> operations;
  for (OperationId const& name : ledger_.names_of(operation_of(r), r.client, r.holder))
    operations.push_back(StoreOperation::delete_key(name.storage_key()));
  if (ledger_.release(r, steady_now())) context_.disk->submit_lazily(std::move(operations));
}

void IdempotencyService::fetch(ConnectionPtr const& ch, u32 tag, FetchAnswerRequest const& f) {
  std::weak_ptr<Connection> const w = ch;
  OperationId const operation = operation_of(f);
  std::vector<u64> holders = f.holders;
  if (u64 const own = ledger_.holder_of(operation); holders.empty() && own != KeyTable::kNobody) holders.push_back(own);
  context_.disk->find_answers(f.key, [w, tag, operation, holders](std::vector<std::string> const& answers) {
    FetchAnswerResponse r;
    std::string const* const answer = choose_answer(answers, operation, holders);
    r.found = answer != nullptr;
    if (r.found) r.stored_answer = *answer;
    if (auto const c = w.lock()) c->send(MessageType::fetch_answer_response, tag, r);
  });
}

void IdempotencyService::answer_copy_request(Connection& connection, u32 tag, KeyCopyRequest request) {
  std::optional<ReplicatedState> const& state = context_.acceptor->state();
  if (state && state->epoch != fit_at_) fit(state);
  std::optional<Epoch> const epoch = state ? std::optional<Epoch>(state->epoch) : std::nullopt;
  for (u32 page = 0; page == 0 || page < request.pages; ++page) {
    KeyCopyResponse const response =
        KeyBackfill::answer_request(ledger_, context_.acceptor->incarnation(), epoch, request);
    connection.send(MessageType::key_copy_response, tag, response);
    if (!response.has_more) return;
    request.after = response.keys.back().key;
  }
}

void IdempotencyService::roster_changed() {
  backfill_.restart();
  fit(context_.acceptor->state());
}

void IdempotencyService::send_stored(AnswerId const& id, std::string const& ip) {
  std::vector<u64> const holders = id.holder == 0 ? std::vector<u64>() : std::vector<u64>{id.holder};
  context_.disk->find_answers(
      id.operation.text(), [this, ip, operation = id.operation, holders](std::vector<std::string> const& answers) {
        std::string const* const answer = choose_answer(answers, operation, holders);
        auto const it = context_.controllers.find(ip);
        if (answer != nullptr && it != context_.controllers.end() && it->second.link && it->second.link->up())
          it->second.link->ch()->send(MessageType::store_answer, 0, std::string_view(*answer));
      });
}

bool IdempotencyService::hand_on(std::string const& ip) {
  if (handing_ != ip) {
    handing_ = ip;
    handed_down_to_ = answers_.end();
  }
  for (int i = 0; i < kAnswersHandedAtOnce; ++i) {
    auto const next = answers_.newest_before(handed_down_to_);
    if (!next) return true;
    handed_down_to_ = next->first;
    send_stored(next->second, ip);
  }
  return !answers_.newest_before(handed_down_to_);
}

void IdempotencyService::forget_old(Seconds now) {
  forget_old_answers(now);
  auto const old = ledger_.forget_older_than(horizon(), now, 200);
  if (old.empty()) return;
  std::vector<StoreOperation> ops;
  for (OperationId const& operation : old)
    ops.push_back(StoreOperation::delete_key(operation.storage_key()));
  context_.disk->submit_lazily(std::move(ops));
}

void IdempotencyService::forget_old_answers(Seconds now) {
  // Votes are needed for safety, stored answers are not: answers are deleted long before the disk is full.
  double const disk_mb = context_.settings.diskMb > 0 ? context_.settings.diskMb : kDefaultDiskMb;
  auto const most_bytes = static_cast<std::size_t>(disk_mb * kBytesPerMb * kShareOfDiskForAnswers);
  auto const old = answers_.remove_old(horizon(), most_bytes, now, kAnswersForgottenAtOnce);
  if (old.empty()) return;
  std::vector<StoreOperation> operations;
  for (AnswerId const& id : old)
    operations.push_back(StoreOperation::delete_answer(id.storage_key()));
  context_.disk->submit_lazily(std::move(operations));
}

Seconds IdempotencyService::horizon() const {
  return key_binding_time(context_.settings.bounds.keyHorizonS);
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
  backfill_.update_completeness(since_in(*s), ledger_);
}

}  // namespace dockbend
