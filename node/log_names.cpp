#include "log_names.h"

namespace thymewood::node {

const char* log_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSuccess:
      return "delivered";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimedOut:
      return "timed_out";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

const char* log_name(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return "up";
    case EndpointState::kDraining:
      return "draining";
    case EndpointState::kRemoved:
      break;
  }
  return "removed";
}

}  // namespace thymewood::node
