/// Package-private: the mark beside the store's file. The file alone can't tell that its last votes are gone.
#pragma once
#include <string>
#include <vector>

#include "base/record.hpp"
#include "base/types.hpp"
#include "storage/file_descriptor.hpp"

namespace dockbend {

/// Says that the vote `seq` of that incarnation was on disk.
struct VoteMark {
  DB_RECORD(VoteMark, (Incarnation, incarnation), (u64, seq));
};

/// Two slots that are written by turns. Invariant: a mark names a vote that is synced. It is not synced itself: it may
/// lag behind the file, and never leads.
class VoteMarkFile {
 public:
  /// Opens or creates the file. If that fails, nothing is written and nothing read.
  explicit VoteMarkFile(std::string const& directory);
  void write(VoteMark const& mark) const;
  /// The marks that can be read, two at most.
  std::vector<VoteMark> read() const;

 private:
  FileDescriptor file_;
};

}  // namespace dockbend
