#include "load_generator/load_clients.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "transport/periodic_timer.hpp"

namespace dockbend {
namespace {

Seconds constexpr kNoEnd = 1e18;
Seconds constexpr kDirectoryAnswerValidity = 3.5;
Seconds constexpr kFirstDirectoryAnswers = 0.5;  // the time that they are given
Seconds constexpr kProxyAvoidance = 1;           // after a request without an answer
Seconds constexpr kRetryDelay = 0.05;
int constexpr kConnectionTimeoutMarginSeconds = 2;  // beyond the time that a request will wait
double constexpr kMillisecondsPerSecond = 1000;
int constexpr kNoAnswer = 0, kMisdirected = 421, kTooManyRequests = 429, kUnavailable = 503;
u64 constexpr kArrivalSeedsPerSeed = 1000;

std::string new_attempt_id(u64 number) {
  char text[40];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash64("patron", number) ^ random64()));
  return text;
}

evhttp_cmd_type command_of(std::string const& method) {
  if (method == "GET") return EVHTTP_REQ_GET;
  return method == "PUT" ? EVHTTP_REQ_PUT : EVHTTP_REQ_POST;
}

bool is_success(int code) {
  return code >= 200 && code < 300;
}

}  // namespace

LoadClients::LoadClients(event_base* loop, LoadOptions options)
    : loop_(loop), options_(std::move(options)), arriving_kinds_(options_.kinds.size()), retired_(loop) {
  for (Address const& address : options_.proxies)
    proxies_.push_back(Proxy{address, {}, 0, kNoEnd});
  for (BudgetOption const& budget : options_.budgets)
    budget_usage_.emplace(budget.token, BudgetUsage(budget.rate));
  for (LoadKind const& kind : options_.kinds) {
    Arrivals const arrivals(kind.rate, options_.seed * kArrivalSeedsPerSeed + kinds_.size());
    kinds_.push_back(std::make_unique<KindState>(KindState{kind, arrivals, {}}));
  }
}

LoadClients::~LoadClients() {
  is_closing_ = true;
  calls_.clear();
}

void LoadClients::start() {
  bool const has_directories = !options_.directories.empty();
  if (has_directories) resolver_.emplace(loop_, options_, [this](Address const& address) { on_proxy_named(address); });
  started_at_ = steady_now() + (has_directories ? kFirstDirectoryAnswers : 0);
  for (auto const& kind : kinds_)
    schedule_next(kind.get());
}

void LoadClients::on_proxy_named(Address const& address) {
  auto proxy = std::find_if(proxies_.begin(), proxies_.end(),
                            [&](Proxy const& candidate) { return candidate.address == address; });
  if (proxy == proxies_.end()) proxy = proxies_.insert(proxies_.end(), Proxy{address, {}, 0, 0});
  proxy->named_until = steady_now() + kDirectoryAnswerValidity;
}

void LoadClients::schedule_next(KindState* kind) {
  Seconds const offset = kind->arrivals.next();
  if (offset > options_.duration) {
    --arriving_kinds_;
    return end_loop_if_done();
  }
  Seconds const due_at = started_at_ + offset;
  after(loop_, due_at - steady_now(), [this, kind, due_at] {
    begin(kind, due_at);
    schedule_next(kind);
  });
}

void LoadClients::begin(KindState* kind, Seconds due_at) {
  auto owned = std::make_unique<Call>(Call{this, kind, due_at, 0, 0, 0, {}, {}});
  Call* const call = owned.get();
  calls_.emplace(call, std::move(owned));
  attempt(call);
}

void LoadClients::attempt(Call* call) {
  call->sent_at = steady_now();
  if (proxies_.empty()) return finish_attempt(call, kNoAnswer, false);
  call->proxy = choose_proxy(call->sent_at);
  call->connection = take_connection(proxies_[call->proxy]);
  evhttp_request* const request = make_request(call);
  LoadKind const& kind = call->kind->kind;
  if (evhttp_make_request(call->connection.get(), request, command_of(kind.method), kind.path.c_str()) != 0)
    finish_attempt(call, kNoAnswer, false);
}

/// The next proxy in turn that is named and did not fail a moment ago; the last one tried if there is none.
std::size_t LoadClients::choose_proxy(Seconds now) {
  std::size_t chosen = 0;
  for (std::size_t tried = 0; tried < proxies_.size(); ++tried) {
    chosen = proxy_turn_++ % proxies_.size();
    if (proxies_[chosen].avoided_until <= now && proxies_[chosen].named_until > now) break;
  }
  return chosen;
}

HttpConnectionOwner LoadClients::take_connection(Proxy& proxy) {
  if (!proxy.idle_connections.empty()) {
    HttpConnectionOwner connection = std::move(proxy.idle_connections.back());
    proxy.idle_connections.pop_back();
    return connection;
  }
  HttpConnectionOwner connection(evhttp_connection_base_new(loop_, nullptr, proxy.address.ip.c_str(),
                                                            static_cast<ev_uint16_t>(proxy.address.port)));
  evhttp_connection_set_timeout(connection.get(),
                                static_cast<int>(options_.time_left) + kConnectionTimeoutMarginSeconds);
  ++opened_connections_;
  return connection;
}

/// A request that evhttp_make_request takes over.
evhttp_request* LoadClients::make_request(Call* call) {
  LoadKind const& kind = call->kind->kind;
  evhttp_request* const request = evhttp_request_new(on_answer, call);
  evkeyvalq* const headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", options_.host.c_str());
  std::string const attempt_id = new_attempt_id(options_.seed + ++attempts_);
  evhttp_add_header(headers, "X-Attempt-Id", attempt_id.c_str());
  if (!kind.token.empty()) evhttp_add_header(headers, "Authorization", ("Token " + kind.token).c_str());
  if (call->operation_key.empty()) call->operation_key = "k-" + attempt_id;
  if (kind.keyed) evhttp_add_header(headers, "X-Operation-Key", call->operation_key.c_str());
  auto const milliseconds_left = static_cast<long>(options_.time_left * kMillisecondsPerSecond);
  evhttp_add_header(headers, "X-Time-Left", std::to_string(milliseconds_left).c_str());
  if (kind.body > 0) {
    std::string const body(kind.body, 'x');
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  return request;
}

void LoadClients::on_answer(evhttp_request* answer, void* argument) {
  auto* const call = static_cast<Call*>(argument);
  if (call->clients->is_closing_) return;
  int const code = answer == nullptr ? kNoAnswer : evhttp_request_get_response_code(answer);
  bool can_keep_connection = code != kNoAnswer;
  if (can_keep_connection) {
    char const* const connection = evhttp_find_header(evhttp_request_get_input_headers(answer), "Connection");
    can_keep_connection = connection == nullptr || evutil_ascii_strcasecmp(connection, "close") != 0;
  }
  call->clients->finish_attempt(call, code, can_keep_connection);
}

void LoadClients::finish_attempt(Call* call, int code, bool can_keep_connection) {
  Seconds const now = steady_now();
  release_connection(call, can_keep_connection);
  if (!can_retry(*call, code, now)) return finish(call, code, now);
  ++call->retries;
  after(loop_, kRetryDelay, [this, call] { attempt(call); });
}

void LoadClients::release_connection(Call* call, bool can_keep_connection) {
  if (can_keep_connection)
    proxies_[call->proxy].idle_connections.push_back(std::move(call->connection));
  else
    retired_.retire(std::move(call->connection));
}

bool LoadClients::can_retry(Call const& call, int code, Seconds now) const {
  bool const is_refusal = code == kUnavailable || code == kTooManyRequests || code == kMisdirected;
  return is_refusal && call.retries < options_.retries && now - call.due_at < options_.time_left;
}

void LoadClients::finish(Call* call, int code, Seconds now) {
  KindState& kind = *call->kind;
  kind.results.add(call->due_at, call->sent_at, now, code);
  if (code == kNoAnswer && call->proxy < proxies_.size()) proxies_[call->proxy].avoided_until = now + kProxyAvoidance;
  if (is_success(code))
    if (auto const usage = budget_usage_.find(kind.kind.token); usage != budget_usage_.end()) usage->second.add(now);
  calls_.erase(call);
  end_loop_if_done();
}

void LoadClients::end_loop_if_done() {
  if (arriving_kinds_ == 0 && calls_.empty()) event_base_loopbreak(loop_);
}

LoadReport LoadClients::report() const {
  LoadReport report;
  report.opened_connections = opened_connections_;
  for (auto const& kind : kinds_)
    report.kinds.push_back({kind->kind.name, kind->results});
  for (BudgetOption const& budget : options_.budgets)
    report.budgets.push_back({budget.token, budget.burst, budget_usage_.at(budget.token)});
  return report;
}

}  // namespace dockbend
