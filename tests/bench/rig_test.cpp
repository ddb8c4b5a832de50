// The socket rig: its fake servers follow the models, the node can read the configuration that it writes, and
// its rule check detects violations.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "clock.h"
#include "config.h"
#include "node_process.h"
#include "run.h"

namespace thymewood::bench {
namespace {

Scenario scenario_of(const std::string& rest) {
  return parse_scenario(
      "seconds = 2\nsettle = 0\n[[class]]\nname = \"look\"\naim_ms = 2000\ngive_up_ms = 4000\n" + rest,
      "test.toml");
}

std::string folder() {
  const std::string out = testing::TempDir() + "/rig_" + std::to_string(::getpid());
  std::filesystem::create_directories(out);
  return out;
}

TEST(Rig, NodeParsesTheWrittenConfiguration) {
  const Scenario s = parse_scenario(
      "copies = 3\nmax_attempts = 4\nmax_retry_after_ms = 700\n[[class]]\nname = \"look\"\naim_ms = "
      "250\n[[class]]\n"
      "name = \"mark\"\neffect = \"keyed\"\nscope = \"zone\"\nwindow_ms = 1500\n[[class]]\nname = \"close\"\n"
      "effect = \"unsafe\"\n[[servers]]\ncount = 2\ncell = 5\n[[load]]\nrate = 1\n",
      "test.toml");
  const std::string path = folder() + "/config.json";
  std::ofstream(path) << node_config(s, 2, {1001, 1002});
  const node::Clock clock;
  const node::Config config = node::read_config(path, clock);
  EXPECT_EQ(config.settings.replica_index, 2);
  EXPECT_EQ(config.settings.replica_count, 3);
  EXPECT_EQ(config.settings.max_attempts, 4);
  EXPECT_DOUBLE_EQ(config.settings.max_retry_after, 0.7);
  ASSERT_EQ(config.settings.classes.size(), 3u);
  EXPECT_DOUBLE_EQ(config.settings.classes[0].latency_objective, 0.25);
  EXPECT_EQ(config.settings.classes[1].idempotency, Idempotency::kIdempotentWithKey);
  EXPECT_EQ(config.settings.classes[1].dedup_scope, DedupScope::kZone);
  EXPECT_DOUBLE_EQ(config.settings.classes[1].dedup_window, 1.5);
  EXPECT_EQ(config.settings.classes[2].idempotency, Idempotency::kNotIdempotent);
  ASSERT_EQ(config.known_endpoints.endpoints.size(), 2u);
  EXPECT_EQ(config.known_endpoints.endpoints[1].socket_address.port(), 1002);
}

TEST(Rig, ModelServerFollowsTheModel) {
  // One worker of 50 ms, loaded without a node at 5 times its capacity, with a queue of four.
  const Scenario s = scenario_of(
      "service = \"constant\"\nmean_ms = 50\n[[servers]]\nworkers = 1\nqueue = 4\n[[load]]\nx = 5\n");
  const RunObservations observations = run_on_sockets(s, "", true, folder(), 1);
  std::size_t served = 0, rejected = 0;
  for (const LoadGenerator::CompletedRequest& e : observations.completed) {
    EXPECT_TRUE(e.response_received);
    served += e.result == Final::kServed ? 1 : 0;
    rejected += e.result == Final::kRejected ? 1 : 0;
    EXPECT_TRUE(e.result != Final::kServed || e.completed_at - e.due >= 0.049) << e.id;
  }
  EXPECT_EQ(served + rejected, observations.completed.size());
  EXPECT_GT(rejected, served);
  EXPECT_LE(served, 45u) << "2 s of one worker, and the queue";
  EXPECT_GT(served, 10u);
  EXPECT_NEAR(observations.work, 0.05 * static_cast<double>(served), 1e-9);
}

TEST(Rig, LatencyIsMeasuredFromTheDueTime) {
  // Each connection carries one long request; later requests open new connections and are not delayed.
  const Scenario s =
      scenario_of("service = \"constant\"\nmean_ms = 300\n[[servers]]\nworkers = 1\n[[load]]\nrate = 10\n");
  const RunObservations observations = run_on_sockets(s, "", true, folder(), 1);
  double longest = 0;
  for (const LoadGenerator::CompletedRequest& e : observations.completed) {
    EXPECT_LT(e.sent - e.due, 1) << "the request was sent late";
    longest = std::max(longest, e.completed_at - e.due);
  }
  EXPECT_GT(longest, 0.8) << "queueing delay must be included in the latency";
}

TEST(Rig, NodeServesAScenarioWithoutViolations) {
  const Scenario s = scenario_of(
      "mean_ms = 10\n[[class]]\nname = \"close\"\neffect = \"unsafe\"\naim_ms = 2000\ngive_up_ms = "
      "4000\nmean_ms = 10\n"
      "[[servers]]\ncount = 2\nworkers = 8\n[[load]]\nrate = 100\n");
  const RunObservations observations = run_on_sockets(s, NODE_PROGRAM, false, folder(), 1);
  EXPECT_TRUE(observations.nodes_stayed_up);
  ASSERT_GT(observations.completed.size(), 100u);
  for (const LoadGenerator::CompletedRequest& e : observations.completed)
    EXPECT_TRUE(e.response_received) << e.id;
  const RuleMonitor rules = check_rules(s, observations);
  EXPECT_EQ(rules.broken(), 0u) << rules.breaks()[0];
}

TEST(Rig, RuleCheckReportsADoubleEffectAndALostRequest) {
  const Scenario s = scenario_of("effect = \"unsafe\"\n[[servers]]\ncount = 2\n[[load]]\nrate = 1\n");
  const LoadGenerator::CompletedRequest request{"r1", 0, 0, 1, 1, 2, Final::kServed, true};
  RunObservations once;
  once.completed = {request};
  once.arrivals = {{1.1, 0, "r1", 0.1, 0, true}, {1.2, 1, "r1", 0.1, 0, false}};  // the first was rejected
  EXPECT_EQ(check_rules(s, once).broken(), 0u);
  RunObservations twice = once;
  twice.arrivals[0].rejected = false;
  EXPECT_EQ(check_rules(s, twice).broken(), 1u);
  RunObservations lost = once;
  lost.completed[0].response_received = false;
  EXPECT_EQ(check_rules(s, lost).broken(), 1u);
}

TEST(Rig, UnsupportedScenarioIsAnError) {
  const Scenario s = scenario_of("[[servers]]\n[[load]]\nrate = 1\n[[change]]\nat = 1\nwhat = \"drain\"\n");
  EXPECT_THROW(run_on_sockets(s, NODE_PROGRAM, false, folder(), 1), std::runtime_error);
}

}  // namespace
}  // namespace thymewood::bench
