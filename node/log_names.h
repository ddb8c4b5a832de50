// Names of the policy's enum values in the log (docs/operators/log.md).
#pragma once

#include "thymewood/balancer.h"

namespace thymewood::node {

[[nodiscard]] const char* log_name(Outcome outcome);
[[nodiscard]] const char* log_name(EndpointState state);

}  // namespace thymewood::node
