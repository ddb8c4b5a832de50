// The report that a node logs on SIGUSR1: a line of JSON whose keys are described in
// docs/operators/fleet-membership.md.
#pragma once

#include <cstdint>
#include <string>

#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::node {

// `uptime`: s since the start of this node.
[[nodiscard]] std::string peer_report(const membership::Detector& detector,
                                      const membership::ReplicaSetView& view, std::uint64_t send_failures,
                                      double uptime);

}  // namespace thymewood::node
