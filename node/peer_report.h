// The membership report that a node logs on SIGUSR1: one line of JSON. docs/operators/fleet-membership.md
// describes its keys.
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
