/// Package-private: the names of the store's files, and what is done with files as such.
#pragma once
#include <string>

namespace dockbend {

inline char const* const kStoreFileName = "/register.db";
inline char const* const kSetAsideFileName = "/register.db.unreadable";
inline char const* const kMarkFileName = "/register.mark";
inline char const* const kLogSuffix = "-wal";

bool file_exists(std::string const& path);
/// Throws std::runtime_error.
void sync_directory(std::string const& directory);
/// The layout that the database file's own header names; 0: none, or no such file.
unsigned layout_in_file_header(std::string const& path);

}  // namespace dockbend
