// Local health score (Lifeguard, LHA-Probe): a node whose own probes fail may itself be slow or badly
// connected, so it extends its timeouts before it suspects others.
#pragma once

#include <algorithm>

namespace thymewood::membership {

class LocalHealth {
 public:
  explicit LocalHealth(int max_score) : max_score_(max_score) {}

  // A positive `delta` is evidence that this node is unhealthy.
  void adjust(int delta) { score_ = std::clamp(score_ + delta, 0, max_score_); }
  [[nodiscard]] int score() const { return score_; }  // 0: healthy
  [[nodiscard]] double timeout_multiplier() const { return 1.0 + score_; }

 private:
  int max_score_;
  int score_ = 0;
};

}  // namespace thymewood::membership
