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
  Suspicion(double now, NodeId accuser) : started_at_(now), accusers_{accuser} {}

  // Counts another accuser. False where it is counted already, or no more are needed.
  bool confirm(NodeId accuser, const DetectorConfig& config);
  // Postpones the deadline by a time in which no refutation could be received.
  void extend(double seconds) { extension_ += seconds; }

  [[nodiscard]] std::size_t accuser_count() const { return accusers_.size(); }
  // When the node has failed unless it refutes before.
  [[nodiscard]] double deadline(const DetectorConfig& config, std::size_t node_count) const;

 private:
  double started_at_;
  double extension_ = 0;  // s
  std::vector<NodeId> accusers_;
};

}  // namespace thymewood::membership
