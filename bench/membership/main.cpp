// thymewood_membership_table: the cost and the speed of failure detection in virtual time, for replica sets
// of several sizes and links that lose datagrams. See docs/operators/fleet-membership.md.
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "simulated_network.h"

namespace {

using namespace thymewood::membership;

constexpr double kMinWarmup = 60;      // s; one more per node above it
constexpr double kSteadyTime = 600;    // s, during which rates are measured
constexpr double kPartitionTime = 60;  // s
constexpr double kTimeLimit = 600;     // s for each wait
constexpr double kSecondsPerHour = 3600;
constexpr double kLinkDelay = 0.0005;  // s
constexpr int kLargeReplicaSet = 300;  // nodes; runs a fifth of the time and of the seeds
constexpr int kLargeReduction = 5;

double process_cpu_seconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

struct Row {
  double first_failure = 0;      // s until the first node has a stopped one as failed
  double all_failed = 0;         // s until all have
  double healed = 0;             // s after a partition until no node is failed
  double false_suspicions = 0;   // per hour, over all nodes
  double false_failures = 0;     // per hour, over all nodes
  double bytes_per_second = 0;   // sent, per node
  double cpu_us_per_second = 0;  // per node, the simulation's own work included
};

struct Totals {
  std::uint64_t sent_bytes = 0;
  std::uint64_t suspicions = 0;
};

Totals totals_of(SimulatedNetwork& net) {
  Totals out;
  for (int i = 0; i < net.size(); ++i) {
    out.sent_bytes += net.detector(i).counters().sent_bytes;
    out.suspicions += net.detector(i).counters().suspicions;
  }
  return out;
}

// Rates without any stopped node.
void measure_steady_state(SimulatedNetwork& net, Row& row) {
  const Totals before = totals_of(net);
  const int failures_before = net.false_failures();
  const double duration = net.size() >= kLargeReplicaSet ? kSteadyTime / kLargeReduction : kSteadyTime;
  const double cpu_before = process_cpu_seconds();
  net.run(duration);
  row.cpu_us_per_second = 1e6 * (process_cpu_seconds() - cpu_before) / duration / net.size();
  const Totals after = totals_of(net);
  row.bytes_per_second = static_cast<double>(after.sent_bytes - before.sent_bytes) / duration / net.size();
  row.false_suspicions =
      static_cast<double>(after.suspicions - before.suspicions) * kSecondsPerHour / duration;
  row.false_failures = (net.false_failures() - failures_before) * kSecondsPerHour / duration;
}

bool is_failed_anywhere(SimulatedNetwork& net, NodeId id) {
  for (int i = 0; i < net.size(); ++i) {
    if (i != id && net.detector(i).record(id).state == MemberState::kFailed) return true;
  }
  return false;
}

bool has_no_failed_node(SimulatedNetwork& net) {
  for (int i = 0; i < net.size(); ++i) {
    for (int k = 0; k < net.size(); ++k) {
      if (net.detector(i).record(static_cast<NodeId>(k)).state >= MemberState::kFailed) return false;
    }
  }
  return true;
}

void measure_detection(SimulatedNetwork& net, NodeId id, Row& row) {
  const double stopped_at = net.now();
  net.kill(id);
  net.run_until(kTimeLimit, [&] { return is_failed_anywhere(net, id); });
  row.first_failure = net.now() - stopped_at;
  net.run_until(kTimeLimit, [&] { return net.all_see(id, MemberState::kFailed); });
  row.all_failed = net.now() - stopped_at;
}

// A third of the nodes is partitioned for a minute.
void measure_healing(SimulatedNetwork& net, Row& row) {
  net.delivers = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
  net.run(kPartitionTime);
  net.delivers = {};
  const double healed_at = net.now();
  net.run_until(kTimeLimit, [&] { return has_no_failed_node(net); });
  row.healed = net.now() - healed_at;
}

Row measure(int node_count, double loss, std::uint64_t seed) {
  Row out;
  SimulatedNetwork net(node_count, seed);
  net.links.loss = loss;
  net.links.delay = kLinkDelay;
  net.start_all();
  net.run(std::max(kMinWarmup, node_count * 1.0));
  measure_steady_state(net, out);
  const auto stopped = static_cast<NodeId>(node_count / 2);
  measure_detection(net, stopped, out);
  net.start(stopped);
  net.run(kMinWarmup);
  measure_healing(net, out);
  return out;
}

void print_mean(int node_count, double loss, std::uint64_t runs) {
  Row mean;
  double slowest = 0;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    const Row row = measure(node_count, loss, seed);
    const double weight = 1 / static_cast<double>(runs);
    mean.first_failure += row.first_failure * weight;
    mean.all_failed += row.all_failed * weight;
    slowest = std::max(slowest, row.all_failed);
    mean.healed += row.healed * weight;
    mean.false_suspicions += row.false_suspicions * weight;
    mean.false_failures += row.false_failures * weight;
    mean.bytes_per_second += row.bytes_per_second * weight;
    mean.cpu_us_per_second += row.cpu_us_per_second * weight;
  }
  std::printf("| %d | %.0f | %.1f | %.1f (most %.1f) | %.1f | %.1f | %.1f | %.0f | %.0f |\n", node_count,
              100 * loss, mean.first_failure, mean.all_failed, slowest, mean.healed, mean.false_suspicions,
              mean.false_failures, mean.bytes_per_second, mean.cpu_us_per_second);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
  std::printf(
      "| nodes | loss %% | first fails it, s | all fail it, s | healed, s | suspicions an hour | failures an "
      "hour | "
      "bytes/s a node | CPU us/s a node |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int node_count : {3, 30, kLargeReplicaSet}) {
    const bool is_large = node_count >= kLargeReplicaSet;
    const std::uint64_t runs = is_large ? std::max<std::uint64_t>(1, seeds / kLargeReduction) : seeds;
    for (const double loss : {0.0, 0.05, 0.2}) print_mean(node_count, loss, runs);
  }
  return 0;
}
