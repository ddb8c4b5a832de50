// The timer of one suspected node (Lifeguard, LHA-Suspicion): its timeout shrinks as further nodes
// independently confirm the suspicion. Pure.
#pragma once

#include <cstddef>
#include <vector>

#include "detector_config.h"
#include "member_record.h"

namespace thymewood::membership {

class Suspicion {
 public:
  Suspicion(double now, NodeId reporter) : started_at_(now), reporters_{reporter} {}

  // Counts another reporter. False where it is counted already, or no more are needed.
  bool confirm(NodeId reporter, const DetectorConfig& config);
  // Postpones the deadline by a time in which no refutation could be received.
  void extend(double seconds) { extension_ += seconds; }

  [[nodiscard]] std::size_t reporter_count() const { return reporters_.size(); }
  // When the node has failed unless it refutes before.
  [[nodiscard]] double deadline(const DetectorConfig& config, std::size_t node_count) const;

 private:
  double started_at_;
  double extension_ = 0;  // s
  std::vector<NodeId> reporters_;
};

}  // namespace thymewood::membership
