// The one clock of a node: seconds on the steady clock since the node started.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>

namespace thymewood::node {

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  double now() const { return std::chrono::duration<double>(Steady::now() - start_).count(); }
  Steady::time_point at(double seconds) const { return start_ + span(seconds); }
  static Steady::duration span(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }

  // A Unix time on this clock. The offset is taken once: were it taken anew, the same start of a server would
  // come out a little different each time and look like another start.
  double from_unix_ms(std::int64_t ms) const {
    if (ms == 0) return 0;  // long ago, here as there
    const double then = static_cast<double>(ms - unix_start_ms_) / 1000;
    return then == 0 ? 1e-6 : then;
  }

 private:
  Steady::time_point start_ = Steady::now();
  std::int64_t unix_start_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
};

// Calls off a timer, also from where nothing may be thrown.
inline void halt(boost::asio::steady_timer& timer) {
  boost::system::error_code ignored;
  timer.cancel(ignored);
}

}  // namespace thymewood::node
