#include "replay_window.h"

namespace thymewood::membership {
namespace {

constexpr std::uint32_t kWindowSize = 64;  // the bits of `received_`

}  // namespace

bool ReplayWindow::accept(std::uint64_t start_time, std::uint32_t sequence_number) {
  if (start_time > start_time_) {
    start_time_ = start_time;
    newest_ = sequence_number;
    received_ = 1;
    return true;
  }
  if (sequence_number > newest_) {
    const std::uint32_t ahead = sequence_number - newest_;
    received_ = ahead >= kWindowSize ? 1 : (received_ << ahead) | 1;
    newest_ = sequence_number;
    return true;
  }
  const std::uint32_t behind = newest_ - sequence_number;
  if (behind >= kWindowSize || ((received_ >> behind) & 1) != 0) return false;
  received_ |= std::uint64_t{1} << behind;
  return true;
}

}  // namespace thymewood::membership
