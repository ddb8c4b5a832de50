#include "start_times.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <ctime>
#include <utility>

namespace thymewood::node {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kMaxNotificationDelay = 6;  // s; by which discovery may be late according to the protocol
constexpr std::int64_t kDateResolutionMs = 1000;      // a Date field has a resolution of one second
constexpr std::int64_t kMaxClockDifferenceMs = 2500;  // the resolution, plus a delayed read of the response
constexpr double kMinStartTime = 1e-6;                // s; 0 means long ago
constexpr double kRemovedRetention = 300;             // s; a removed server may return within this time

}  // namespace

void StartTimes::set_discovery_time(const ClockReading& now, std::optional<std::int64_t> unix_ms) {
  if (!unix_ms) return;
  const std::int64_t difference = *unix_ms + kDateResolutionMs / 2 - now.unix_ms;
  wall_clock_correction_ms_ = std::abs(difference) > kMaxClockDifferenceMs ? difference : 0;
  // Start times converted with the wrong wall clock are converted again.
  if (!std::exchange(has_discovery_time_, true) && wall_clock_correction_ms_ != 0) starts_.clear();
}

double StartTimes::started_at(const std::string& server, std::int64_t start_unix_ms,
                              const ClockReading& now) {
  if (start_unix_ms == 0) {
    starts_.erase(server);
    return 0;
  }
  Start& start = starts_[server];
  start.is_listed = true;
  if (start.start_unix_ms == start_unix_ms) return start.started_at;
  double age = static_cast<double>(now.unix_ms + wall_clock_correction_ms_ - start_unix_ms) / kMsPerSecond;
  if (list_current_until_ && age > now.steady - *list_current_until_ + kMaxNotificationDelay) age = 0;
  const double started_at = now.steady - std::max(0.0, age);
  start = {start_unix_ms, std::abs(started_at) < kMinStartTime ? kMinStartTime : started_at, true};
  return start.started_at;
}

void StartTimes::on_removed(const std::string& server, double now) {
  const auto it = starts_.find(server);
  if (it == starts_.end() || !it->second.is_listed) return;
  it->second.is_listed = false;
  removals_.push_back({now, server});
  for (; !removals_.empty() && removals_.front().at < now - kRemovedRetention; removals_.pop_front()) {
    const auto expired = starts_.find(removals_.front().server);
    if (expired != starts_.end() && !expired->second.is_listed) starts_.erase(expired);
  }
}

std::optional<std::int64_t> parse_http_date(std::string_view text) {
  const std::string terminated(text);
  std::tm parts{};
  const char* const end = ::strptime(terminated.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
  if (end == nullptr || *end != '\0') return std::nullopt;
  const std::time_t seconds = ::timegm(&parts);
  if (seconds < 0) return std::nullopt;
  return static_cast<std::int64_t>(seconds) * static_cast<std::int64_t>(kMsPerSecond);
}

}  // namespace thymewood::node
