// Simulates, in virtual time, a fleet of nodes that request the endpoint list from one discovery service
// after an outage. All watches end when the outage begins. Discovery serves calls in order of arrival. A call
// that would wait too long is rejected after the maximum wait, and the work on it is wasted.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

#include "random.h"
#include "thymewood/balancer.h"

namespace thymewood::bench {

struct HerdPlan {
  int nodes = 300;
  double work_of_all = 6;           // s; discovery's total work for one call from each node
  double max_wait = 2;              // s; a call that would wait longer is rejected
  double outage = 8;                // s
  double rejected_work_factor = 1;  // work wasted on a rejected call, relative to an answered call
  double restarted_part = 0;  // fraction of the nodes that restart `restart_delay` s after the outage ends
  double restart_delay = 3;   // s
  double horizon = 60;        // s after the outage ends
};

struct HerdResult {
  std::vector<double> recovered_after;  // s after the outage ended or the node restarted; infinite: never
  int rejected = 0;                     // calls rejected after the outage ended
  double share_within(double seconds) const {
    const auto n = std::count_if(recovered_after.begin(), recovered_after.end(),
                                 [seconds](double after) { return after <= seconds; });
    return static_cast<double>(n) / static_cast<double>(recovered_after.size());
  }
  double last() const { return *std::max_element(recovered_after.begin(), recovered_after.end()); }
};

// Returns the delay of one node before its next call, in seconds. An empty optional means that nothing is
// known about the failure, as for WatchBackoff; the simulation always passes a failure.
using BackoffPolicy = std::function<double(const std::optional<WatchFailure>&, Random&)>;

// `make_policy` creates the policy of each process: one for each node, and a new one when a node restarts.
template <typename MakePolicy>
HerdResult simulate_herd(const HerdPlan& plan, const MakePolicy& make_policy, std::uint64_t seed) {
  struct Call {
    double at;
    int node, process;
    bool operator>(const Call& other) const { return at > other.at; }
  };
  constexpr double kNever = std::numeric_limits<double>::infinity();
  const double outage_end = plan.outage, restart = plan.outage + plan.restart_delay;
  const double work = plan.work_of_all / plan.nodes;
  const int restarted = static_cast<int>(plan.restarted_part * plan.nodes);
  Random random(seed);
  std::vector<BackoffPolicy> policies;
  std::vector<int> process(static_cast<std::size_t>(plan.nodes), 0);
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (int i = 0; i < plan.nodes; ++i) {
    policies.push_back(make_policy());
    calls.push({policies.back()(WatchFailure{true, 0}, random), i, 0});
    if (i < restarted) calls.push({restart, i, 1});
  }
  HerdResult out;
  out.recovered_after.assign(static_cast<std::size_t>(plan.nodes), kNever);
  double free_at = 0;
  while (!calls.empty() && calls.top().at < outage_end + plan.horizon) {
    const Call call = calls.top();
    calls.pop();
    const auto node = static_cast<std::size_t>(call.node);
    if (call.process > process[node]) {
      process[node] = call.process;
      policies[node] = make_policy();
      out.recovered_after[node] = kNever;
    }
    if (call.process < process[node]) continue;
    bool answered = false;
    if (call.at >= outage_end) {
      const double wait = std::max(0.0, free_at - call.at) + work;
      answered = wait <= plan.max_wait;
      free_at = std::max(free_at, call.at) + work * (answered ? 1 : plan.rejected_work_factor);
      const double start = call.process > 0 ? restart : outage_end;
      if (answered) out.recovered_after[node] = call.at + wait - start;
      if (!answered) ++out.rejected;
    }
    if (answered) continue;
    const double failed_at = call.at + plan.max_wait;
    calls.push(
        {failed_at + policies[node](WatchFailure{false, plan.max_wait}, random), call.node, call.process});
  }
  return out;
}

}  // namespace thymewood::bench
