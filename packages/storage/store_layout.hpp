/// Package-private: the tables, and how an older layout becomes the present one.
#pragma once
#include <string>

#include "sqlite_database.hpp"

namespace dockbend {

/// The check kept beside a claimed key, in the column `sealed` above the bit that says whether it is sealed.
u32 key_check(std::string const& key, u64 holder);
/// That column's value.
i64 sealed_column(std::string const& key, u64 holder, bool is_sealed);

/// Makes the tables, or takes layout 1 or 2 over: all of it in one transaction, or nothing. from: the layout that the
/// database states, 0 if none. Throws StorageCorruption or std::runtime_error.
void create_or_migrate(SqliteDatabase& database, int from, int layout);

}  // namespace dockbend
