#include "controller/consensus_service.hpp"

namespace dockbend {

ConsensusService::ConsensusService(ControllerContext& h)
    : context_(h),
      proposer_(h.settings.ip,
                [this](Ballot have, Ballot ballot) {
                  return accepted() == ballot ? context_.acceptor->changes_since(have) : std::nullopt;
                }),
      patience_((h.settings.linkMbps > 0 ? h.settings.linkMbps : 10) * 1e6 / 8) {}

StoredState ConsensusService::open() {
  std::string const dir = context_.settings.dataDir.empty() ? std::string("/tmp") : context_.settings.dataDir;
  ::mkdir(dir.c_str(), 0755);
  StoredState d;
  try {
    context_.disk = std::make_unique<AsyncStore>(context_.loop, dir);
    d = context_.disk->load();
  } catch (StorageCorruption const& e) {
    LOG4CPLUS_ERROR(logger_, "The register in " << dir << " can't be read whole (" << e.what()
                                                << "); this disk begins a new life.");
    context_.disk.reset();
    DiskStore::set_aside(dir);
    context_.disk = std::make_unique<AsyncStore>(context_.loop, dir);
    d = context_.disk->load();
  }
  bool const seed = std::any_of(context_.settings.seeds.begin(), context_.settings.seeds.end(),
                                [&](Address const& a) { return a.ip == context_.settings.ip; });
  // An empty disk is a new member, unless the system itself begins here.
  bool const founder = d.is_fresh && context_.settings.bootstrap && seed;
  Incarnation const l = d.head ? d.head->incarnation : founder ? Incarnation(1) : Incarnation((random64() >> 2) | 2);
  bool const first = !d.head;
  if (first) d.keys_filled = founder ? 1 : 0;  // a founder is of membership 0
  if (!d.value && d.is_fresh && context_.settings.bootstrap) {
    ReplicatedState f;
    for (Address const& a : context_.settings.seeds) {
      Member m;
      m.ip = a.ip;
      m.incarnation = Incarnation(1);
      m.control = a.port;
      m.whole = true;
      f.membership.push_back(m);
    }
    std::sort(f.membership.begin(), f.membership.end(), [](Member const& a, Member const& b) { return a.ip < b.ip; });
    d.value = f;
  }
  // Only at the very first start is the founding value known to be the newest.
  if (first && d.value) context_.committed = d.value;
  context_.acceptor = std::make_unique<Acceptor>(l, d.head ? d.head->promised : Ballot(), d.value);
  if (d.head) proposer_.observe_ballot(d.head->promised);
  if (!first && d.value) durable_ = d.value->ballot;
  writer_ = std::make_unique<VoteWriter<AsyncStore>>(*context_.disk, d.head ? d.head->seq : 0);
  if (!first) {
    context_.born = true;
    return d;
  }
  if (founder)
    context_.disk->submit_lazily({StoreOperation::put_meta("whole", DiskStore::complete_keys_word(d.keys_filled))});
  std::vector<StateRow> rows;
  if (d.value) rows = rows_of(*d.value);
  vote(std::move(rows), [this](bool ok) {
    if (!ok) on_first_failed.emit();
    context_.born = ok;
  });
  return d;
}

void ConsensusService::show_first() {
  if (!context_.committed) return;
  show(nullptr, *context_.committed);
  on_value.emit(false);
}

Ballot ConsensusService::ballot() const {
  return context_.committed ? context_.committed->ballot : Ballot();
}

Ballot ConsensusService::accepted() const {
  return context_.acceptor->state() ? context_.acceptor->state()->ballot : Ballot();
}

Ballot ConsensusService::durable() const {
  return durable_;
}

bool ConsensusService::quiet() const {
  return calls_.empty() && batch_.empty();
}

std::size_t ConsensusService::tolerated_disk_losses() const {
  std::size_t const members = context_.committed ? context_.committed->membership.size() : 0;
  return members == 0 ? 0 : (members - 1) / 2;
}

void ConsensusService::submit(std::function<bool(ReplicatedState&)> change,
                              std::function<void(ReplicatedState const*)> done, Seconds patience) {
  calls_.push_back(Call{std::move(change), std::move(done), steady_now() + patience});
  pump();
}

void ConsensusService::holds(std::string const& ip, Incarnation incarnation, Ballot acc) {
  PeerController& m = context_.controller(ip);
  m.incarnation = incarnation;
  m.accepted = acc;
  if (!context_.acceptor->state() || accepted() <= ballot()) return;
  ReplicatedState const& s = *context_.acceptor->state();
  auto on_disk = [&](Member const& x) {
    if (x.ip == context_.settings.ip) return durable_ >= s.ballot && x.incarnation == context_.acceptor->incarnation();
    auto const it = context_.controllers.find(x.ip);
    return it != context_.controllers.end() && it->second.incarnation == x.incarnation &&
           it->second.accepted == s.ballot;
  };
  if (s.is_held_by_quorum(on_disk)) learn(ReplicatedState(s));
}

void ConsensusService::reached(std::string const& ip, PeerLink& l) {
  for (auto& o : proposer_.resend_to(ip))
    send_out(o);
  l.send(MessageType::catch_up_request, 0, lacks());
}

void ConsensusService::ahead(PeerController& m, Ballot b, Seconds now) {
  if (b <= ballot()) return;
  if (context_.acceptor->state() && context_.acceptor->state()->ballot == b) {
    learn(*context_.acceptor->state());
  } else if (now - m.pulled > 0.25 && now - piece_at_ > 1.0) {
    m.pulled = now;
    m.link->send(MessageType::catch_up_request, 0, lacks());
  }
}

void ConsensusService::piece(std::string const& ip, StateChunk const& x, Seconds now) {
  if (x.part.ballot <= ballot()) return;
  check_ballot(x.part.ballot);
  ChunkAssembler::Result const t = gather_.take(x);
  if (t.complete) check_value(*t.complete);
  if (t.complete) return learn(*t.complete);
  if (!t.is_used) return;
  piece_at_ = now;
  if (context_.controllers.count(ip) > 0 && context_.controllers[ip].link)
    context_.controllers[ip].link->send(MessageType::catch_up_request, 0, lacks());
}

void ConsensusService::on_prepare_response(std::string const& ip, PrepareResponse const& r) {
  patience_.answered(ip, steady_now());
  outs(proposer_.on_prepare_response(ip, r));
}

void ConsensusService::on_accept_response(std::string const& ip, AcceptResponse const& r) {
  patience_.answered(ip, steady_now());
  outs(proposer_.on_accept_response(ip, r));
}

void ConsensusService::prep(InboundSession& p, u32 tag, PrepareRequest const& q, Seconds now) {
  if (!context_.born) return;
  PrepareResponse r;
  Acceptor::PendingWrite s = context_.acceptor->prepare(q, r);
  if (r.is_promised) give_way(r.ballot, now);
  reply_after(p.ch, MessageType::prepare_response, tag, r, std::move(s));
}

void ConsensusService::acc(InboundSession& p, u32 tag, AcceptRequest const& a) {
  if (!context_.born) return;
  AcceptResponse r;
  Acceptor::PendingWrite s = context_.acceptor->accept(a, r);
  reply_after(p.ch, MessageType::accept_response, tag, r, std::move(s));
}

void ConsensusService::pull(InboundSession& p, CatchUpRequest const& q) {
  if (!context_.committed) return;
  Ballot const have = q.have;
  if (p.hello.role == 2) {
    if (context_.view.ballot > have || context_.view.ballot.v == 0) p.ch->send(lacking(have));
    return;
  }
  if (context_.committed->ballot < q.committed ||
      (context_.committed->ballot == q.committed && context_.committed->ballot.v != 0))
    return;
  CommitNotice c;
  c.ballot = context_.committed->ballot;
  // Who holds this value needs to hear only that it was won.
  if (have != c.ballot || have == Ballot(0)) {
    std::optional<StateDelta> const d = accepted() == c.ballot ? context_.acceptor->changes_since(have) : std::nullopt;
    if (d) {
      c.delta = codec::pack(*d);
    } else {
      auto const since = [&](Ballot b) {
        return accepted() == c.ballot ? context_.acceptor->changes_since(b) : std::nullopt;
      };
      RowChecksum const sum =
          accepted() == c.ballot ? context_.acceptor->checksum() : rows_between(nullptr, *context_.committed).checksum;
      StateChunk const x = next_chunk(*context_.committed, sum, q.chunk_ballot, q.chunk_after, since, piece_bytes);
      if (x.base != Ballot(0) || !x.last) {
        p.ch->send(MessageType::state_chunk, 0, x);
        return;
      }
      c.state = codec::pack(*context_.committed);
    }
  }
  p.ch->send(MessageType::catch_up_response, 0, c);
}

EncodedMessage ConsensusService::lacking(Ballot have) {
  bool const some = have.v != 0 && have >= changed_since_ && have < context_.view.ballot;
  // After a loss of power everybody lacks all of it: it is made ready once.
  if (!some && whole_of_ == context_.view.ballot && !whole_.empty()) return whole_;
  CommitNotice c;
  c.ballot = context_.view.ballot;
  if (some) {
    StateDelta d;
    d.base = have;
    d.ballot = d.open = context_.view.ballot;
    d.epoch = context_.view.epoch;
    for (ConfigItem const& i : context_.view.items)
      if (auto const it = changed_.find(i.key); it != changed_.end() && it->second > have) d.items.push_back(i);
    d.evacuations_set = d.membership_set = d.duties_set = true;
    d.evacuations = context_.view.evacuations;
    d.membership = context_.view.membership;
    d.duties = context_.view.duties;
    d.to_fix = context_.view.to_fix;
    c.delta = codec::pack(d);
  } else {
    c.state = codec::pack(context_.view);
  }
  EncodedMessage p = encode_message(MessageType::catch_up_response, codec::pack(c));
  if (!some) {
    whole_ = p;
    whole_of_ = context_.view.ballot;
  }
  return p;
}

void ConsensusService::commit(CommitNotice const& c, std::string const& from) {
  if (c.ballot <= ballot()) return;
  if (!c.state.empty()) {
    ReplicatedState const s = read_state(c.state);
    if (s.ballot != c.ballot) throw codec::MalformedMessage("a value under another ballot");
    learn(s);
    return;
  }
  if (context_.acceptor->state() && context_.acceptor->state()->ballot == c.ballot) {
    learn(*context_.acceptor->state());
    return;
  }
  if (!c.delta.empty()) {
    StateDelta const d = read_delta(c.delta);
    ReplicatedState const* const base = d.base == ballot() && context_.committed ? &*context_.committed
                                        : d.base == accepted() && context_.acceptor->state()
                                            ? &*context_.acceptor->state()
                                            : nullptr;
    if (base != nullptr) {
      ReplicatedState s = *base;
      apply(s, d);
      learn(s);
      return;
    }
  }
  if (context_.controllers.count(from) > 0 && context_.controllers[from].link)
    context_.controllers[from].link->send(MessageType::catch_up_request, 0, lacks());
}

void ConsensusService::begin(Seconds now) {
  finish_at_ = now + 0.2 + 0.6 * random01();
}

void ConsensusService::tick(Seconds now) {
  if (!proposer_.is_idle() && now - proposer_.began_at() > round_patience()) {
    proposer_.abandon();
    std::vector<Call> b;
    b.swap(batch_);
    for (auto it = b.rbegin(); it != b.rend(); ++it)
      calls_.push_front(std::move(*it));
  }
  pump();
}

void ConsensusService::finish(Seconds now) {
  if (context_.acceptor->state() && (!context_.committed || accepted() > ballot())) {
    if (finish_at_ == 0) finish_at_ = now + 0.8 + 0.8 * random01();
    if (now > finish_at_ && calls_.empty() && proposer_.is_idle()) {
      finish_at_ = now + 1.0 + random01();
      submit([](ReplicatedState&) { return false; }, [](ReplicatedState const*) {}, 1.5);
    }
  } else {
    finish_at_ = 0;
  }
}

CatchUpRequest ConsensusService::lacks() const {
  return CatchUpRequest{best() != nullptr ? best()->ballot : Ballot(), ballot(), gather_.have(), gather_.after()};
}

void ConsensusService::vote(std::vector<StateRow> rows, std::function<void(bool)> done) {
  writer_->write(context_.acceptor->vote_header(), std::move(rows), std::move(done));
}

ReplicatedState const* ConsensusService::best() const {
  ReplicatedState const* b = context_.committed ? &*context_.committed : nullptr;
  if (context_.acceptor->state() && (b == nullptr || context_.acceptor->state()->ballot > b->ballot))
    b = &*context_.acceptor->state();
  return b;
}

void ConsensusService::give_way(Ballot b, Seconds now) {
  way_for_ = b;
  way_until_ = now + 0.4 + 0.2 * random01();
}

void ConsensusService::pump() {
  Seconds const now = steady_now();
  if (!proposer_.is_idle() || now < next_round_ || now < way_until_ || !context_.born) return;
  while (!calls_.empty() && calls_.front().until < now) {
    Call const c = std::move(calls_.front());
    calls_.pop_front();
    c.done(nullptr);
  }
  ReplicatedState const* b = best();
  if (calls_.empty() || b == nullptr) return;
  batch_.clear();
  while (!calls_.empty()) {
    batch_.push_back(std::move(calls_.front()));
    calls_.pop_front();
  }
  proposer_.observe_ballot(context_.acceptor->promised());
  patience_.begin();
  outs(proposer_.begin_round(
      *b,
      [this](ReplicatedState& s) {
        bool any = false;
        for (Call& c : batch_)
          any = c.change(s) || any;
        return any;
      },
      now, context_.committed ? std::optional<Epoch>(context_.committed->epoch) : std::nullopt));
}

Seconds ConsensusService::round_patience() const {
  std::vector<std::string> v;
  for (Member const& m : proposer_.base().membership)
    if (m.ip != context_.settings.ip) v.push_back(m.ip);
  return patience_.timeout(v);
}

void ConsensusService::outs(Proposer::Messages const& v) {
  for (auto const& o : v)
    send_out(o);
  round_over();
}

void ConsensusService::send_out(OutgoingMessage const& message) {
  auto const* const prepare = std::get_if<PrepareRequest>(&message.request);
  auto const* const accept = std::get_if<AcceptRequest>(&message.request);
  if (message.to_ip == context_.settings.ip) {
    if (!context_.born) return;
    if (prepare != nullptr)
      prepare_here(*prepare);
    else
      accept_here(*accept);
    return;
  }
  PeerController& peer = context_.controller(message.to_ip);
  if (!peer.link) return;
  patience_.asked(message.to_ip, accept == nullptr ? 0 : accept->state.size() + accept->delta.size(), steady_now());
  if (prepare != nullptr)
    peer.link->send(MessageType::prepare_request, 0, *prepare);
  else
    peer.link->send(MessageType::accept_request, 0, *accept);
}

void ConsensusService::prepare_here(PrepareRequest const& request) {
  PrepareResponse response;
  Acceptor::PendingWrite write = context_.acceptor->prepare(request, response);
  if (!write.is_needed) {
    after(context_.loop, 0, [this, response] { outs(proposer_.on_prepare_response(context_.settings.ip, response)); });
    return;
  }
  vote(std::move(write.rows), [this, response](bool is_written) {
    if (is_written) outs(proposer_.on_prepare_response(context_.settings.ip, response));
  });
}

void ConsensusService::accept_here(AcceptRequest const& request) {
  AcceptResponse response;
  Acceptor::PendingWrite write = context_.acceptor->accept(request, response);
  if (!write.is_needed) {
    after(context_.loop, 0, [this, response] { outs(proposer_.on_accept_response(context_.settings.ip, response)); });
    return;
  }
  vote(std::move(write.rows), [this, response, ballot = accepted()](bool is_written) {
    if (!is_written) return;
    durable_ = std::max(durable_, ballot);
    outs(proposer_.on_accept_response(context_.settings.ip, response));
  });
}

void ConsensusService::round_over() {
  if (!proposer_.is_over() || batch_.empty()) return;
  std::vector<Call> b;
  b.swap(batch_);
  Seconds const now = steady_now();
  if (proposer_.is_committed()) {
    ReplicatedState const from = proposer_.base();
    ReplicatedState const to = proposer_.value();
    losses_ = 0;
    CommitNotice c;
    c.ballot = to.ballot;
    c.delta = proposer_.delta().empty() ? codec::pack(delta_of(from, to)) : proposer_.delta();
    EncodedMessage const pc = encode_message(MessageType::commit_notice, codec::pack(c));
    for (auto& [ip, m] : context_.controllers)
      if (m.link) m.link->send(pc);
    learn(to);
    if (proposer_.has_applied_change())
      for (Call& x : b)
        x.done(&to);
    else  // another's step of the roster was brought to its end first
      for (auto it = b.rbegin(); it != b.rend(); ++it)
        calls_.push_front(std::move(*it));
  } else {
    ++losses_;
    next_round_ = now + (0.05 + 0.15 * random01()) * std::min(losses_, 6);
    for (auto it = b.rbegin(); it != b.rend(); ++it)
      calls_.push_front(std::move(*it));
  }
  after(context_.loop, std::max(0.0, next_round_ - now), [this] { pump(); });
}

void ConsensusService::learn(ReplicatedState const& s) {
  if (context_.committed && s.ballot <= context_.committed->ballot) return;
  std::optional<ReplicatedState> const old = std::move(context_.committed);
  context_.committed = s;
  proposer_.observe_ballot(s.ballot);
  if (s.ballot >= way_for_ && way_until_ > 0) {
    way_until_ = 0;
    after(context_.loop, 0.02 * random01(), [this] { pump(); });
  }
  if (Acceptor::PendingWrite w = context_.acceptor->learn(s); w.is_needed)
    vote(std::move(w.rows), [this, b = s.ballot](bool ok) {
      if (ok) durable_ = std::max(durable_, b);
    });
  for (Member const& m : s.membership)
    context_.controller(m.ip);
  show(old ? &*old : nullptr, s);
  bool const moved = !old || old->epoch != s.epoch;
  if (moved) LOG4CPLUS_INFO(logger_, "Roster of " << s.membership.size() << ".");
  on_value.emit(moved);
}

void ConsensusService::show(ReplicatedState const* old, ReplicatedState const& s) {
  if (old != nullptr && s.open == context_.view.ballot && context_.view.ballot.v != 0) return;
  ReplicatedState const was = std::move(context_.view);
  context_.view = view_of(s);
  on_view.emit();
  StateUpdate n;
  if (old == nullptr) {
    changed_since_ = context_.view.ballot;
    n.state = codec::pack(context_.view);
    for (ConfigItem const& i : context_.view.items)
      see_partner(i);
  } else {
    StateDelta const d = delta_of(was, context_.view);
    for (ConfigItem const& i : d.items) {
      changed_[i.key] = context_.view.ballot;
      see_partner(i);
    }
    n.delta = codec::pack(d);
  }
  EncodedMessage const pc = encode_message(MessageType::state_update, codec::pack(n));
  for (auto& [id, p] : context_.sessions)
    if (p.feeding) p.ch->send(pc);
}

void ConsensusService::see_partner(ConfigItem const& i) {
  if (i.key[0] == 'c') context_.tenants.put(i);
}

}  // namespace dockbend
