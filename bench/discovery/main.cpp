// How soon the nodes of a fleet have a list again after an outage of discovery: a table, in virtual time.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>

#include "reconnect_herd.h"
#include "watch_backoff.h"

namespace {

namespace tb = thymewood::bench;

constexpr int kSeeds = 20;
constexpr double kPollInterval = 10;  // s

// Exponential from half a second to half of the time that a list may be used, as before the incident.
struct Exponential {
  double next = 0.5;
  double operator()(const std::optional<thymewood::WatchFailure>&, thymewood::Random& random) {
    const double pause = next * (0.5 + random.unit() / 2);
    next = std::min(next * 2, kPollInterval / 2);
    return pause;
  }
};

template <typename MakePolicy>
void print_row(const tb::HerdPlan& plan, const char* name, const MakePolicy& make_policy) {
  double within_2 = 0, within_4 = 0, within_6 = 0, within_12 = 0, last = 0, rejected = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const tb::HerdResult r = tb::simulate_herd(plan, make_policy, static_cast<std::uint64_t>(seed));
    within_2 += r.share_within(2) / kSeeds;
    within_4 += r.share_within(4) / kSeeds;
    within_6 += r.share_within(6) / kSeeds;
    within_12 += r.share_within(12) / kSeeds;
    last = std::max(last, r.last());
    rejected += static_cast<double>(r.rejected) / plan.nodes / kSeeds;
  }
  std::printf("| %d | %.0f | %.1f | %.0f | %.1f | %s | %.2f | %.2f | %.2f | %.2f | %.1f | %.2f |\n",
              plan.nodes, plan.work_of_all, plan.max_wait, plan.outage, plan.lost_work, name, within_2,
              within_4, within_6, within_12, last, rejected);
}

}  // namespace

int main() {
  std::puts(
      "| nodes | one call of each, s | longest wait, s | outage, s | lost work | pauses | 2 s | 4 s | 6 s | "
      "12 s | "
      "last, s | turned away a node |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
      "--- |");
  for (const int nodes : {50, 300, 900}) {
    for (const double work_of_all : {2.0, 8.0}) {
      for (const double outage : {8.0, 60.0}) {
        for (const double lost_work : {1.0, 2.0}) {
          tb::HerdPlan plan;
          plan.nodes = nodes;
          plan.work_of_all = work_of_all;
          plan.outage = outage;
          plan.lost_work = lost_work;
          plan.restarted_part = 0.1;
          print_row(plan, "0.5 to 5 s", [] { return tb::BackoffPolicy(Exponential{}); });
          print_row(plan, "WatchRetry", [] {
            const auto retry = std::make_shared<thymewood::WatchBackoff>(kPollInterval);
            return tb::BackoffPolicy(
                [retry](const auto& failure, auto& random) { return retry->next_delay(failure, random); });
          });
        }
      }
    }
  }
}
