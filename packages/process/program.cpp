#include "process/program.hpp"

#include <getopt.h>
#include <signal.h>
#include <sys/stat.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>

#include "logging/log.hpp"

namespace dockbend {
namespace {
std::string path_used;
void usage(ProgramInfo const& c, FILE* f) {
  std::fprintf(f,
               "%s: %s\n\nusage: %s [--settings FILE] [--check]\n\n"
               "  --settings FILE  the settings file (default: $DOCKBEND_SETTINGS,\n"
               "                   then /etc/dockbend/boot.conf)\n"
               "  --check          read and check the settings, then end\n"
               "%s"
               "  --help           this text\n"
               "  --version        the version\n\n"
               "exit codes: 0 in order, 1 failed while running, 2 wrong usage or bad settings\n",
               c.name, c.what, c.name,
               c.can_stage ? "  --staged         bring manifest changes out in stages (see rollout.* settings)\n" : "");
}

std::atomic<bool> term_flag{false};
static_assert(std::atomic<bool>::is_always_lock_free, "it is set in a signal handler");
using SignalHandler = void (*)(int);
SignalHandler term_next = nullptr, int_next = nullptr;  // libevent's

void note_term(int sig) {
  term_flag.store(true, std::memory_order_relaxed);
  SignalHandler const next = sig == SIGTERM ? term_next : int_next;
  if (next != nullptr) next(sig);
}
/// Installs note_term before libevent's handler; flags and mask stay as they are. When its event is deleted,
/// libevent restores the handler that was installed before both.
void chain_term(int sig, SignalHandler& next) {
  struct sigaction sa {};
  if (sigaction(sig, nullptr, &sa) != 0 || (sa.sa_flags & SA_SIGINFO) != 0) return;
  if (sa.sa_handler == SIG_DFL || sa.sa_handler == SIG_IGN || sa.sa_handler == note_term) return;
  next = sa.sa_handler;
  sa.sa_handler = note_term;
  sigaction(sig, &sa, nullptr);
}
}  // namespace

bool term_arrived() {
  return term_flag.load(std::memory_order_relaxed);
}

std::optional<int> open_program(ProgramInfo const& cli, int argc, char** argv, Settings& st) {
  static option const opts[] = {{"settings", required_argument, nullptr, 's'}, {"check", no_argument, nullptr, 'c'},
                                {"staged", no_argument, nullptr, 'g'},         {"help", no_argument, nullptr, 'h'},
                                {"version", no_argument, nullptr, 'v'},        {nullptr, 0, nullptr, 0}};
  bool check = false, staged = false;
  path_used = settings_path();
  for (int o = 0; (o = getopt_long(argc, argv, "s:chv", opts, nullptr)) != -1;) {
    switch (o) {
      case 's': path_used = optarg; break;
      case 'c': check = true; break;
      case 'g':
        if (!cli.can_stage) {
          usage(cli, stderr);
          return 2;
        }
        staged = true;
        break;
      case 'h': usage(cli, stdout); return 0;
      case 'v': std::printf("%s (dockbend) 0.2.0\n", cli.name); return 0;
      default: usage(cli, stderr); return 2;
    }
  }
  if (optind < argc) {
    usage(cli, stderr);
    return 2;
  }
  try {
    st = load_settings(path_used);
    st.staged = st.staged || staged;
    for (std::string const& b : cli.binds)
      if (st.bind.count(b) == 0) throw SettingsError("bind." + b, "missing");
    if (cli.keeps && st.dataDir.empty()) throw SettingsError("dataDir", "missing");
    if (cli.keeps && st.bootstrap && st.seeds.empty())
      throw SettingsError("seedAddrs", "missing, and with bootstrap=true the system begins with them");
  } catch (SettingsError const& e) {
    std::fprintf(stderr, "%s: settings: %s\n", cli.name, e.what());
    return 2;
  }
  if (check) {
    std::printf("%s: settings in order: %s\n", cli.name, path_used.c_str());
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  start_log();
  return std::nullopt;
}

ProcessSignals::ProcessSignals(event_base* loop) {
  auto term = [](evutil_socket_t, short, void* p) { static_cast<ProcessSignals*>(p)->on_term.emit(); };
  term_.reset(evsignal_new(loop, SIGTERM, term, this));
  int_.reset(evsignal_new(loop, SIGINT, term, this));
  hup_.reset(evsignal_new(
      loop, SIGHUP, [](evutil_socket_t, short, void* p) { static_cast<ProcessSignals*>(p)->look(true); }, this));
  event_add(term_.get(), nullptr);
  event_add(int_.get(), nullptr);
  event_add(hup_.get(), nullptr);
  chain_term(SIGTERM, term_next);
  chain_term(SIGINT, int_next);
  struct stat sb {};
  if (::stat(path_used.c_str(), &sb) == 0) {
    seen_mtime_ = static_cast<i64>(sb.st_mtim.tv_sec) * 1000000000 + sb.st_mtim.tv_nsec;
    seen_size_ = sb.st_size;
  }
  poll_ = std::make_unique<PeriodicTimer>(loop, 1.0, [this] { look(false); });
}

ProcessSignals::~ProcessSignals() {
  term_.reset();
  int_.reset();
  hup_.reset();
  term_flag.store(false, std::memory_order_relaxed);
}

void ProcessSignals::look(bool told) {
  struct stat sb {};
  if (::stat(path_used.c_str(), &sb) != 0) return;
  i64 const m = static_cast<i64>(sb.st_mtim.tv_sec) * 1000000000 + sb.st_mtim.tv_nsec;
  if (!told && m == seen_mtime_ && sb.st_size == seen_size_) return;
  seen_mtime_ = m;
  seen_size_ = sb.st_size;
  try {
    Settings const st = load_settings(path_used);
    on_settings.emit(st);
  } catch (SettingsError const& e) {
    DB_LOG("settings");
    LOG4CPLUS_WARN(logger, "Kept the old settings. " << e.what());
  }
}

}  // namespace dockbend
