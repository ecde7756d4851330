#include "process/settings_watch.hpp"

#include <sys/stat.h>

#include "logging/log.hpp"

namespace dockbend {
namespace {
Seconds constexpr kWatchInterval = 1;
i64 constexpr kNanosecondsPerSecond = 1'000'000'000;
}  // namespace

std::optional<SettingsFile::Version> SettingsFile::version_of(std::string const& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return std::nullopt;
  return Version{static_cast<i64>(status.st_mtim.tv_sec) * kNanosecondsPerSecond + status.st_mtim.tv_nsec,
                 status.st_size};
}

// The version is taken first: what changes while the file is read is a change.
Settings SettingsFile::load() {
  loaded_ = version_of(path_).value_or(Version{});
  return load_settings(path_);
}

bool SettingsFile::has_changed() const {
  std::optional<Version> const version = version_of(path_);
  return version && *version != loaded_;
}

SettingsWatch::SettingsWatch(event_base* loop, SettingsFile file)
    : file_(std::move(file)), timer_(loop, kWatchInterval, [this] {
        if (file_.has_changed()) reload();
      }) {}

void SettingsWatch::reload() {
  try {
    on_settings.emit(file_.load());
  } catch (SettingsError const& error) {
    DB_LOG("settings");
    LOG4CPLUS_WARN(logger, "Kept the old settings. " << error.what());
  }
}

}  // namespace dockbend
