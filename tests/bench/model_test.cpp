// Tests of the models that the benchmarks rely on: server capacity, arrivals, the histogram, scenario files,
// and the monitor of the four rules, which must detect a violation of each.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <ostream>
#include <string>
#include <vector>

#include "balancer_harness.h"
#include "histogram.h"
#include "rule_monitor.h"
#include "scenario.h"
#include "server_model.h"

namespace thymewood::bench {
namespace {

constexpr double kWarmedUp = -std::numeric_limits<double>::infinity();

std::vector<std::uint64_t> ended_by(ServerModel& server, double now) {
  std::vector<std::uint64_t> out;
  server.advance(now, out);
  return out;
}

// ---------------------------------------------------------------- server capacity

TEST(ServerModel, RunsOneRequestPerWorkerAndQueuesOthersInOrder) {
  ServerModel server({.workers = 2, .queue = 10}, kWarmedUp);
  for (std::uint64_t i = 0; i < 5; ++i) ASSERT_TRUE(server.arrive(0, i, 1));
  EXPECT_EQ(server.running(), 2);
  EXPECT_EQ(server.waiting(), 3);
  EXPECT_TRUE(ended_by(server, 0.999).empty());
  EXPECT_EQ(ended_by(server, 1), (std::vector<std::uint64_t>{0, 1}));
  // Waiting requests began when a worker became free, not when `advance` was called.
  EXPECT_EQ(ended_by(server, 10), (std::vector<std::uint64_t>{2, 3, 4}));
  EXPECT_EQ(server.next(), std::nullopt);
}

TEST(ServerModel, RejectsBeyondItsQueue) {
  ServerModel server({.workers = 1, .queue = 1}, kWarmedUp);
  EXPECT_TRUE(server.arrive(0, 0, 1));
  EXPECT_TRUE(server.arrive(0, 1, 1));
  EXPECT_FALSE(server.arrive(0, 2, 1));
  EXPECT_EQ(ended_by(server, 5), (std::vector<std::uint64_t>{0, 1}));
}

TEST(ServerModel, NothingQueuesWithUnlimitedWorkers) {
  ServerModel server({.workers = 0}, kWarmedUp);
  for (std::uint64_t i = 0; i < 1000; ++i) ASSERT_TRUE(server.arrive(0, i, 0.02));
  EXPECT_EQ(ended_by(server, 0.02).size(), 1000u);
  EXPECT_TRUE(std::isinf(server.rate(0, 1)));
}

TEST(ServerModel, IsSlowerWhileOverloaded) {
  ServerModel server({.workers = 4, .overload_threshold = 2, .overload_slowdown = 3}, kWarmedUp);
  ASSERT_TRUE(server.arrive(0, 0, 1));
  ASSERT_TRUE(server.arrive(0, 1, 1));
  ASSERT_TRUE(server.arrive(0, 2, 1));  // two are running, so the server is overloaded
  EXPECT_EQ(ended_by(server, 1), (std::vector<std::uint64_t>{0, 1}));
  EXPECT_TRUE(ended_by(server, 2.9).empty());
  EXPECT_EQ(ended_by(server, 3), (std::vector<std::uint64_t>{2}));
}

TEST(ServerModel, WarmsUpLinearlyAfterAStart) {
  ServerModel server({.workers = 1, .cold_speed_share = 0.25, .warm_up_s = 10}, 100);
  EXPECT_DOUBLE_EQ(server.warmth(100), 0.25);
  EXPECT_DOUBLE_EQ(server.warmth(105), 0.625);
  EXPECT_DOUBLE_EQ(server.warmth(110), 1);
  EXPECT_DOUBLE_EQ(server.rate(100, 0.5), 0.5);
  ASSERT_TRUE(server.arrive(100, 7, 1));
  EXPECT_EQ(server.next(), 104);
  server.take_all();
  server.restart(200);
  EXPECT_DOUBLE_EQ(server.warmth(200), 0.25);
}

TEST(ServerModel, PauseDelaysRunningWorkAndSlowdownAppliesToNewWork) {
  ServerModel server({.workers = 1, .pause_every_s = 1, .pause_s = 0.5}, kWarmedUp);
  ASSERT_TRUE(server.arrive(0.8, 0, 0.4));
  EXPECT_TRUE(ended_by(server, 1.6).empty());
  EXPECT_EQ(ended_by(server, 1.7 + 1e-9), (std::vector<std::uint64_t>{0}));
  ServerModel slowed({.workers = 1}, kWarmedUp);
  ASSERT_TRUE(slowed.arrive(0, 0, 1));
  slowed.slow_down(3);  // running requests are unaffected
  ASSERT_TRUE(slowed.arrive(0, 1, 1));
  EXPECT_EQ(ended_by(slowed, 1), (std::vector<std::uint64_t>{0}));
  EXPECT_EQ(slowed.next(), 4);
  EXPECT_DOUBLE_EQ(slowed.rate(1, 1), 1.0 / 3);
}

TEST(ServerModel, ReturnsUnfinishedRequestsWhenTheProcessEnds) {
  ServerModel server({.workers = 1, .queue = 5}, kWarmedUp);
  for (std::uint64_t i = 0; i < 4; ++i) ASSERT_TRUE(server.arrive(0, i, 1));
  std::vector<std::uint64_t> lost = server.take_all();
  std::sort(lost.begin(), lost.end());
  EXPECT_EQ(lost, (std::vector<std::uint64_t>{0, 1, 2, 3}));
  EXPECT_TRUE(ended_by(server, 100).empty());
}

// ---------------------------------------------------------------- histogram and service times

TEST(Histogram, QuantilesAreWithinTwoPercentOfTheExact) {
  Random random(5);
  Histogram histogram;
  std::vector<double> all;
  for (int i = 0; i < 20000; ++i) {
    all.push_back(random.lognormal(0.02, 2));
    histogram.add(all.back());
  }
  std::sort(all.begin(), all.end());
  for (const double fraction : {0.01, 0.5, 0.9, 0.99, 0.999}) {
    const double exact = all[static_cast<std::size_t>(std::ceil(fraction * 20000)) - 1];
    EXPECT_NEAR(histogram.quantile(fraction), exact, 0.02 * exact + 1e-6) << fraction;
  }
  Histogram twice;
  twice.merge(histogram);
  twice.merge(histogram);
  EXPECT_EQ(twice.count(), 40000u);
  EXPECT_EQ(twice.quantile(0.5), histogram.quantile(0.5));
  EXPECT_EQ(Histogram().quantile(0.5), 0);
}

TEST(Histogram, ClampsOutOfRangeValues) {
  Histogram histogram;
  histogram.add(-1);
  histogram.add(1e12);
  EXPECT_NEAR(histogram.quantile(0.5), 1e-6, 1e-9);
  EXPECT_GT(histogram.quantile(1), 3900);
}

TEST(Service, DrawsMatchTheExpectedMean) {
  Random random(9);
  for (const Service& s :
       {Service{Service::Form::kConstant, 0.02}, Service{Service::Form::kExponential, 0.02},
        Service{Service::Form::kLognormal, 0.02, 1.5},
        Service{Service::Form::kBimodal, 0.002, 1, 0.1, 0.05}}) {
    double sum = 0;
    for (int i = 0; i < 200000; ++i) sum += s.draw(random);
    EXPECT_NEAR(sum / 200000 / s.expected(), 1, 0.03);
  }
}

// ---------------------------------------------------------------- scenarios

const std::string kMinimalScenario = "[[class]]\nmean_ms = 10\n[[servers]]\ncount = 2\nworkers = 4\n";

TEST(Scenario, LoadIsAMultipleOfServerCapacity) {
  const Scenario s = parse_scenario(
      kMinimalScenario + "[[load]]\nx = 0.5\n[[load]]\nat = 10\nx = 1\nramp = true\n", "a.toml", 2);
  EXPECT_DOUBLE_EQ(s.full_rate(), 800);
  EXPECT_DOUBLE_EQ(s.load_at(0), 800);
  EXPECT_DOUBLE_EQ(s.load_at(5), 1200);
  EXPECT_DOUBLE_EQ(s.load_at(20), 1600);
  EXPECT_FALSE(s.counts_at(4.9));
  EXPECT_TRUE(s.counts_at(5));
  EXPECT_FALSE(s.counts_at(12));  // within `settle` of the load step
}

TEST(Scenario, ArrivalsFollowTheRate) {
  const Scenario s = parse_scenario(
      "seconds = 100\n" + kMinimalScenario + "[[load]]\nrate = 50\n[[load]]\nat = 60\nrate = 500\n",
      "a.toml");
  Arrivals arrivals(s, 3);
  int before = 0, after = 0;
  for (double t = arrivals.after(0); t < 100; t = arrivals.after(t)) ++(t < 60 ? before : after);
  EXPECT_NEAR(before, 3000, 200);
  EXPECT_NEAR(after, 20000, 500);
}

struct BadFile {
  const char* name;
  std::string text;
  const char* expected_message;
};

void PrintTo(const BadFile& bad, std::ostream* out) { *out << bad.name; }

class BadScenario : public testing::TestWithParam<BadFile> {};

TEST_P(BadScenario, IsAnErrorWithItsLine) {
  try {
    parse_scenario(GetParam().text, "bad.toml");
    FAIL() << "the invalid scenario was accepted";
  } catch (const std::runtime_error& error) {
    EXPECT_NE(std::string(error.what()).find(GetParam().expected_message), std::string::npos) << error.what();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Files, BadScenario,
    testing::Values(
        BadFile{"invalid_toml", "seconds = = 3\n", "bad.toml:1:"},
        BadFile{"unknown_key", "secnds = 3\n" + kMinimalScenario + "[[load]]\nx=1\n",
                "bad.toml:1: 'secnds' is not a key here"},
        BadFile{"unknown_key_in_table", kMinimalScenario + "[[load]]\nx=1\ny=2\n", "bad.toml:8: 'y'"},
        BadFile{"no_class", "[[servers]]\n[[load]]\nrate=1\n", "no [[class]]"},
        BadFile{"no_servers", "[[class]]\n[[load]]\nrate=1\n", "no [[servers]]"},
        BadFile{"no_load", kMinimalScenario, "neither [[load]] nor [[callers]]"},
        BadFile{"rate_and_x", kMinimalScenario + "[[load]]\nx=1\nrate=1\n",
                "bad.toml:6: a load step has either"},
        BadFile{"negative_number", "seconds = -1\n" + kMinimalScenario,
                "bad.toml:1: 'seconds' has to be a number from"},
        BadFile{"string_for_number", "seconds = \"3\"\n" + kMinimalScenario, "bad.toml:1:"},
        BadFile{"nan_for_number", "seconds = nan\n" + kMinimalScenario, "bad.toml:1:"},
        BadFile{"fractional_copies", "copies = 1.5\n" + kMinimalScenario, "'copies' has to be an integer"},
        BadFile{"class_is_string", "class = \"a\"\n", "has to be an array of tables"},
        BadFile{"unknown_effect", "[[class]]\neffect = \"perhaps\"\n",
                "bad.toml:2: 'effect' has to be one of"},
        BadFile{"aim_over_give_up", "[[class]]\naim_ms = 20\ngive_up_ms = 10\n", "'aim_ms' is greater than"},
        BadFile{"x_without_limit", "[[class]]\n[[servers]]\nworkers = 0\n[[load]]\nx = 1\n",
                "needs servers with limited capacity"},
        BadFile{"load_steps_out_of_order", kMinimalScenario + "[[load]]\nat=9\nx=1\n[[load]]\nat=3\nx=1\n",
                "is before that of the previous step"},
        BadFile{"no_such_server", kMinimalScenario + "[[load]]\nx=1\n[[change]]\nfirst = 2\n",
                "'first' has to be"},
        BadFile{"pause_as_long_as_interval", "[[class]]\n[[servers]]\npause_every_s = 1\npause_ms = 1000\n",
                "has to be shorter"}),
    [](const auto& bad) { return bad.param.name; });

// ---------------------------------------------------------------- the four rules

// Classes: 0 idempotent, 1 idempotent with a key known in one cell, 2 not idempotent, 3 idempotent with a key
// known everywhere. Servers 0 and 1 share a cell.
RuleMonitor monitor() {
  return RuleMonitor(
      {},
      {make_request_class(Idempotency::kIdempotent), make_request_class(Idempotency::kIdempotentWithKey),
       make_request_class(Idempotency::kNotIdempotent),
       make_request_class(Idempotency::kIdempotentWithKey, DedupScope::kAll)},
      {{0, 0}, {0, 0}, {0, 1}});
}

void expect_one_violation(const RuleMonitor& rules, const std::string& rule) {
  ASSERT_EQ(rules.broken(), 1u);
  EXPECT_EQ(rules.breaks()[0].substr(0, rule.size()), rule) << rules.breaks()[0];
}

TEST(RuleMonitor, CorrectHistoryHasNoViolations) {
  RuleMonitor rules = monitor();
  for (std::size_t c = 0; c < 4; ++c) {
    const std::string id = "r" + std::to_string(c);
    rules.taken(0, id, c, 2);
    rules.sent(0.1, id, 0, 0);
    rules.ended(id, 0, false);
    rules.sent(0.2, id, 0, 2);  // the first attempt didn't run, so any server is allowed
    rules.answered(0.5, id, Final::kServed);
    rules.ended(id, 1, true);
  }
  rules.finish(100);
  EXPECT_EQ(rules.broken(), 0u) << rules.breaks()[0];
}

TEST(RuleMonitor, ReportsLateDuplicateAndMissingAnswers) {
  RuleMonitor late = monitor();
  late.taken(0, "r", 0, 2);
  late.answered(2.1, "r", Final::kFailed);
  expect_one_violation(late, "one-final-answer");
  RuleMonitor second = monitor();
  second.taken(0, "r", 0, 2);
  second.sent(0, "r", 0, 0);
  second.answered(1, "r", Final::kServed);
  second.answered(1, "r", Final::kFailed);
  expect_one_violation(second, "one-final-answer");
  RuleMonitor missing = monitor();
  missing.taken(0, "r", 0, 2);
  missing.finish(3);
  expect_one_violation(missing, "one-final-answer");
  RuleMonitor after = monitor();
  after.taken(0, "r", 0, 2);
  after.sent(0, "r", 0, 0);
  after.answered(1, "r", Final::kServed);
  after.sent(1.1, "r", 0, 1);
  EXPECT_GE(after.broken(), 1u);
}

TEST(RuleMonitor, ReportsANonIdempotentRequestSentTwice) {
  RuleMonitor open = monitor();
  open.taken(0, "r", 2, 2);
  open.sent(0, "r", 0, 0);
  open.sent(0.1, "r", 0, 0);  // the first attempt may still run
  expect_one_violation(open, "no-double-effect");
  RuleMonitor rejected = monitor();
  rejected.taken(0, "r", 2, 2);
  rejected.sent(0, "r", 0, 0);
  rejected.ended("r", 0, true);
  rejected.answered(1, "r", Final::kRejected);
  expect_one_violation(rejected, "no-double-effect");
}

TEST(RuleMonitor, ReportsAKeyedRequestOutsideItsScopeOrWindow) {
  RuleMonitor cell = monitor();
  cell.taken(0, "r", 1, 2);
  cell.sent(0, "r", 0, 0);
  cell.sent(0.1, "r", 0, 1);  // same cell
  EXPECT_EQ(cell.broken(), 0u);
  cell.sent(0.2, "r", 0, 2);
  EXPECT_GE(cell.broken(), 1u);
  RuleMonitor time = monitor();
  time.taken(0, "r", 3, 10);
  time.sent(0, "r", 0, 0);
  time.sent(4, "r", 0, 2);
  EXPECT_EQ(time.broken(), 0u);
  time.sent(4.1, "r", 0, 2);
  expect_one_violation(time, "no-double-effect");
}

TEST(RuleMonitor, ReportsWorkAfterADrainCountedFromTheFirstNotification) {
  RuleMonitor rules = monitor();
  rules.taken(0, "r", 0, 9);
  rules.endpoint_notified(1, 0, 2, false);
  rules.endpoint_notified(1.9, 0, 2, false);
  rules.sent(2, "r", 0, 2);
  rules.sent(2.5, "r", 1, 2);  // another replica, which was not notified
  EXPECT_EQ(rules.broken(), 0u);
  rules.sent(2.1, "r", 0, 2);
  expect_one_violation(rules, "drains-kept");
  rules.endpoint_notified(3, 0, 2, true);
  rules.sent(9, "r", 0, 2);
  EXPECT_EQ(rules.broken(), 1u);
}

TEST(RuleMonitor, ReportsAnOverloadedColdServerOnce) {
  RuleMonitor rules = monitor();
  for (int i = 0; i < 8; ++i)
    rules.came(i * 0.1, 0, 0.5, 1);  // 4 s of work within a second: exactly the limit
  EXPECT_EQ(rules.broken(), 0u);
  for (int i = 0; i < 5; ++i) rules.came(0.8 + i * 0.01, 0, 0.5, 1);
  expect_one_violation(rules, "cold-servers");
  RuleMonitor warm = monitor();
  for (int i = 0; i < 100; ++i) warm.came(0, 0, 1, 0);
  warm.came(0, 1, 50, 1);  // a single request is no violation
  EXPECT_EQ(warm.broken(), 0u);
}

}  // namespace
}  // namespace thymewood::bench
