// Short scenarios with several node processes and faults between them: four nodes in two zones and six
// servers that call a second tier through sidecar nodes, ten processes in all. Each test checks the rules and
// that its fault was injected. With faults the share served is not checked, since the machine may be slow.
#include <algorithm>

#include "scenario_fixture.h"

namespace thymewood::fleet {
namespace {

const std::string kBaseScenario = std::string(R"(
seconds = 6
settle = 0
max_attempts = 4
max_retry_after_ms = 500
start_capacity = 0.32
ramp_s = 3
)") + kTestClasses + R"(
[[node]]
count = 2
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
ramp_s = 3
[[servers]]
count = 3
workers = 4
queue = 20
zone = 1
cell = 1
cold = 0.32
ramp_s = 3
[[backend]]
count = 3
workers = 8
cell = 9
[chain]
calls = 2
[clients]
retries = 2
try_share = 0.5
wait_ms = 50
impatient = 0.05
notice_s = 0.5
[discovery]
lag_ms = 50
spread_ms = 200
[[load]]
rate = 60
)";

struct ScenarioResult : CheckedRun {
  std::size_t count(Record::What what) const {
    return static_cast<std::size_t>(std::count_if(history.records.begin(), history.records.end(),
                                                  [what](const Record& r) { return r.what == what; }));
  }
};

ScenarioResult run_with_faults(const std::string& name, const std::string& faults) {
  return {run_and_check(kBaseScenario + faults, name)};
}

TEST(FleetScenario, WithoutFaults) {
  const ScenarioResult result = run_with_faults("calm", "");
  EXPECT_GT(result.run.figures.served_share(), 0.9);
  EXPECT_GT(result.run.figures.second_tier, 1) << "two calls to the second tier for each request";
  EXPECT_EQ(result.count(Record::What::kUp), 10u);
  EXPECT_EQ(result.run.verdict.excused, 0u);
}

TEST(FleetScenario, RollingRestart) {
  const ScenarioResult result = run_with_faults(
      "rolling", "[[fault]]\nat = 0.5\nwhat = \"restart\"\nwho = \"node:0-2\"\nstagger = 0.4\n");
  EXPECT_EQ(result.count(Record::What::kTerm), 3u);
}

TEST(FleetScenario, HalfOfTheNodesAreKilledAtOnceAndRestart) {
  const ScenarioResult result =
      run_with_faults("herd", "[[fault]]\nat = 1.5\nlasts = 1.5\nwhat = \"kill\"\nwho = \"node:50%\"\n");
  EXPECT_EQ(result.count(Record::What::kDown), 2u);
  EXPECT_EQ(result.count(Record::What::kUp), 12u);
}

TEST(FleetScenario, ZoneOfServersIsLostAndReturnsCold) {
  const ScenarioResult result =
      run_with_faults("zone_lost",
                      "[[change]]\nat = 1\nwhat = \"stop\"\nfirst = 3\nlast = 5\ntold_after_ms = 500\n"
                      "[[change]]\nat = 3\nwhat = \"start\"\nfirst = 3\nlast = 5\ntold_after_ms = 100\n");
  const auto cold = std::count_if(
      result.history.records.begin(), result.history.records.end(),
      [](const Record& r) { return r.what == Record::What::kServerReceived && r.cold_capacity > 0; });
  EXPECT_GT(cold, 0) << "cold servers received requests";
}

TEST(FleetScenario, OneWayPartitionBetweenZones) {
  const ScenarioResult result = run_with_faults(
      "one_way",
      "[[fault]]\nat = 1.5\nlasts = 2\nwhat = \"cut_to\"\nwho = \"server:3-5\"\nto = \"node:0-1\"\n");
  EXPECT_EQ(result.count(Record::What::kLinkFaulty), 6u);
  EXPECT_EQ(result.count(Record::What::kLinkRestored), 6u);
}

TEST(FleetScenario, EndpointListsAreLateAndDiffer) {
  const ScenarioResult result =
      run_with_faults("lists",
                      "[[fault]]\nat = 0.2\nlasts = 5\nwhat = \"lag\"\ndelay_ms = 700\n"
                      "[[change]]\nat = 1\nwhat = \"drain\"\nfirst = 0\nlast = 1\n"
                      "[[change]]\nat = 4\nwhat = \"stop\"\nfirst = 0\nlast = 1\n");
  const auto notified = std::count_if(
      result.history.records.begin(), result.history.records.end(),
      [](const Record& r) { return r.what == Record::What::kNotified && !r.flag && r.t > 1.7; });
  EXPECT_GE(notified, 8) << "each node was notified of each drain";
}

// A paused node resumes with disconnected clients and an unread drain notification in its discovery socket.
TEST(FleetScenario, NodeIsPausedForSecondsAndResumes) {
  const ScenarioResult result =
      run_with_faults("paused",
                      "[[fault]]\nat = 1\nlasts = 3\nwhat = \"pause\"\nwho = \"node:0-1\"\n"
                      "[[change]]\nat = 1.3\nwhat = \"drain\"\nfirst = 0\nlast = 2\n");
  EXPECT_EQ(result.count(Record::What::kPaused), 2u);
  EXPECT_EQ(result.count(Record::What::kResumed), 2u);
}

TEST(FleetScenario, NodeIsLimitedToAFifthOfACore) {
  const ScenarioResult result = run_with_faults(
      "starved", "[[fault]]\nat = 1\nlasts = 3\nwhat = \"starve\"\nwho = \"node:0\"\nshare = 0.2\n");
  EXPECT_EQ(result.count(Record::What::kPaused), 1u);
}

TEST(FleetScenario, DisksAreFull) {
  run_with_faults("disks",
                  "[[fault]]\nat = 0.5\nlasts = 4\nwhat = \"disk_full\"\nwho = \"node:*\"\n"
                  "[[change]]\nat = 1\nwhat = \"drain\"\nfirst = 0\nlast = 0\n");
}

TEST(FleetScenario, DiscoveryIsDownWhileServersAreReplaced) {
  const ScenarioResult result =
      run_with_faults("discovery",
                      "[[fault]]\nat = 1\nlasts = 2\nwhat = \"silence\"\n"
                      "[[change]]\nat = 1.2\nwhat = \"drain\"\nfirst = 0\nlast = 0\n"
                      "[[change]]\nat = 2\nwhat = \"stop\"\nfirst = 0\nlast = 0\n"
                      "[[change]]\nat = 2.4\nwhat = \"start\"\nfirst = 0\nlast = 0\n");
  EXPECT_GT(result.count(Record::What::kNotified), 40u) << "complete lists were sent again";
}

}  // namespace
}  // namespace thymewood::fleet
