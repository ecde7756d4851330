#include "process/signals.hpp"

#include <atomic>
#include <csignal>

namespace dockbend {
namespace {

using SignalHandler = void (*)(int);

std::atomic<bool> term_flag{false};
static_assert(std::atomic<bool>::is_always_lock_free, "it is set in a signal handler");
SignalHandler term_handler_of_loop = nullptr, interrupt_handler_of_loop = nullptr;

void note_term(int number) {
  term_flag.store(true, std::memory_order_relaxed);
  SignalHandler const next = number == SIGTERM ? term_handler_of_loop : interrupt_handler_of_loop;
  if (next != nullptr) next(number);
}

/// Installs note_term before libevent's handler; flags and mask stay as they are. When its event is deleted,
/// libevent restores the handler that was installed before both.
void install_before(int number, SignalHandler& handler_of_loop) {
  struct sigaction action {};
  if (sigaction(number, nullptr, &action) != 0 || (action.sa_flags & SA_SIGINFO) != 0) return;
  if (action.sa_handler == SIG_DFL || action.sa_handler == SIG_IGN || action.sa_handler == note_term) return;
  handler_of_loop = action.sa_handler;
  action.sa_handler = note_term;
  sigaction(number, &action, nullptr);
}

}  // namespace

void ignore_hangups() {
  signal(SIGHUP, SIG_IGN);
}

bool term_arrived() {
  return term_flag.load(std::memory_order_relaxed);
}

ProcessSignals::ProcessSignals(event_base* loop) {
  auto const on_term_event = [](evutil_socket_t, short, void* self) {
    static_cast<ProcessSignals*>(self)->on_term.emit();
  };
  auto const on_hangup_event = [](evutil_socket_t, short, void* self) {
    static_cast<ProcessSignals*>(self)->on_hangup.emit();
  };
  term_.reset(evsignal_new(loop, SIGTERM, on_term_event, this));
  interrupt_.reset(evsignal_new(loop, SIGINT, on_term_event, this));
  hangup_.reset(evsignal_new(loop, SIGHUP, on_hangup_event, this));
  event_add(term_.get(), nullptr);
  event_add(interrupt_.get(), nullptr);
  event_add(hangup_.get(), nullptr);
  install_before(SIGTERM, term_handler_of_loop);
  install_before(SIGINT, interrupt_handler_of_loop);
}

ProcessSignals::~ProcessSignals() {
  term_.reset();
  interrupt_.reset();
  hangup_.reset();
  term_flag.store(false, std::memory_order_relaxed);
}

}  // namespace dockbend
