// Checks the virtual-time simulation against figures that can be calculated by hand, and that it reports rule
// violations instead of hiding them.
#include "player.h"

#include <gtest/gtest.h>

namespace thymewood::bench {
namespace {

constexpr std::uint64_t kSeed = 3;

Report play_direct(const std::string& text) {
  return play(parse_scenario(text, "test.toml"), Front::kDirect, kSeed);
}
Report play_module(const std::string& text) {
  return play(parse_scenario(text, "test.toml"), Front::kModule, kSeed);
}

// kDirect ignores both drains and slow start. The rule monitor must report that; otherwise its silence about
// the module would prove nothing.
void expect_violation_by_direct_only(const std::string& text, const std::string& rule,
                                     std::uint64_t more_than) {
  const Report direct = play_direct(text);
  ASSERT_GT(direct.violation_count, more_than);
  EXPECT_EQ(direct.violations[0].rfind(rule, 0), 0u) << direct.violations[0];
  const Report module = play_module(text);
  EXPECT_EQ(module.violation_count, 0u) << module.violations[0];
}

const std::string kOneWorker =
    "seconds = 20\nsettle = 2\n[[class]]\nservice = \"constant\"\nmean_ms = 100\naim_ms = 1000\ngive_up_ms = "
    "3000\n"
    "[[servers]]\nworkers = 1\n";

TEST(Player, SingleClientSeesTheServiceTime) {
  const Report r = play_direct(kOneWorker + "[[callers]]\ncount = 1\n");
  EXPECT_NEAR(r.offered, 18 / 0.101, 3);
  EXPECT_EQ(r.in_time, r.offered);
  EXPECT_NEAR(r.latency.quantile(0.5), 0.101, 0.002);
  EXPECT_NEAR(r.goodput_share(), 1, 0.02);
  EXPECT_EQ(r.wasted, 0);
}

TEST(Player, AchievableGoodputIsLimitedByCapacityUnderOverload) {
  const Report r = play_direct(kOneWorker + "[[load]]\nx = 3\n");
  EXPECT_NEAR(r.achievable, 18 * 10, 1);
  EXPECT_NEAR(r.offered, 18 * 30, 60);
  EXPECT_LT(r.goodput_share(), 0.1) << "the queue exceeds the latency objective within a second";
  EXPECT_GT(r.failed, 0.5 * r.offered);
  EXPECT_GT(r.wasted, 0.8 * r.work) << "it processes requests whose clients have timed out";
}

TEST(Player, AchievableGoodputIsLimitedByTheLoadBelowCapacity) {
  const Report r = play_direct(kOneWorker + "[[load]]\nrate = 2\n");
  EXPECT_NEAR(r.achievable, 36, 0.1);
  EXPECT_EQ(r.failed, 0);
  EXPECT_NEAR(r.work, 0.1 * r.served, 0.3);
}

TEST(Player, SpeedChangeMovesCapacity) {
  const Report r = play_direct(kOneWorker + "[[load]]\nrate = 1\n[[change]]\nat = 10\nfactor = 2\n");
  EXPECT_NEAR(r.seconds[5].capacity, 10, 1e-9);
  EXPECT_NEAR(r.seconds[15].capacity, 5, 1e-9);
}

TEST(Player, StoppedServerResetsItsRequestsAndReducesCapacity) {
  const std::string two =
      "seconds = 20\nsettle = 0\n[[class]]\nservice = \"constant\"\nmean_ms = 500\neffect = \"unsafe\"\n"
      "aim_ms = 2000\ngive_up_ms = 4000\n[[servers]]\ncount = 2\nworkers = 10\n[[load]]\nrate = 10\n"
      "[[change]]\nat = 10\nwhat = \"stop\"\nfirst = 0\nlast = 0\n";
  const Report r = play_module(two);
  EXPECT_EQ(r.violation_count, 0u) << r.violations[0];
  EXPECT_GE(r.failed, 1) << "requests on it were reset and must not be retried";
  EXPECT_LE(r.failed, 10);
  EXPECT_NEAR(r.seconds[15].capacity, 20, 1e-9);
  EXPECT_EQ(r.seconds[15].in_time, r.seconds[15].offered) << "the other server serves all requests";
}

TEST(Player, RequestsToADrainingServerAreReported) {
  expect_violation_by_direct_only(kOneWorker +
                                      "[[servers]]\nworkers = 1\n[[load]]\nrate = 5\n[[change]]\nat = 8\n"
                                      "what = \"drain\"\nfirst = 0\nlast = 0\ntold_after_ms = 300\n",
                                  "drains-kept", 10);
}

TEST(Player, OverloadDuringSlowStartIsReported) {
  expect_violation_by_direct_only(
      "seconds = 12\nsettle = 0\nramp_s = 9\nstart_capacity = 0.1\n[[class]]\nservice = \"constant\"\n"
      "mean_ms = 20\n[[servers]]\ncount = 2\nworkers = 4\ncold = 0.1\nramp_s = 9\n[[load]]\nx = 0.9\n"
      "[[change]]\nat = 3\nwhat = \"stop\"\nfirst = 0\nlast = 0\n"
      "[[change]]\nat = 5\nwhat = \"start\"\nfirst = 0\nlast = 0\n",
      "cold-servers", 0);
}

TEST(Player, RequestsRejectedByFullQueuesAreSentElsewhere) {
  const std::string full =
      "seconds = 10\nsettle = 0\n[[class]]\nservice = \"constant\"\nmean_ms = 50\neffect = \"unsafe\"\n"
      "[[servers]]\nworkers = 1\nqueue = 0\n[[servers]]\nworkers = 20\n[[load]]\nrate = 100\n";
  const Report r = play_module(full);
  EXPECT_EQ(r.violation_count, 0u) << r.violations[0];
  EXPECT_EQ(r.served + r.rejected, r.offered);
  EXPECT_LE(r.rejected, 0.005 * r.offered) << "the other server has capacity for all but a few at the start";
  EXPECT_EQ(r.wasted, 0) << "rejected attempts do no work";
}

TEST(Player, PartialFailureAndSilenceAffectTheGivenShare) {
  const auto of = [](const std::string& what) {
    return play_direct(
        "seconds = 40\nsettle = 0\n[[class]]\nservice = \"constant\"\nmean_ms = 20\n"
        "[[servers]]\nworkers = 4\n[[load]]\nrate = 50\n[[change]]\nat = 20\nwhat = \"" +
        what + "\"\npart = 0.5\n");
  };
  for (const char* what : {"fail", "mute"}) {
    const Report r = of(what);
    EXPECT_NEAR(r.failed / r.offered, 0.25, 0.05) << what << " from the middle on";
    EXPECT_NEAR(r.seconds[30].capacity, 100, 1e-9) << what << " halves it";
  }
}

TEST(Player, RestartedReplicaLosesOnlyItsInFlightRequests) {
  const auto of = [](int replicas) {
    return play_module("seconds = 20\nsettle = 0\ncopies = " + std::to_string(replicas) +
                       "\n[[class]]\nservice = \"constant\"\nmean_ms = 100\n[[servers]]\nworkers = 20\n"
                       "[[load]]\nrate = 50\n[[change]]\nat = 10\nwhat = \"restart\"\ndown_ms = 2000\n");
  };
  const Report single = of(1), pair = of(2);
  EXPECT_EQ(single.violation_count + pair.violation_count, 0U)
      << "requests of a killed replica need no response";
  EXPECT_NEAR(single.failed, 2.1 * 50, 30)
      << "its requests in flight, and all that arrived while it was down";
  EXPECT_GT(pair.failed, 0);
  EXPECT_LT(pair.failed, 10) << "at most those of 0.1 s at half the load; then the other replica serves";
}

// With client retries, a request counts once as offered, and each attempt is counted.
TEST(Player, RetriesCountOnceAsOfferedAndEachAsAnAttempt) {
  const std::string fails = kOneWorker + "[[load]]\nrate = 2\n[[change]]\nat = 0\nwhat = \"fail\"\n";
  const Report once = play_direct(fails);
  EXPECT_DOUBLE_EQ(once.amplification(), 1);
  EXPECT_DOUBLE_EQ(once.client_attempts, once.offered);
  const Report again = play_direct(fails + "[clients]\nretries = 3\nwait_ms = 100\n");
  EXPECT_DOUBLE_EQ(again.offered, once.offered) << "the same load";
  EXPECT_DOUBLE_EQ(again.client_attempts, 4 * again.offered);
  EXPECT_DOUBLE_EQ(again.failed, again.offered) << "each request counts once";
  // The client timeout is 3 s, half of it per attempt, with 1 s between attempts: the first at 0 s, the
  // second at 1 s, the third at 2 s; no time is left for a fourth.
  const Report late = play_direct(fails + "[clients]\nretries = 9\nwait_ms = 1000\ntry_share = 0.5\n");
  EXPECT_DOUBLE_EQ(late.client_attempts, 3 * late.offered);
  // At a failure rate of one half, four attempts leave one request in sixteen unserved.
  const Report half = play_direct(kOneWorker +
                                  "[[load]]\nrate = 3\n[[change]]\nat = 0\nwhat = \"fail\"\npart = "
                                  "0.5\n[clients]\nretries = 3\n");
  EXPECT_GT(half.served / half.offered, 0.8);
  EXPECT_EQ(half.violation_count, 0u);
}

TEST(Player, ClosedLoopsHonorTheirThinkAndRetryTimes) {
  const auto offered = [](const char* after) {
    return play_module(
        "seconds = 10\nsettle = 0\nmax_retry_after_ms = 1000\n[[class]]\naim_ms = 100\nmean_ms = 50\n"
        "service = \"constant\"\n[[servers]]\nworkers = 1\n[[callers]]\ncount = 40\nafter_refusal_ms = " +
        std::string(after) + "\n");
  };
  const Report at_once = offered("0"), advised = offered("-1"), patient = offered("200");
  EXPECT_GT(at_once.offered, 10 * patient.offered);
  EXPECT_GT(patient.offered, 1.5 * advised.offered) << "the advised Retry-After is half a second";
}

}  // namespace
}  // namespace thymewood::bench
