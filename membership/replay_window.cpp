#include "replay_window.h"

namespace thymewood::membership {
namespace {

constexpr std::uint32_t kWindowSize = 64;  // number of bits in `received_bitmap_`

}  // namespace

bool ReplayWindow::accept(std::uint64_t start_time, std::uint32_t sequence_number) {
  if (start_time > start_time_) {
    start_time_ = start_time;
    highest_sequence_number_ = sequence_number;
    received_bitmap_ = 1;
    return true;
  }
  if (sequence_number > highest_sequence_number_) {
    const std::uint32_t ahead = sequence_number - highest_sequence_number_;
    received_bitmap_ = ahead >= kWindowSize ? 1 : (received_bitmap_ << ahead) | 1;
    highest_sequence_number_ = sequence_number;
    return true;
  }
  const std::uint32_t behind = highest_sequence_number_ - sequence_number;
  if (behind >= kWindowSize || ((received_bitmap_ >> behind) & 1) != 0) return false;
  received_bitmap_ |= std::uint64_t{1} << behind;
  return true;
}

}  // namespace thymewood::membership
