// When to call discovery again after a call that brought no watch.
//
// Discovery is one service for all nodes and works through their calls in turn. One that has waited too long
// is turned away, and its work is lost: when more calls come than can be worked through, each is turned away
// in the end and none is answered, for as long as the callers keep their pace. Nodes lose their watches
// together, so the pace has to be one that all of them can keep: one call from each may keep discovery busy
// for kRound. A call that was held before it failed stood in such a queue, or met a discovery that is down;
// the two look alike. A call that failed at once has cost next to nothing, and is repeated soon.
//
// Pure: durations in seconds.
#pragma once

#include <algorithm>
#include <optional>

#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood {

class WatchBackoff {
 public:
  // `poll_interval`, s: how long a list may be used without asking; 0 where the settings don't say.
  explicit WatchBackoff(double poll_interval) : ask_within_(poll_interval) {}

  // A watch is open, or discovery has moved: earlier failures say nothing any more.
  void reset() {
    backoff_ = kFirstBackoff;
    quick_failures_ = 0;
  }

  // s until the next call.
  double pause_after(const std::optional<WatchFailure>& failure, Random& random) {
    if (!failure) return unknown_failure(random);
    if (failure->was_open)
      return random.unit() * std::min(kMostSpread, ask_within_ > 0 ? ask_within_ / 4 : kMostSpread);
    if (failure->waited >= kQueued) {
      const double cycle = kRound * (kLeastPart + random.unit() * (2 - 2 * kLeastPart));
      return std::max(kFirstQuick, cycle - failure->waited);
    }
    return quick_failure(random);
  }

 private:
  static constexpr double kRound = 8;  // s; in which discovery can work through one call of each node
  static constexpr double kLeastPart =
      0.5;                                // of a round, between two calls of a node; as much over it at most
  static constexpr double kQueued = 0.4;  // s; a call that failed sooner has not waited in a queue
  static constexpr double kMostSpread = 2;    // s; over which nodes call whose watches end together
  static constexpr double kFirstQuick = 0.3;  // s; doubled with each failure
  // s. The nearer bound holds for the first failures: after a move what discovery has counts 4 s later.
  static constexpr double kMostQuick = 0.9, kMostQuickLater = 1.8;
  static constexpr int kFirstFailures = 6;
  static constexpr double kFirstBackoff = 0.5;  // s; where the host does not tell how a call failed
  static constexpr double kMostBackoff = 5;     // s; where the settings give none

  // Less up to a half, so that nodes whose calls failed together don't call together.
  static double jittered(double pause, Random& random) { return pause * (0.5 + random.unit() / 2); }

  double quick_failure(Random& random) {
    const int n = quick_failures_++;
    if (n >= kFirstFailures) return jittered(kMostQuickLater, random);
    return jittered(std::min(kFirstQuick * static_cast<double>(1 << n), kMostQuick), random);
  }

  double unknown_failure(Random& random) {
    const double most = ask_within_ > 0 ? ask_within_ / 2 : kMostBackoff;
    const double pause = jittered(std::min(backoff_, most), random);
    backoff_ = std::min(backoff_ * 2, most);
    return pause;
  }

  double ask_within_;
  double backoff_ = kFirstBackoff;
  int quick_failures_ = 0;
};

}  // namespace thymewood
