// The adaptive concurrency limit in complete scenarios in virtual time: below the servers' capacity (almost)
// nothing is rejected, beyond it goodput matches the capacity, and no rule is ever violated. The scenarios
// are those of bench/scenarios, with fixed seeds, so the figures are the same each time.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

#include "player.h"

namespace thymewood::bench {
namespace {

constexpr std::uint64_t kSeed = 7;

Scenario scenario_of(const std::string& name, double times, double seconds = 0) {
  Scenario s = read_scenario(std::string(SCENARIOS) + "/" + name + ".toml", times);
  if (seconds > 0) s.seconds = seconds;
  return s;
}

struct Case {
  std::string name;
  double times = 1;
  double seconds = 0;  // 0: as in the file
  double bound = 0;    // maximum shed share, or minimum goodput share
};

// Used by GoogleTest to print parameters.
void PrintTo(const Case& c, std::ostream* out) { *out << c.name << " x " << c.times; }

std::string name_of(const testing::TestParamInfo<Case>& info) {
  return info.param.name + "_" + std::to_string(static_cast<int>(info.param.times * 100));
}

// ---------------------------------------------------------------- below capacity

Report play_and_check(const Case& c) {
  const Report r = play(scenario_of(c.name, c.times, c.seconds), Front::kModule, kSeed);
  EXPECT_GT(r.offered, 0);
  EXPECT_EQ(r.violation_count, 0u) << r.violations[0];
  if (!c.name.starts_with("day_")) {
    EXPECT_EQ(r.failed, 0);
  }
  return r;
}

class BelowCapacity : public testing::TestWithParam<Case> {};

TEST_P(BelowCapacity, NothingIsRejected) {
  EXPECT_LE(play_and_check(GetParam()).shed_share(), GetParam().bound);
}

constexpr double kMaxShedShare = 0.001;

INSTANTIATE_TEST_SUITE_P(
    Scenarios, BelowCapacity,
    testing::Values(Case{"steady", 0.1, 0, kMaxShedShare}, Case{"steady", 0.8, 0, kMaxShedShare},
                    Case{"quick", 0.5, 8, kMaxShedShare}, Case{"quick", 0.8, 8, kMaxShedShare},
                    Case{"slow", 0.5, 0, 0.01},  // only some hundred requests: a few are a percent
                    Case{"two_classes", 0.5, 20, kMaxShedShare}, Case{"bimodal", 0.1, 0, kMaxShedShare},
                    Case{"bimodal", 0.8, 15, kMaxShedShare}, Case{"one_fast", 0.5, 15, kMaxShedShare},
                    Case{"one_fast", 0.8, 15, kMaxShedShare}, Case{"copies_200", 0.5, 12, kMaxShedShare},
                    Case{"copies_200", 0.8, 10, kMaxShedShare},
                    Case{"capacity_steps", 0.4, 0, kMaxShedShare},  // capacity is halved for a while
                    Case{"shared_slow", 0.25, 0, kMaxShedShare},    // capacity drops to a third for a while
                    Case{"burst", 0.8, 0, kMaxShedShare}, Case{"crowding", 0.8, 20, kMaxShedShare},
                    Case{"tenants", 0.8, 20, kMaxShedShare}, Case{"drains", 0.5, 40, kMaxShedShare},
                    Case{"drains", 0.8, 40, kMaxShedShare}, Case{"wide", 0.8, 5, kMaxShedShare},
                    Case{"seldom", 1, 0, 0}, Case{"idle_hour", 0.8, 0, kMaxShedShare},
                    Case{"closed_8", 1, 0, 0}, Case{"closed_32", 1, 0, 0}, Case{"closed_128", 1, 0, 0}),
    name_of);

// ---------------------------------------------------------------- beyond capacity

class BeyondCapacity : public testing::TestWithParam<Case> {};

TEST_P(BeyondCapacity, GoodputMatchesServerCapacity) {
  EXPECT_GE(play_and_check(GetParam()).goodput_share(), GetParam().bound);
}

constexpr double kMinGoodputShare = 0.95;

INSTANTIATE_TEST_SUITE_P(
    Scenarios, BeyondCapacity,
    testing::Values(Case{"steady", 1.2, 20, kMinGoodputShare}, Case{"steady", 2, 20, kMinGoodputShare},
                    Case{"steady", 5, 15, kMinGoodputShare}, Case{"quick", 1.2, 8, kMinGoodputShare},
                    Case{"quick", 2, 8, kMinGoodputShare}, Case{"bimodal", 1.2, 15, kMinGoodputShare},
                    Case{"bimodal", 2, 15, kMinGoodputShare}, Case{"one_fast", 1.2, 15, kMinGoodputShare},
                    Case{"one_fast", 2, 15, kMinGoodputShare}, Case{"crowding", 1.2, 0, 0.92},
                    Case{"crowding", 2, 0, 0.93}, Case{"crowding", 5, 20, kMinGoodputShare},
                    Case{"copies_200", 1.2, 8, kMinGoodputShare}, Case{"copies_200", 2, 16, kMinGoodputShare},
                    Case{"capacity_steps", 1.2, 0, kMinGoodputShare},
                    Case{"capacity_steps", 2, 0, kMinGoodputShare},
                    Case{"shared_slow", 1.2, 0, kMinGoodputShare},
                    Case{"shared_slow", 2, 0, kMinGoodputShare}, Case{"burst", 2, 0, kMinGoodputShare},
                    Case{"tenants", 2, 20, kMinGoodputShare}, Case{"drains", 1.2, 0, kMinGoodputShare},
                    Case{"drains", 2, 40, kMinGoodputShare},
                    // Not yet at the target of 0.95; see docs/design/learned-room.md.
                    Case{"slow", 1.2, 0, 0.8}, Case{"slow", 2, 0, 0.8}, Case{"two_classes", 2, 20, 0.9},
                    Case{"wide", 1.2, 6, 0.85}),
    name_of);

TEST(ConcurrencyLimit, GoodputDoesNotFallAsLoadRises) {
  const auto goodput_share = [](double times) {
    return play(scenario_of("steady", times, 15), Front::kModule, kSeed).goodput_share();
  };
  const double least = goodput_share(1.2);
  EXPECT_GE(goodput_share(2), least - 0.03);
  EXPECT_GE(goodput_share(5), least - 0.03);
  // Without the load balancer, the same load overloads the servers.
  EXPECT_LT(play(scenario_of("steady", 1.2, 15), Front::kDirect, kSeed).goodput_share(), 0.3);
}

TEST(ConcurrencyLimit, GoodputIsStable) {
  const Report r = play(scenario_of("steady", 2, 30), Front::kModule, kSeed);
  for (std::size_t i = 5; i < r.seconds.size(); ++i)
    EXPECT_GE(r.seconds[i].in_time, 0.8 * r.seconds[i].capacity) << "in second " << i;
}

// ---------------------------------------------------------------- faults of servers and replicas

class FaultScenarios : public testing::TestWithParam<Case> {};

TEST_P(FaultScenarios, GoodputMatchesTheCapacityOfHealthyServers) {
  EXPECT_GE(play_and_check(GetParam()).goodput_share(), GetParam().bound);
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, FaultScenarios,
    testing::Values(
        Case{"day_replaced", 0.5, 0, 0.99}, Case{"day_replaced", 0.7, 0, 0.99},
        Case{"day_failing", 0.5, 0, 0.97}, Case{"day_failing", 0.7, 0, 0.97},
        Case{"day_silent", 0.5, 0, 0.98}, Case{"day_silent", 0.7, 0, 0.98},
        // The requests in flight at the killed replica, and those that arrive while none runs, are lost.
        Case{"day_restart", 0.5, 0, 0.95}, Case{"day_restart", 0.7, 0, 0.95},
        Case{"day_half_gone", 0.5, 0, 0.98}, Case{"day_half_gone", 0.7, 0, 0.97}),
    name_of);

// A replica that starts under full load must not take the latency of its first responses, all of which
// queued, for the idle latency of the tier.
TEST(ConcurrencyLimit, ReplicaRestartedUnderLoadRecoversWithinASecond) {
  const Report r = play(scenario_of("day_restart", 0.7), Front::kModule, kSeed);
  for (const std::size_t up : {12U, 29U, 44U}) {
    for (std::size_t i = up + 2; i < up + 6; ++i)
      EXPECT_LE(r.seconds[i].rejected + r.seconds[i].failed, 0.01 * r.seconds[i].offered)
          << "in second " << i;
  }
}

// Compared with an oracle that knows each server's capacity and load.
TEST(ConcurrencyLimit, ServerTenTimesFasterGetsItsShare) {
  const Scenario s = scenario_of("one_fast", 0.8, 15);
  const Report r = play(s, Front::kModule, kSeed), oracle = play(s, Front::kOracle, kSeed);
  EXPECT_EQ(oracle.rejected + oracle.failed, 0);
  EXPECT_LE(r.latency.quantile(0.99), 1.5 * oracle.latency.quantile(0.99));
}

// A twentieth of these requests exceed the latency objective by their service time alone, which no load
// balancer can change.
TEST(ConcurrencyLimit, LatencyObjectiveOfThreeTimesTheMeanCausesNoRejections) {
  for (const double times : {0.5, 0.8, 0.9}) {
    const Scenario s = scenario_of("tight", times);
    const Report r = play(s, Front::kModule, kSeed), oracle = play(s, Front::kOracle, kSeed);
    EXPECT_LE(r.shed_share(), 0.015) << times;
    EXPECT_GE(r.goodput_share(), oracle.goodput_share() - 0.02) << times;
    EXPECT_EQ(r.violation_count, 0U);
  }
  EXPECT_GE(play(scenario_of("tight", 2), Front::kModule, kSeed).goodput_share(), 0.88) << "beyond capacity";
}

// Guards against a node that, after an idle period, keeps rejecting most requests of only eight clients.
TEST(ConcurrencyLimit, IdlePeriodDoesNotCausePersistentRejections) {
  for (const char* name : {"closed_8", "closed_32", "closed_128"}) {
    const Report r = play(scenario_of(name, 1), Front::kModule, kSeed);
    const Scenario s = scenario_of(name, 1);
    for (std::size_t i = 35; i + 1 < r.seconds.size(); ++i) {
      EXPECT_EQ(r.seconds[i].shed, 0) << name << " in second " << i;
      EXPECT_GT(r.seconds[i].in_time, 45 * s.closed_loops[0].count) << name << " in second " << i;
    }
  }
}

TEST(ConcurrencyLimit, RecoversFullyAfterASharedDependencyDoes) {
  const Report r = play(scenario_of("shared_slow", 0.8), Front::kModule, kSeed);
  for (std::size_t i = 30; i < r.seconds.size(); ++i)
    EXPECT_LE(r.seconds[i].shed, 0.01 * r.seconds[i].offered) << "in second " << i;
}

TEST(ConcurrencyLimit, RunIsDeterminedByTheSeed) {
  const auto once = [](std::uint64_t seed) {
    return play(scenario_of("crowding", 2, 8), Front::kModule, seed);
  };
  const Report a = once(3), b = once(3), c = once(4);
  EXPECT_EQ(a.in_time, b.in_time);
  EXPECT_EQ(a.latency.quantile(0.99), b.latency.quantile(0.99));
  EXPECT_NE(a.offered, c.offered);
}

}  // namespace
}  // namespace thymewood::bench
