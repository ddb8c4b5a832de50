// Runs nodes that are peers of each other as processes, with faults between them, and checks both their views
// of the replica set and the rules. The protocol's times are a fifth of the defaults to keep the runs short.
#include <algorithm>

#include "scenario_fixture.h"
#include "views.h"

namespace thymewood::fleet {
namespace {

const std::string kBaseScenario = std::string(R"(
seconds = 15
settle = 0
max_attempts = 4
max_retry_after_ms = 500
start_capacity = 0.32
ramp_s = 2
peers = true
views_within = 7
operators = """
[fleet]
enabled = true
period_ms = 200
answer_ms = 100
hold_ms = 400
calm_ms = 600
"""
)") + kTestClasses + R"(
[[node]]
count = 3
zone = 0
[[node]]
count = 2
zone = 1
[[servers]]
count = 3
workers = 4
queue = 20
zone = 0
cell = 0
cold = 0.32
ramp_s = 2
[[servers]]
count = 3
workers = 4
queue = 20
zone = 1
cell = 1
cold = 0.32
ramp_s = 2
[clients]
retries = 2
try_share = 0.5
wait_ms = 50
notice_s = 0.5
[discovery]
lag_ms = 50
spread_ms = 200
[[load]]
rate = 60
)";

struct MembershipResult : CheckedRun {
  // The last view of the replica set that a node recorded.
  ObservedView last_view(int number) const {
    ObservedView out;
    for (const Record& r : history.records) {
      if (r.by == Actor{ActorKind::kNode, number}) {
        if (const auto view = parse_view(r)) out = *view;
      }
    }
    return out;
  }
  bool ever_had(int number, const std::string& connectivity, double from = 0) const {
    return std::any_of(history.records.begin(), history.records.end(), [&](const Record& r) {
      const auto view = parse_view(r);
      return view && r.t >= from && r.by == Actor{ActorKind::kNode, number} &&
             view->connectivity == connectivity;
    });
  }
};

MembershipResult run_with_faults(const std::string& name, const std::string& faults) {
  return {run_and_check(kBaseScenario + faults, "views_" + name)};
}

TEST(FleetMembership, SurvivorsOfAMassFailureKnowTheyArePartitionedUntilTheOthersReturn) {
  const MembershipResult result =
      run_with_faults("killed", "[[fault]]\nat = 2\nlasts = 5\nwhat = \"kill\"\nwho = \"node:0-2\"\n");
  for (const int survivor : {3, 4}) EXPECT_TRUE(result.ever_had(survivor, "partitioned", 2));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(result.last_view(i).connectivity, "complete") << i;
    EXPECT_EQ(result.last_view(i).max_count, 5) << i;
    EXPECT_EQ(result.last_view(i).live_count, 5) << i;
    EXPECT_EQ(result.last_view(i).rank, i) << i;
  }
}

TEST(FleetMembership, PausedAndOneWayPartitionedNodesAreNotTakenForAMassFailure) {
  const MembershipResult result =
      run_with_faults("paused",
                      "[[fault]]\nat = 2\nlasts = 4\nwhat = \"pause\"\nwho = \"node:1\"\n"
                      "[[fault]]\nat = 1\nlasts = 6\nwhat = \"cut_to\"\nwho = \"node:3\"\nto = \"node:4\"\n");
  for (int i = 0; i < 5; ++i) EXPECT_EQ(result.last_view(i).connectivity, "complete") << i;
  for (const int i : {0, 2, 3, 4})
    EXPECT_FALSE(result.ever_had(i, "partitioned", 2)) << i << ": other nodes still reach it";
}

TEST(FleetMembership, FlappingZonePartitionHealsAndAPlannedRestartIsNoFailure) {
  const MembershipResult result = run_with_faults(
      "cut",
      "[[fault]]\nat = 1\nlasts = 2.4\nflap = 0.4\nwhat = \"cut\"\nwho = \"node:3-4\"\nto = \"node:0-2\"\n"
      "[[fault]]\nat = 4\nlasts = 0.5\nwhat = \"restart\"\nwho = \"node:0\"\n");
  for (int i = 0; i < 5; ++i) EXPECT_EQ(result.last_view(i).connectivity, "complete") << i;
}

}  // namespace
}  // namespace thymewood::fleet
