// Detects that a node is cut off from its servers as well as from its peers, so that its clients are better
// sent to another node. Pure; times are seconds on a steady clock.
//
// Lost peers alone are no reason: they may all be down. Silent servers alone may be an outage that every node
// sees, where another node would do no better. Only both together point at this node.
#pragma once

#include <deque>

#include "replica_set_view.h"

namespace thymewood::membership {

struct IsolationConfig {
  int min_attempts = 10;             // completed within `window` before a decision
  double window = 5;                 // s
  double unanswered_fraction = 0.8;  // of these attempts, at least, without any response of a server
  double trial_interval = 1;         // s; while isolated one request per interval is still forwarded
  int required_successes = 2;        // consecutive answered attempts that end the isolation
};

class IsolationDetector {
 public:
  explicit IsolationDetector(const IsolationConfig& config) : config_(config) {}

  void on_connectivity(Connectivity connectivity);
  // An attempt has completed; `answered`: the server responded at all, even with a rejection.
  void on_attempt_ended(double now, bool answered);

  [[nodiscard]] bool is_isolated() const { return is_isolated_; }
  // Whether a request that has just arrived is to be rejected; trial requests are not.
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
  double last_trial_ = 0;
  int consecutive_successes_ = 0;
};

}  // namespace thymewood::membership
