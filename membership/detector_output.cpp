#include "detector_output.h"

namespace thymewood::membership {

const char* name_of(ChangeReason reason) {
  switch (reason) {
    case ChangeReason::kHeardDirectly:
      return "heard_directly";
    case ChangeReason::kReportedAlive:
      return "reported_alive";
    case ChangeReason::kNoAck:
      return "no_ack";
    case ChangeReason::kSuspicionTimedOut:
      return "suspicion_timed_out";
    case ChangeReason::kAnnouncedLeave:
      return "announced_its_leaving";
  }
  return "unknown";
}

}  // namespace thymewood::membership
