// thymewood_membership_table: what knowing each other costs and how fast it is, in virtual time, for fleets
// of several sizes and links that lose datagrams. See docs/operators/fleet-membership.md.
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "simulated_network.h"

namespace {

using namespace thymewood::membership;

constexpr double kWarm = 60, kQuiet = 600;  // s; before figures count, and of the quiet part

double cpu_s() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + 1e-9 * static_cast<double>(now.tv_nsec);
}

struct Row {
  double detect = 0, agree = 0, heal = 0;           // s
  double false_suspicions = 0, false_failures = 0;  // an hour, over the fleet
  double bytes = 0;                                 // a second a node, sent
  double cpu_us = 0;                                // a second a node, this simulation's own work included
};

Row play(int nodes, double loss, std::uint64_t seed) {
  Row out;
  SimulatedNetwork net(nodes, seed);
  net.links.loss = loss;
  net.links.delay = 0.0005;
  net.start_all();
  net.run(std::max(kWarm, nodes * 1.0));
  std::uint64_t bytes = 0, suspicions = 0;
  for (int i = 0; i < nodes; ++i) {
    bytes += net.detector(i).counters().sent_bytes;
    suspicions += net.detector(i).counters().suspicions;
  }
  const int failed = net.false_failures();
  const double quiet = nodes >= 300 ? kQuiet / 5 : kQuiet, cpu = cpu_s();
  net.run(quiet);
  out.cpu_us = 1e6 * (cpu_s() - cpu) / quiet / nodes;
  std::uint64_t bytes_then = 0, suspicions_then = 0;
  for (int i = 0; i < nodes; ++i) {
    bytes_then += net.detector(i).counters().sent_bytes;
    suspicions_then += net.detector(i).counters().suspicions;
  }
  constexpr double kHour = 3600;
  out.bytes = static_cast<double>(bytes_then - bytes) / quiet / nodes;
  out.false_suspicions = static_cast<double>(suspicions_then - suspicions) * kHour / quiet;
  out.false_failures = (net.false_failures() - failed) * kHour / quiet;
  // One dies: when the first holds it to have failed, and when all do.
  const NodeId dead = static_cast<NodeId>(nodes / 2);
  const double died = net.now();
  net.kill(dead);
  net.run_until(600, [&] {
    for (int i = 0; i < nodes; ++i) {
      if (i != dead && net.detector(i).record(dead).state == MemberState::kFailed) return true;
    }
    return false;
  });
  out.detect = net.now() - died;
  net.run_until(600, [&] { return net.all_see(dead, MemberState::kFailed); });
  out.agree = net.now() - died;
  // A third is cut off for a minute and healed.
  net.start(dead);
  net.run(60);
  net.delivers = [](int from, int to) { return (from % 3 == 1) == (to % 3 == 1); };
  net.run(60);
  net.delivers = {};
  const double healed = net.now();
  const auto whole = [&] {
    for (int i = 0; i < nodes; ++i) {
      for (int k = 0; k < nodes; ++k) {
        if (net.detector(i).record(static_cast<NodeId>(k)).state >= MemberState::kFailed) return false;
      }
    }
    return true;
  };
  net.run_until(600, whole);
  out.heal = net.now() - healed;
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
  std::printf(
      "| nodes | loss %% | first fails it, s | all fail it, s | healed, s | suspicions an hour | failures an "
      "hour | "
      "bytes/s a node | CPU us/s a node |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const int nodes : {3, 30, 300}) {
    for (const double loss : {0.0, 0.05, 0.2}) {
      Row sum;
      double slowest = 0;
      const std::uint64_t plays = nodes >= 300 ? std::max<std::uint64_t>(1, seeds / 5) : seeds;
      for (std::uint64_t seed = 1; seed <= plays; ++seed) {
        const Row row = play(nodes, loss, seed);
        const double part = 1 / static_cast<double>(plays);
        sum.detect += row.detect * part;
        sum.agree += row.agree * part;
        slowest = std::max(slowest, row.agree);
        sum.heal += row.heal * part;
        sum.false_suspicions += row.false_suspicions * part;
        sum.false_failures += row.false_failures * part;
        sum.bytes += row.bytes * part;
        sum.cpu_us += row.cpu_us * part;
      }
      std::printf("| %d | %.0f | %.1f | %.1f (most %.1f) | %.1f | %.1f | %.1f | %.0f | %.0f |\n", nodes,
                  100 * loss, sum.detect, sum.agree, slowest, sum.heal, sum.false_suspicions,
                  sum.false_failures, sum.bytes, sum.cpu_us);
      std::fflush(stdout);
    }
  }
  return 0;
}
