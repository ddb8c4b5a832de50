// Whether memory and descriptors of nodes are back at their level once all is over.
#include <algorithm>
#include <limits>
#include <map>

#include "checkers.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
constexpr double kBefore = 2;  // s of a run without a disturbance; less says nothing of a level
constexpr double kAfter = 8;   // s; idle connections are closed within 5, then what was held for them is free
constexpr double kMoreDescriptors = 1.5, kFewDescriptors = 32;
constexpr double kMoreMemory = 1.25, kLittleMemory = 8192;  // kB; an allocator keeps some of what it had

bool disturbs(const Record& r) {
  switch (r.what) {
    case What::kFault:
    case What::kHealed:
    case What::kTerm:
      return true;
    case What::kUp:
    case What::kDown:
      return r.t > 0;  // before, all start
    default:
      return false;
  }
}

}  // namespace

void check_usage(const History& history, const Rules&, Verdict& verdict) {
  double first = std::numeric_limits<double>::infinity(), last = 0, end = 0;
  for (const Record& r : history.records) {
    if (disturbs(r)) {
      first = std::min(first, r.t);
      last = std::max(last, r.t);
    }
    if (r.what == What::kUsage) end = r.t;
  }
  if (first < kBefore || end < last + kAfter) return;
  double descriptors = 0, memory = 0;
  std::map<Actor, const Record*> newest;
  for (const Record& r : history.records) {
    if (r.what != What::kUsage) continue;
    newest[r.by] = &r;
    if (r.t >= first) continue;
    descriptors = std::max<double>(descriptors, r.count - r.tier);
    memory = std::max<double>(memory, r.status);
  }
  if (descriptors == 0) {
    verdict.blind.emplace_back("no node's usage before the first fault");
    return;
  }
  for (const auto& [actor, r] : newest) {
    if (r->t < end - 2) continue;         // it had ended
    const int held = r->count - r->tier;  // what clients keep open is theirs to close
    if (held > kMoreDescriptors * descriptors + kFewDescriptors)
      verdict.broken.push_back({"levels",
                                bench::name_of(actor) + " holds " + std::to_string(held) +
                                    " descriptors at the end, and none held more than " +
                                    std::to_string(static_cast<int>(descriptors)) + " before",
                                r->t});
    if (r->status > kMoreMemory * memory + kLittleMemory)
      verdict.broken.push_back({"levels",
                                bench::name_of(actor) + " takes " + std::to_string(r->status) +
                                    " kB at the end, and none took more than " +
                                    std::to_string(static_cast<int>(memory)) + " before",
                                r->t});
  }
}

}  // namespace thymewood::fleet
