// Simulates, in virtual time, a fleet of nodes that request the endpoint list from one discovery service
// after an outage. All watches end when the outage begins. Discovery serves calls in order of arrival. A call
// that would wait too long is rejected after the maximum wait, and the work on it is wasted.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "random.h"
#include "thymewood/balancer.h"
#include "watch_backoff.h"

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
  double list_lease = 6.35;   // s; how long a list may be used after it was current
};

struct HerdResult {
  // s after the outage ended or the node restarted; infinite: never
  std::vector<double> recovered_after;  // by a list or a watch
  std::vector<double> watching_after;
  int rejected = 0;  // calls rejected after the outage ended
  double share_within(double seconds) const {
    const auto n = std::count_if(recovered_after.begin(), recovered_after.end(),
                                 [seconds](double after) { return after <= seconds; });
    return static_cast<double>(n) / static_cast<double>(recovered_after.size());
  }
  double last_watching() const { return *std::max_element(watching_after.begin(), watching_after.end()); }
  double last() const { return *std::max_element(recovered_after.begin(), recovered_after.end()); }
};

// Decides the next call of one node, as WatchBackoff does. `list_validity` is in seconds.
struct BackoffPolicy {
  std::function<WatchBackoff::NextCall(const WatchFailure&, double list_validity, Random&)> next_call;
  // After a request for the list that was answered in `wait_time` s.
  std::function<WatchBackoff::NextCall(double wait_time, double list_validity, Random&)> next_call_after_list;
};

// The policy of the product. `lease`: s; how long a list may be used after it was last current, and after a
// call that was not answered.
inline BackoffPolicy make_watch_backoff(double poll_interval, double lease) {
  const auto backoff = std::make_shared<WatchBackoff>(poll_interval, lease);
  return {[backoff](const auto& failure, double validity, auto& random) {
            return backoff->next_call(failure, validity, random);
          },
          [backoff](double wait_time, double validity, auto& random) {
            backoff->reset();
            return backoff->next_call_after_list(wait_time, validity, random);
          }};
}

class HerdSimulation {
 public:
  // Creates the policy of each process: one for each node, and a new one when a node restarts.
  using MakePolicy = std::function<BackoffPolicy()>;

  HerdSimulation(const HerdPlan& plan, MakePolicy make_policy, std::uint64_t seed)
      : plan_(plan), make_policy_(std::move(make_policy)), random_(seed) {
    const auto nodes = static_cast<std::size_t>(plan.nodes);
    out_.recovered_after.assign(nodes, kNever);
    out_.watching_after.assign(nodes, kNever);
    nodes_.resize(nodes);
    const int restarted = static_cast<int>(plan.restarted_part * plan.nodes);
    for (int i = 0; i < plan.nodes; ++i) {
      Node& node = nodes_[static_cast<std::size_t>(i)];
      node.policy = make_policy_();
      const auto next = node.policy.next_call(WatchFailure{true, 0}, plan.list_lease, random_);
      calls_.push({next.delay, i, 0, next.call});
      if (i < restarted) calls_.push({restart_time(), i, 1, DiscoveryCall::kWatch});
    }
  }

  HerdResult run() {
    while (!calls_.empty() && calls_.top().at < plan_.outage + plan_.horizon) {
      const Call call = calls_.top();
      calls_.pop();
      if (call.process > node_of(call).process) restart(call);
      if (call.process < node_of(call).process) continue;
      if (const auto wait = process(call)) {
        on_answered(call, *wait);
      } else {
        on_failed(call);
      }
    }
    return out_;
  }

 private:
  static constexpr double kNever = std::numeric_limits<double>::infinity();

  struct Call {
    double at = 0;
    int node = 0, process = 0;
    DiscoveryCall kind = DiscoveryCall::kWatch;
    bool operator>(const Call& other) const { return at > other.at; }
  };
  struct Node {
    BackoffPolicy policy;
    int process = 0;
    double list_current_until = 0;
  };

  double restart_time() const { return plan_.outage + plan_.restart_delay; }
  Node& node_of(const Call& call) { return nodes_[static_cast<std::size_t>(call.node)]; }

  void restart(const Call& call) {
    const auto index = static_cast<std::size_t>(call.node);
    nodes_[index] = {make_policy_(), call.process, restart_time()};
    out_.recovered_after[index] = out_.watching_after[index] = kNever;
  }

  // Returns how long the call waits for its answer, in seconds; nothing if it fails.
  std::optional<double> process(const Call& call) {
    if (call.at < plan_.outage) return std::nullopt;
    const double work = plan_.work_of_all / plan_.nodes;
    const double wait = std::max(0.0, free_at_ - call.at) + work;
    const bool is_answered = wait <= plan_.max_wait;
    free_at_ = std::max(free_at_, call.at) + work * (is_answered ? 1 : plan_.rejected_work_factor);
    if (is_answered) return wait;
    ++out_.rejected;
    return std::nullopt;
  }

  void on_answered(const Call& call, double wait) {
    const auto index = static_cast<std::size_t>(call.node);
    const double answered_at = call.at + wait;
    const double after = answered_at - (call.process > 0 ? restart_time() : plan_.outage);
    out_.recovered_after[index] = std::min(out_.recovered_after[index], after);
    if (call.kind == DiscoveryCall::kWatch) {
      out_.watching_after[index] = after;
      return;
    }
    node_of(call).list_current_until = answered_at;
    push_next(call, answered_at, node_of(call).policy.next_call_after_list(wait, plan_.list_lease, random_));
  }

  void on_failed(const Call& call) {
    const double failed_at = call.at + plan_.max_wait;
    const double list_validity = node_of(call).list_current_until + plan_.list_lease - failed_at;
    const WatchFailure failure{false, plan_.max_wait, call.kind};
    push_next(call, failed_at, node_of(call).policy.next_call(failure, list_validity, random_));
  }

  void push_next(const Call& call, double now, const WatchBackoff::NextCall& next) {
    calls_.push({now + next.delay, call.node, call.process, next.call});
  }

  HerdPlan plan_;
  MakePolicy make_policy_;
  Random random_;
  std::vector<Node> nodes_;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls_;
  double free_at_ = 0;  // s; when discovery has processed all calls so far
  HerdResult out_;
};

inline HerdResult simulate_herd(const HerdPlan& plan, const HerdSimulation::MakePolicy& make_policy,
                                std::uint64_t seed) {
  return HerdSimulation(plan, make_policy, seed).run();
}

}  // namespace thymewood::bench
