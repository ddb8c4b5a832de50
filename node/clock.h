// The node's clock: seconds of the steady clock since the node started. The wall clock is read only to
// convert the start times of servers, which discovery reports as Unix time (start_times.h).
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>

#include "start_times.h"

namespace thymewood::node {

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  double now() const { return std::chrono::duration<double>(Steady::now() - start_).count(); }
  Steady::time_point to_time_point(double seconds) const { return start_ + to_duration(seconds); }
  static Steady::duration to_duration(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }

  ClockReading reading() const {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {now(), std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()};
  }

 private:
  Steady::time_point start_ = Steady::now();
};

// Cancels a timer without throwing.
inline void cancel_timer(boost::asio::steady_timer& timer) {
  boost::system::error_code ignored;
  timer.cancel(ignored);
}

}  // namespace thymewood::node
