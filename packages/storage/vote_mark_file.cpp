#include "vote_mark_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <optional>

#include "consensus/state_rows.hpp"
#include "store_files.hpp"

namespace dockbend {
namespace {
std::size_t constexpr kSlots = 2;
std::size_t constexpr kSlotBytes = 64;

off_t slot_offset(u64 slot) {
  return static_cast<off_t>(slot * kSlotBytes);
}

/// A length byte, the sealed record, zeros.
std::string encode_slot(VoteMark const& mark) {
  std::string slot = sealed(codec::pack(mark));
  slot.insert(0, 1, static_cast<char>(slot.size()));
  slot.resize(kSlotBytes, '\0');
  return slot;
}

std::optional<VoteMark> decode_slot(std::string const& slot) {
  std::size_t const length = static_cast<u8>(slot[0]);
  if (length >= slot.size()) return std::nullopt;
  auto const record = unsealed(slot.substr(1, length));
  return record ? std::optional<VoteMark>(codec::unpack<VoteMark>(*record)) : std::nullopt;
}
}  // namespace

VoteMarkFile::VoteMarkFile(std::string const& directory) {
  std::string const path = directory + kMarkFileName;
  bool const existed = file_exists(path);
  file_ = FileDescriptor(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (file_.is_open() && !existed && ::fsync(file_.get()) == 0) sync_directory(directory);
}

void VoteMarkFile::write(VoteMark const& mark) const {
  std::string const slot = encode_slot(mark);
  if (::pwrite(file_.get(), slot.data(), slot.size(), slot_offset(mark.seq % kSlots)) < 0) {
    // The mark lags, then.
  }
}

std::vector<VoteMark> VoteMarkFile::read() const {
  std::vector<VoteMark> marks;
  for (std::size_t i = 0; i < kSlots; ++i) {
    std::string slot(kSlotBytes, '\0');
    if (::pread(file_.get(), slot.data(), kSlotBytes, slot_offset(i)) != static_cast<ssize_t>(kSlotBytes)) continue;
    if (auto const mark = decode_slot(slot)) marks.push_back(*mark);
  }
  return marks;
}

}  // namespace dockbend
