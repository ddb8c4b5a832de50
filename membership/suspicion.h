// The timer of one suspected node (Lifeguard, LHA-Suspicion): the timeout shrinks as further nodes
// independently confirm the suspicion.
#pragma once

#include <cstddef>
#include <vector>

#include "detector_config.h"
#include "member_record.h"

namespace thymewood::membership {

class Suspicion {
 public:
  Suspicion(double now, NodeId reporter) : started_at_(now), reporters_{reporter} {}

  // Adds another reporter. Returns false if it was already counted or no more are needed.
  bool confirm(NodeId reporter, const DetectorConfig& config);
  // Postpones the deadline by a period in which no refutation could be received.
  void extend(double seconds) { extension_ += seconds; }

  [[nodiscard]] std::size_t reporter_count() const { return reporters_.size(); }
  // The time at which the node is marked as failed unless it refutes the suspicion.
  [[nodiscard]] double deadline(const DetectorConfig& config, std::size_t node_count) const;

 private:
  double started_at_;
  double extension_ = 0;  // seconds
  std::vector<NodeId> reporters_;
};

}  // namespace thymewood::membership
