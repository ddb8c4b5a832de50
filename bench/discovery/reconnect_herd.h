// Many nodes that ask one discovery for its list, in virtual time: it was down, all watches have ended, and
// it is back. Calls are worked through in turn; one that would wait for too long is rejected after that
// time, and its work is lost.
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
  double work_of_all = 6;     // s; discovery's work for one call of each node
  double max_wait = 2;        // s; a call that would wait longer is rejected
  double outage = 8;          // s
  double lost_work = 1;       // of a call's work, for one that is rejected
  double restarted_part = 0;  // of the nodes; they start anew `restart_after` s after the outage's end
  double restart_after = 3;   // s
  double horizon = 60;        // s after the outage's end
};

struct HerdResult {
  std::vector<double> recovered_after;  // s after the outage's end, or the node's start; infinite: never
  int rejected = 0;                     // after the outage's end
  double share_within(double seconds) const {
    const auto n = std::count_if(recovered_after.begin(), recovered_after.end(),
                                 [seconds](double after) { return after <= seconds; });
    return static_cast<double>(n) / static_cast<double>(recovered_after.size());
  }
  double last() const { return *std::max_element(recovered_after.begin(), recovered_after.end()); }
};

// The pause of one node before its next call.
using BackoffPolicy = std::function<double(const std::optional<WatchFailure>&, Random&)>;

// `make_policy` gives each process of a node its own.
template <typename MakePolicy>
HerdResult simulate_herd(const HerdPlan& plan, const MakePolicy& make_policy, std::uint64_t seed) {
  struct Call {
    double at;
    int node, process;
    bool operator>(const Call& other) const { return at > other.at; }
  };
  constexpr double kNever = std::numeric_limits<double>::infinity();
  const double back = plan.outage, restart = plan.outage + plan.restart_after;
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
  while (!calls.empty() && calls.top().at < back + plan.horizon) {
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
    if (call.at >= back) {
      const double wait = std::max(0.0, free_at - call.at) + work;
      answered = wait <= plan.max_wait;
      free_at = std::max(free_at, call.at) + work * (answered ? 1 : plan.lost_work);
      const double since = call.process > 0 ? restart : back;
      if (answered) out.recovered_after[node] = call.at + wait - since;
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
