#include "fault_windows.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;

// s after SIGTERM; a request that a node accepts within this time still has to get a response.
constexpr double kGracefulShutdownSeconds = 0.7;

}  // namespace

FaultWindows::FaultWindows(const History& history) {
  for (const Record& r : history.records) {
    switch (r.what) {
      case What::kDown:
      case What::kCrash:
      case What::kPaused:
        actors_.begin(r.by, r.t);
        break;
      case What::kUp:
      case What::kResumed:
        actors_.end(r.by, r.t);
        break;
      case What::kTerm:
        shut_down_.begin(r.by, r.t + kGracefulShutdownSeconds);
        break;
      case What::kLinkFaulty:
        links_.begin({r.by, r.to}, r.t);
        break;
      case What::kLinkRestored:
        links_.end({r.by, r.to}, r.t);
        break;
      default:
        break;
    }
  }
}

bool FaultWindows::fault_affects(const Actor& a, const Actor& b, double from, double to) const {
  return actors_.overlap(a, from, to) || actors_.overlap(b, from, to) || shut_down_.overlap(a, from, from) ||
         shut_down_.overlap(b, from, from) || links_.overlap({a, b}, from, to) ||
         links_.overlap({b, a}, from, to);
}

}  // namespace thymewood::fleet
