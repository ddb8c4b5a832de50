#include "run_checkers.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string>

namespace thymewood::fleet {
namespace {

using What = Record::What;
constexpr double kMinBaseline = 2;      // s before the first fault that a baseline needs
constexpr double kSettleTime = 8;       // s; idle connections close within 5 s, and then release their memory
constexpr double kMaxLastUsageAge = 2;  // s at the end of the run; an older last record: the node had ended
constexpr double kDescriptorFactor = 1.5, kDescriptorMargin = 32;
constexpr double kMemoryFactor = 1.25, kMemoryMarginKb = 8192;  // the allocator retains freed memory

bool is_disturbance(const Record& r) {
  switch (r.what) {
    case What::kFault:
    case What::kFaultEnded:
    case What::kTerm:
      return true;
    case What::kUp:
    case What::kDown:
      return r.t > 0;  // all actors start before time 0
    default:
      return false;
  }
}

}  // namespace

void CompletenessChecker::check() {
  bool begun = false;
  std::set<Actor> open;
  for (const Record& r : history_.records) {
    if (r.what == What::kBegin) begun = true;
    if (r.what == What::kActorJoined) open.insert(r.by);
    if (r.what == What::kClosed) open.erase(r.by);
    if (r.what == What::kLate) verdict_.max_lateness = std::max(verdict_.max_lateness, r.work);
    if (r.what == What::kCrash)
      verdict_.violations.push_back({"crash", bench::name_of(r.by) + ": " + r.note, r.t});
  }
  if (!begun) verdict_.missing_input.emplace_back("the history has no record of the beginning of the run");
  if (history_.unparsed_lines > 0)
    verdict_.missing_input.push_back(std::to_string(history_.unparsed_lines) +
                                     " lines of the history could not be parsed");
  for (const Actor& actor : open)
    verdict_.missing_input.push_back(bench::name_of(actor) + " did not write its last record");
  verdict_.void_run = verdict_.max_lateness > rules_.max_rig_lateness;
}

UsageChecker::Phases UsageChecker::phases() const {
  Phases out;
  out.first_fault = std::numeric_limits<double>::infinity();
  for (const Record& r : history_.records) {
    if (is_disturbance(r)) {
      out.first_fault = std::min(out.first_fault, r.t);
      out.last_fault = std::max(out.last_fault, r.t);
    }
    if (r.what == What::kUsage) out.end = r.t;
  }
  return out;
}

UsageChecker::Baseline UsageChecker::baseline_before(double first_fault) const {
  Baseline out;
  for (const Record& r : history_.records) {
    if (r.what != What::kUsage || r.t >= first_fault) continue;
    out.descriptors = std::max<double>(out.descriptors, r.count - r.tier);
    out.memory_kb = std::max<double>(out.memory_kb, r.status);
  }
  return out;
}

void UsageChecker::check() {
  const Phases phases = this->phases();
  if (phases.first_fault < kMinBaseline || phases.end < phases.last_fault + kSettleTime) return;
  const Baseline before = baseline_before(phases.first_fault);
  if (before.descriptors == 0) {
    verdict_.missing_input.emplace_back("no node recorded its usage before the first fault");
    return;
  }
  std::map<Actor, const Record*> last_usage;
  for (const Record& r : history_.records) {
    if (r.what == What::kUsage) last_usage[r.by] = &r;
  }
  for (const auto& [actor, usage] : last_usage) {
    if (usage->t >= phases.end - kMaxLastUsageAge) check_node(*usage, before);
  }
}

void UsageChecker::check_node(const Record& usage, const Baseline& before) {
  const int descriptors = usage.count - usage.tier;  // without those that clients keep open
  if (descriptors > kDescriptorFactor * before.descriptors + kDescriptorMargin)
    verdict_.violations.push_back({"levels",
                                   bench::name_of(usage.by) + " has " + std::to_string(descriptors) +
                                       " descriptors open at the end; no node had more than " +
                                       std::to_string(static_cast<int>(before.descriptors)) +
                                       " before the first fault",
                                   usage.t});
  if (usage.status > kMemoryFactor * before.memory_kb + kMemoryMarginKb)
    verdict_.violations.push_back({"levels",
                                   bench::name_of(usage.by) + " uses " + std::to_string(usage.status) +
                                       " kB of memory at the end; no node used more than " +
                                       std::to_string(static_cast<int>(before.memory_kb)) +
                                       " before the first fault",
                                   usage.t});
}

}  // namespace thymewood::fleet
