#include "transport/counters.hpp"

#include <array>

#include "logging/log.hpp"

namespace dockbend {
namespace {
struct SentCount {
  u64 messages = 0, bytes = 0;
};
std::array<SentCount, 256> sent_counts;  // by message type
}  // namespace

void count_sent(MessageType type, std::size_t bytes) {
  SentCount& count = sent_counts[static_cast<u8>(type)];
  ++count.messages;
  count.bytes += bytes;
}

std::string sent_by_kind() {
  std::string text;
  for (std::size_t type = 0; type < sent_counts.size(); ++type) {
    SentCount& count = sent_counts[type];
    if (count.messages == 0) continue;
    if (!text.empty()) text += ", ";
    text += std::to_string(type) + " " + std::to_string(count.messages) + "/" + std::to_string(count.bytes);
    count = SentCount{};
  }
  return text;
}

RejectedInput& rejected_input() {
  static RejectedInput rejected;
  return rejected;
}

void log_rejected_input() {
  DB_LOG("transport");
  static u64 logged_total = 0;
  RejectedInput const& rejected = rejected_input();
  u64 const total = rejected.channels + rejected.letters + rejected.calls;
  if (total == logged_total) return;
  logged_total = total;
  LOG4CPLUS_INFO(logger, "Rejected input so far: " << rejected.channels << " connections ended, " << rejected.letters
                                                   << " messages ignored, " << rejected.calls << " calls refused.");
}

}  // namespace dockbend
