// Log events for the replica set and its nodes, listed in docs/operators/log.md.
#pragma once

#include "detector_output.h"
#include "replica_set_view.h"

namespace thymewood::node {

// Datagrams are not logged.
void log_output(const membership::Output& output);
void log_view(const membership::ReplicaSetView& view);

}  // namespace thymewood::node
