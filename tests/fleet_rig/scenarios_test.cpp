// Short scenarios with several processes of the program and faults between them: four nodes in two zones, six
// servers that call a second tier by nodes of their own, ten processes in all. Each must keep the rules, and
// show that its fault was there. Shares served are no subject here: this machine may be slow.
#include <algorithm>

#include "scenario_fixture.h"

namespace thymewood::fleet {
namespace {

const std::string kHead = std::string(R"(
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

struct Played : CheckedRun {
  std::size_t count(Record::What what) const {
    return static_cast<std::size_t>(std::count_if(history.records.begin(), history.records.end(),
                                                  [what](const Record& r) { return r.what == what; }));
  }
};

Played play(const std::string& name, const std::string& faults) {
  return {run_and_check(kHead + faults, name)};
}

TEST(FleetScenario, WithoutFaults) {
  const Played p = play("calm", "");
  EXPECT_GT(p.day.figures.served_part(), 0.9);
  EXPECT_GT(p.day.figures.second_tier, 1) << "two calls to the second tier for each request";
  EXPECT_EQ(p.count(Record::What::kUp), 10u);
  EXPECT_EQ(p.day.verdict.excused, 0u);
}

TEST(FleetScenario, RollingRestart) {
  const Played p =
      play("rolling", "[[fault]]\nat = 0.5\nwhat = \"restart\"\nwho = \"node:0-2\"\nstagger = 0.4\n");
  EXPECT_EQ(p.count(Record::What::kTerm), 3u);
}

TEST(FleetScenario, HalfOfTheNodesAreKilledAtOnceAndRestart) {
  const Played p = play("herd", "[[fault]]\nat = 1.5\nlasts = 1.5\nwhat = \"kill\"\nwho = \"node:50%\"\n");
  EXPECT_EQ(p.count(Record::What::kDown), 2u);
  EXPECT_EQ(p.count(Record::What::kUp), 12u);
}

TEST(FleetScenario, ZoneOfServersIsLostAndReturnsCold) {
  const Played p = play("zone_lost",
                        "[[change]]\nat = 1\nwhat = \"stop\"\nfirst = 3\nlast = 5\ntold_after_ms = 500\n"
                        "[[change]]\nat = 3\nwhat = \"start\"\nfirst = 3\nlast = 5\ntold_after_ms = 100\n");
  const auto cold = std::count_if(p.history.records.begin(), p.history.records.end(), [](const Record& r) {
    return r.what == Record::What::kServerReceived && r.cold > 0;
  });
  EXPECT_GT(cold, 0) << "cold servers were asked";
}

TEST(FleetScenario, OneWayPartitionBetweenZones) {
  const Played p =
      play("one_way",
           "[[fault]]\nat = 1.5\nlasts = 2\nwhat = \"cut_to\"\nwho = \"server:3-5\"\nto = \"node:0-1\"\n");
  EXPECT_EQ(p.count(Record::What::kBadLink), 6u);
  EXPECT_EQ(p.count(Record::What::kGoodLink), 6u);
}

TEST(FleetScenario, EndpointListsAreLateAndDiffer) {
  const Played p = play("lists",
                        "[[fault]]\nat = 0.2\nlasts = 5\nwhat = \"lag\"\ndelay_ms = 700\n"
                        "[[change]]\nat = 1\nwhat = \"drain\"\nfirst = 0\nlast = 1\n"
                        "[[change]]\nat = 4\nwhat = \"stop\"\nfirst = 0\nlast = 1\n");
  const auto notified =
      std::count_if(p.history.records.begin(), p.history.records.end(),
                    [](const Record& r) { return r.what == Record::What::kNotified && !r.yes && r.t > 1.7; });
  EXPECT_GE(notified, 8) << "each node was told of each drain";
}

// A paused node resumes with clients that have disconnected and an unread drain in its socket.
TEST(FleetScenario, NodeIsPausedForSecondsAndResumes) {
  const Played p = play("paused",
                        "[[fault]]\nat = 1\nlasts = 3\nwhat = \"pause\"\nwho = \"node:0-1\"\n"
                        "[[change]]\nat = 1.3\nwhat = \"drain\"\nfirst = 0\nlast = 2\n");
  EXPECT_EQ(p.count(Record::What::kPaused), 2u);
  EXPECT_EQ(p.count(Record::What::kResumed), 2u);
}

TEST(FleetScenario, NodeIsLimitedToAFifthOfACore) {
  const Played p =
      play("starved", "[[fault]]\nat = 1\nlasts = 3\nwhat = \"starve\"\nwho = \"node:0\"\nshare = 0.2\n");
  EXPECT_EQ(p.count(Record::What::kPaused), 1u);
}

TEST(FleetScenario, DisksAreFull) {
  play("disks",
       "[[fault]]\nat = 0.5\nlasts = 4\nwhat = \"disk_full\"\nwho = \"node:*\"\n"
       "[[change]]\nat = 1\nwhat = \"drain\"\nfirst = 0\nlast = 0\n");
}

TEST(FleetScenario, DiscoveryIsDownWhileServersAreReplaced) {
  const Played p = play("discovery",
                        "[[fault]]\nat = 1\nlasts = 2\nwhat = \"silence\"\n"
                        "[[change]]\nat = 1.2\nwhat = \"drain\"\nfirst = 0\nlast = 0\n"
                        "[[change]]\nat = 2\nwhat = \"stop\"\nfirst = 0\nlast = 0\n"
                        "[[change]]\nat = 2.4\nwhat = \"start\"\nfirst = 0\nlast = 0\n");
  EXPECT_GT(p.count(Record::What::kNotified), 40u) << "whole lists were told again";
}

}  // namespace
}  // namespace thymewood::fleet
