// Detects that this node can reach neither its peers nor its servers, in which case clients are better served
// by another node. Times are seconds on a steady clock.
//
// Unreachable peers alone are not sufficient: they may all be down. Unresponsive servers alone may be an
// outage that affects every node, so another node would do no better. Only both together indicate a fault of
// this node.
#pragma once

#include <deque>

#include "replica_set_view.h"

namespace thymewood::membership {

struct IsolationConfig {
  int min_attempts = 10;             // required within `window` before a decision
  double window = 5;                 // seconds
  double unanswered_fraction = 0.8;  // minimum fraction of these attempts without any response from a server
  double trial_interval = 1;         // seconds; while isolated, one request per interval is still forwarded
  int required_successes = 2;        // consecutive answered attempts that end the isolation
};

class IsolationDetector {
 public:
  explicit IsolationDetector(const IsolationConfig& config) : config_(config) {}

  void on_connectivity(Connectivity connectivity);
  // Records a completed attempt. `answered`: the server responded, even if with a rejection.
  void on_attempt_ended(double now, bool answered);

  [[nodiscard]] bool is_isolated() const { return is_isolated_; }
  // Whether to reject a request that just arrived. Lets one trial request through per trial interval.
  [[nodiscard]] bool should_reject(double now);

 private:
  struct Attempt {
    double ended_at = 0;
    bool answered = false;
  };
  void evaluate(double now);

  IsolationConfig config_;
  std::deque<Attempt> attempts_;
  bool is_partitioned_ = false;
  bool is_isolated_ = false;
  double last_trial_at_ = 0;
  int consecutive_successes_ = 0;
};

}  // namespace thymewood::membership
