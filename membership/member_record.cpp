#include "member_record.h"

namespace thymewood::membership {

const char* name_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kFailed:
      return "failed";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace thymewood::membership
