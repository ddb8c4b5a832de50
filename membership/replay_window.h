// Recognizes datagrams that were received before, by a sliding window over sequence numbers (as RFC 4303,
// section 3.4.3). Pure.
#pragma once

#include <cstdint>

namespace thymewood::membership {

class ReplayWindow {
 public:
  // Whether this sequence number is new within the sender's run that began at `start_time`. The caller has
  // dropped datagrams of earlier runs.
  [[nodiscard]] bool accept(std::uint64_t start_time, std::uint32_t sequence_number);
  [[nodiscard]] bool has_received() const { return start_time_ > 0; }

 private:
  // Kept apart from the sender's record: a new run may be reported by others before the sender is heard.
  std::uint64_t start_time_ = 0;
  std::uint32_t newest_ = 0;
  std::uint64_t received_ = 0;  // bit i: `newest_` - i was received
};

}  // namespace thymewood::membership
