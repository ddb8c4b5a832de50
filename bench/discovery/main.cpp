// Prints a table of how soon the nodes of a fleet receive an endpoint list again after a discovery outage,
// simulated in virtual time.
#include <algorithm>
#include <cstdio>
#include <string>

#include "reconnect_herd.h"

namespace {

namespace bench = thymewood::bench;

constexpr int kSeeds = 20;
constexpr double kPollInterval = 10;  // s
constexpr double kLease = 6.35;       // s; on a list after a call that was not answered

// The exponential backoff in use before the incident: from half a second up to half of the time for which an
// endpoint list may be used.
struct ExponentialBackoff {
  double next_delay = 0.5;
  thymewood::WatchBackoff::NextCall operator()(const thymewood::WatchFailure&, double,
                                               thymewood::Random& random) {
    const double delay = next_delay * (0.5 + random.unit() / 2);
    next_delay = std::min(next_delay * 2, kPollInterval / 2);
    return {thymewood::DiscoveryCall::kWatch, delay};
  }
};

template <typename MakePolicy>
void print_row(const bench::HerdPlan& plan, const char* name, const MakePolicy& make_policy) {
  double within_2 = 0, within_4 = 0, within_6 = 0, within_12 = 0, last = 0, watching = 0, rejected = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const bench::HerdResult r = bench::simulate_herd(plan, make_policy, static_cast<std::uint64_t>(seed));
    within_2 += r.share_within(2) / kSeeds;
    within_4 += r.share_within(4) / kSeeds;
    within_6 += r.share_within(6) / kSeeds;
    within_12 += r.share_within(12) / kSeeds;
    last = std::max(last, r.last());
    watching = std::max(watching, r.last_watching());
    rejected += static_cast<double>(r.rejected) / plan.nodes / kSeeds;
  }
  std::printf("| %d | %.0f | %.1f | %.0f | %.1f | %s | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.2f |\n",
              plan.nodes, plan.work_of_all, plan.max_wait, plan.outage, plan.rejected_work_factor, name,
              within_2, within_4, within_6, within_12, last, watching, rejected);
}

}  // namespace

int main() {
  std::puts(
      "| nodes | one call per node, s | max wait, s | outage, s | rejected work | backoff | "
      "2 s | 4 s | 6 s | 12 s | last, s | last watch, s | rejected per node |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  for (const int nodes : {50, 300, 900}) {
    for (const double work_of_all : {2.0, 8.0}) {
      for (const double outage : {8.0, 60.0}) {
        for (const double rejected_work_factor : {1.0, 2.0}) {
          bench::HerdPlan plan;
          plan.nodes = nodes;
          plan.work_of_all = work_of_all;
          plan.outage = outage;
          plan.rejected_work_factor = rejected_work_factor;
          plan.restarted_part = 0.1;
          print_row(plan, "0.5 to 5 s", [] { return bench::BackoffPolicy{ExponentialBackoff{}, {}}; });
          print_row(plan, "WatchBackoff", [] { return bench::make_watch_backoff(kPollInterval, kLease); });
        }
      }
    }
  }
}
