// Detects duplicate datagrams with a sliding window over sequence numbers, as in RFC 4303, section 3.4.3.
#pragma once

#include <cstdint>

namespace thymewood::membership {

class ReplayWindow {
 public:
  // Returns whether this sequence number is new for the sender process that started at `start_time`. The
  // caller must have dropped datagrams from earlier processes. A number older than the window counts as a
  // duplicate.
  [[nodiscard]] bool accept(std::uint64_t start_time, std::uint32_t sequence_number);
  [[nodiscard]] bool has_received() const { return start_time_ > 0; }

 private:
  // Independent of the sender's record: other nodes may report a new process before its first datagram
  // arrives.
  std::uint64_t start_time_ = 0;
  std::uint32_t highest_sequence_number_ = 0;
  std::uint64_t received_bitmap_ = 0;  // bit i: `highest_sequence_number_` - i was received
};

}  // namespace thymewood::membership
