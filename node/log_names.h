// The words that the log has for the values of the policy's enums (docs/operators/log.md).
#pragma once

#include "thymewood/balancer.h"

namespace thymewood::node {

[[nodiscard]] const char* log_name(Outcome outcome);
[[nodiscard]] const char* log_name(EndpointState state);

}  // namespace thymewood::node
