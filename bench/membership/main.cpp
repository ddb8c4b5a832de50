// thymewood_membership_table: measures the cost and speed of failure detection in virtual time, for several
// replica set sizes and packet loss rates. See docs/operators/fleet-membership.md.
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "simulated_network.h"

namespace {

using namespace thymewood::membership;

constexpr double kMinWarmup = 60;      // seconds; or one second per node if that is longer
constexpr double kSteadyTime = 600;    // seconds over which rates are measured
constexpr double kPartitionTime = 60;  // seconds
constexpr double kTimeLimit = 600;     // seconds; for each wait
constexpr double kSecondsPerHour = 3600;
constexpr double kLinkDelay = 0.0005;  // seconds
// Replica sets with at least this many nodes are measured for a fifth of the time and with a fifth of the
// seeds.
constexpr int kLargeReplicaSet = 300;
constexpr int kLargeReplicaSetDivisor = 5;

double process_cpu_seconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

struct Measurement {
  double first_detection_time = 0;  // seconds until the first node marks the stopped node as failed
  double full_detection_time = 0;   // seconds until all nodes do
  double healing_time = 0;          // seconds from the end of a partition until no node is marked as failed
  double false_suspicions = 0;      // per hour, over all nodes
  double false_failures = 0;        // per hour, over all nodes
  double bytes_per_second = 0;      // bytes sent per node
  double cpu_us_per_second = 0;     // per node, including the simulation's own work
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

// Measures the rates while all nodes are running.
void measure_steady_state(SimulatedNetwork& net, Measurement& measurement) {
  const Totals before = totals_of(net);
  const int failures_before = net.false_failures();
  const double duration =
      net.size() >= kLargeReplicaSet ? kSteadyTime / kLargeReplicaSetDivisor : kSteadyTime;
  const double cpu_before = process_cpu_seconds();
  net.run(duration);
  measurement.cpu_us_per_second = 1e6 * (process_cpu_seconds() - cpu_before) / duration / net.size();
  const Totals after = totals_of(net);
  measurement.bytes_per_second =
      static_cast<double>(after.sent_bytes - before.sent_bytes) / duration / net.size();
  measurement.false_suspicions =
      static_cast<double>(after.suspicions - before.suspicions) * kSecondsPerHour / duration;
  measurement.false_failures = (net.false_failures() - failures_before) * kSecondsPerHour / duration;
}

bool is_failed_at_any_node(SimulatedNetwork& net, NodeId id) {
  for (int i = 0; i < net.size(); ++i) {
    if (i != id && net.detector(i).record(id).state == MemberState::kFailed) return true;
  }
  return false;
}

bool all_nodes_see_no_failure(SimulatedNetwork& net) {
  for (int i = 0; i < net.size(); ++i) {
    for (int k = 0; k < net.size(); ++k) {
      if (net.detector(i).record(static_cast<NodeId>(k)).state >= MemberState::kFailed) return false;
    }
  }
  return true;
}

void measure_detection(SimulatedNetwork& net, NodeId id, Measurement& measurement) {
  const double stopped_at = net.now();
  net.kill(id);
  net.run_until(kTimeLimit, [&] { return is_failed_at_any_node(net, id); });
  measurement.first_detection_time = net.now() - stopped_at;
  net.run_until(kTimeLimit, [&] { return net.all_see(id, MemberState::kFailed); });
  measurement.full_detection_time = net.now() - stopped_at;
}

// Partitions a third of the nodes for a minute.
void measure_healing(SimulatedNetwork& net, Measurement& measurement) {
  net.link_filter = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
  net.run(kPartitionTime);
  net.link_filter = {};
  const double healed_at = net.now();
  net.run_until(kTimeLimit, [&] { return all_nodes_see_no_failure(net); });
  measurement.healing_time = net.now() - healed_at;
}

Measurement measure(int node_count, double loss, std::uint64_t seed) {
  Measurement out;
  SimulatedNetwork net(node_count, seed);
  net.links.loss = loss;
  net.links.delay = kLinkDelay;
  net.start_all();
  net.run(std::max(kMinWarmup, node_count * 1.0));
  measure_steady_state(net, out);
  const auto stopped_node = static_cast<NodeId>(node_count / 2);
  measure_detection(net, stopped_node, out);
  net.start(stopped_node);
  net.run(kMinWarmup);
  measure_healing(net, out);
  return out;
}

void print_mean(int node_count, double loss, std::uint64_t runs) {
  Measurement mean;
  double slowest = 0;
  for (std::uint64_t seed = 1; seed <= runs; ++seed) {
    const Measurement measurement = measure(node_count, loss, seed);
    const double weight = 1 / static_cast<double>(runs);
    mean.first_detection_time += measurement.first_detection_time * weight;
    mean.full_detection_time += measurement.full_detection_time * weight;
    slowest = std::max(slowest, measurement.full_detection_time);
    mean.healing_time += measurement.healing_time * weight;
    mean.false_suspicions += measurement.false_suspicions * weight;
    mean.false_failures += measurement.false_failures * weight;
    mean.bytes_per_second += measurement.bytes_per_second * weight;
    mean.cpu_us_per_second += measurement.cpu_us_per_second * weight;
  }
  std::printf("| %d | %.0f | %.1f | %.1f (max %.1f) | %.1f | %.1f | %.1f | %.0f | %.0f |\n", node_count,
              100 * loss, mean.first_detection_time, mean.full_detection_time, slowest, mean.healing_time,
              mean.false_suspicions, mean.false_failures, mean.bytes_per_second, mean.cpu_us_per_second);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
  std::printf(
      "| nodes | loss %% | first detection, s | all detect, s | healed, s | suspicions per hour | "
      "failures per hour | bytes/s per node | CPU us/s per node |\n| --- | --- | --- | --- | --- | --- | --- "
      "| --- | --- |\n");
  for (const int node_count : {3, 30, kLargeReplicaSet}) {
    const bool is_large = node_count >= kLargeReplicaSet;
    const std::uint64_t runs = is_large ? std::max<std::uint64_t>(1, seeds / kLargeReplicaSetDivisor) : seeds;
    for (const double loss : {0.0, 0.05, 0.2}) print_mean(node_count, loss, runs);
  }
  return 0;
}
