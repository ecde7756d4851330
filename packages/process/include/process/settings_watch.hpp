/// The settings file of a daemon, and its changes.
#pragma once
#include <event2/event.h>
#include <sigc++/sigc++.h>

#include <optional>
#include <string>
#include <utility>

#include "settings/settings.hpp"
#include "transport/periodic_timer.hpp"

namespace dockbend {

/// Invariant: each state of the file since load() was first called is either read by load() or reported by
/// has_changed().
class SettingsFile {
 public:
  explicit SettingsFile(std::string path) : path_(std::move(path)) {}
  std::string const& path() const { return path_; }
  /// Reads it; throws SettingsError.
  Settings load();
  /// Is its time or size another one than when it was last read? A file that is not there has not changed.
  bool has_changed() const;

 private:
  struct Version {
    i64 modified_at = 0;  // in nanoseconds
    i64 bytes = 0;
    friend bool operator==(Version const&, Version const&) = default;
  };
  static std::optional<Version> version_of(std::string const& path);
  std::string path_;
  Version loaded_;
};

/// Looks once a second whether the file has changed. Settings that are bad are logged and not reported.
class SettingsWatch {
 public:
  sigc::signal<void(Settings const&)> on_settings;
  /// file: as it was loaded last.
  SettingsWatch(event_base* loop, SettingsFile file);
  SettingsWatch(SettingsWatch const&) = delete;
  /// Reads the file whether it has changed or not.
  void reload();

 private:
  SettingsFile file_;
  PeriodicTimer timer_;
};

}  // namespace dockbend
