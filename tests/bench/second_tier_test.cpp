// The second tier and floods in virtual time, compared with figures that can be calculated by hand.
#include <gtest/gtest.h>

#include "player.h"

namespace thymewood::bench {
namespace {

constexpr std::uint64_t kSeed = 3;

Report play_with(Front front, const std::string& text) {
  return play(parse_scenario(text, "test.toml"), front, kSeed);
}

// Half of the 100 ms is the server's own work, the other half is in two sequential calls.
std::string two_tiers(const std::string& idempotency, int workers, int backends) {
  return "seconds = 20\nsettle = 2\nmax_attempts = 4\n[[class]]\nservice = \"constant\"\nmean_ms = 100\n"
         "aim_ms = 1000\ngive_up_ms = 3000\neffect = \"" +
         idempotency + "\"\n[[servers]]\ncount = 2\nworkers = " + std::to_string(workers) +
         "\n[chain]\ncalls = 2\nshare = 0.5\n[[backend]]\ncount = 2\nworkers = " + std::to_string(backends) +
         "\n";
}

TEST(SecondTier, LatencyIsOwnWorkPlusSequentialCalls) {
  for (const Front front : {Front::kModule, Front::kDirect, Front::kOracle}) {
    const Report r = play_with(front, two_tiers("safe", 4, 4) + "[[callers]]\ncount = 1\n");
    constexpr double kNet = 0.0002;  // s; the default of scenarios
    EXPECT_NEAR(r.latency.quantile(0.5), 0.1 + 8 * kNet, 0.003)
        << "client to replica to server, and two calls through the sidecar";
    EXPECT_EQ(r.in_time, r.offered);
    EXPECT_NEAR(r.second_amplification(), 2, 0.02);
    EXPECT_NEAR(r.amplification(), 1, 0.02);
    EXPECT_NEAR(r.work / r.in_time, 0.1, 0.001) << "includes the work of the second tier";
    EXPECT_NEAR(r.wasted, 0, 1e-9);
  }
}

TEST(SecondTier, ServerKeepsItsSlotDuringCalls) {
  const Report r = play_with(Front::kModule, two_tiers("safe", 1, 8) + "[[callers]]\ncount = 8\n");
  EXPECT_NEAR(r.in_time / 18, 2 / 0.1, 1) << "20 per second, not the 40 that the workers alone could start";
  EXPECT_NEAR(r.seconds[10].capacity, 20, 0.1);
}

TEST(SecondTier, LimitsTheCombinedCapacity) {
  const Report r = play_with(Front::kDirect, two_tiers("safe", 10, 1) + "[[load]]\nrate = 5\n");
  EXPECT_NEAR(r.seconds[10].capacity, 2 / 0.05, 0.1)
      << "two backends with one worker each, 50 ms per request";
  const Report slow =
      play_with(Front::kDirect, two_tiers("safe", 10, 1) +
                                    "[[load]]\nrate = 5\n[[change]]\nat = 5\nfactor = 4\nbackends = true\n");
  EXPECT_NEAR(slow.seconds[10].capacity, 10, 0.1);
}

TEST(SecondTier, FailurePropagatesAndOnlyIdempotentCallsAreRetried) {
  const std::string fail = "[[load]]\nrate = 10\n[[change]]\nat = 0\nwhat = \"fail\"\nbackends = true\n";
  const Report safe = play_with(Front::kModule, two_tiers("safe", 4, 4) + fail);
  EXPECT_EQ(safe.served, 0);
  EXPECT_EQ(safe.violation_count, 0u);
  EXPECT_GT(safe.second_tier_attempts, safe.attempts) << "the sidecars retry";
  const Report unsafe = play_with(Front::kModule, two_tiers("unsafe", 4, 4) + fail);
  EXPECT_EQ(unsafe.served, 0);
  EXPECT_EQ(unsafe.violation_count, 0u);
  EXPECT_LE(unsafe.second_tier_attempts, unsafe.attempts) << "at most once each";
  EXPECT_LE(unsafe.attempts, unsafe.offered);
}

TEST(SecondTier, ServerThatStopsDuringCallsResetsThem) {
  const std::string text = two_tiers("unsafe", 4, 4) +
                           "[[load]]\nrate = 20\n[[change]]\nat = 10\nwhat = \"stop\"\nfirst = 0\nlast = 0\n"
                           "[[change]]\nat = 14\nwhat = \"start\"\nfirst = 0\nlast = 0\n";
  const Report r = play_with(Front::kModule, text);
  EXPECT_EQ(r.violation_count, 0u) << r.violations[0];
  EXPECT_GE(r.failed, 1) << "requests on it are lost and must not be retried";
  EXPECT_LE(r.failed, 8);
  EXPECT_EQ(r.seconds[17].in_time, r.seconds[17].offered) << "the server and its sidecar are up again";
  EXPECT_NEAR(r.seconds[17].capacity, 80, 1);
}

TEST(SecondTier, SidecarsAreNotifiedOfABackendThatStops) {
  const Report r = play_with(
      Front::kModule, two_tiers("safe", 4, 4) +
                          "[[load]]\nrate = 20\n[[change]]\nat = 10\nwhat = \"stop\"\nfirst = 1\nlast = 1\n"
                          "backends = true\n");
  EXPECT_EQ(r.violation_count, 0u);
  EXPECT_EQ(r.seconds[15].in_time, r.seconds[15].offered);
  const Report direct = play_with(
      Front::kDirect, two_tiers("safe", 4, 4) +
                          "[[load]]\nrate = 20\n[[change]]\nat = 10\nwhat = \"drain\"\nfirst = 1\nlast = 1\n"
                          "backends = true\n");
  ASSERT_GT(direct.violation_count, 10u);
  EXPECT_EQ(direct.violations[0].rfind("drains-kept", 0), 0u) << direct.violations[0];
}

TEST(SecondTier, RunIsDeterminedByTheSeed) {
  const std::string text = two_tiers("keyed", 2, 1) + "[clients]\nretries = 3\n[[load]]\nx = 1.5\n";
  const Report a = play_with(Front::kModule, text), b = play_with(Front::kModule, text);
  EXPECT_EQ(a.attempts, b.attempts);
  EXPECT_EQ(a.second_tier_attempts, b.second_tier_attempts);
  EXPECT_EQ(a.in_time, b.in_time);
  EXPECT_EQ(a.work, b.work);
  EXPECT_EQ(a.violation_count, 0u);
}

// A slow second tier keeps first-tier slots occupied and makes clients retry; the report must show the cost.
TEST(SecondTier, SlowBackendsRaiseRetriesAndWastedWork) {
  const std::string text = two_tiers("safe", 8, 2) +
                           "[clients]\nretries = 3\ntry_share = 0.5\n[[load]]\nrate = 40\n"
                           "[[change]]\nat = 5\nfactor = 4\nbackends = true\n";
  const Report direct = play_with(Front::kDirect, text);
  EXPECT_GT(direct.client_attempts / direct.offered, 2) << "nothing is rejected, so all clients retry";
  EXPECT_GT(direct.wasted, 0.5 * direct.work);
}

// ---------------------------------------------------------------- floods

const std::string kTenants =
    "seconds = 20\nsettle = 0\ncopies = 2\n[[class]]\nservice = \"constant\"\nmean_ms = 20\naim_ms = 500\n"
    "give_up_ms = 1500\n[[tenant]]\nname = \"a\"\n[[tenant]]\nname = \"b\"\n[[servers]]\ncount = 4\nworkers "
    "= 4\n"
    "[[load]]\nrate = 100\n";

TEST(Floods, AddToTheLoadAndCountForTheirTenant) {
  const Report r =
      play_with(Front::kModule, kTenants + "[[flood]]\ntenant = \"b\"\nat = 5\nlasts = 10\nrate = 200\n");
  EXPECT_NEAR(r.tenants[0].offered, 1000, 100);
  EXPECT_NEAR(r.tenants[1].offered, 1000 + 2000, 200);
  EXPECT_NEAR(r.offered, r.tenants[0].offered + r.tenants[1].offered, 1e-9);
  EXPECT_NEAR(r.seconds[10].offered, 300, 80);
  EXPECT_NEAR(r.seconds[17].offered, 100, 50) << "the flood is over";
  EXPECT_EQ(r.tenants[0].in_time, r.tenants[0].offered);
}

TEST(Floods, ThroughOneReplicaReachNoOther) {
  const Report r =
      play_with(Front::kModule, kTenants +
                                    "[[flood]]\ntenant = \"b\"\nat = 5\nlasts = 10\nrate = 200\nnode = 1\n"
                                    "[[change]]\nat = 6\nwhat = \"restart\"\ncopy = 1\ndown_ms = 500\n");
  EXPECT_EQ(r.violation_count, 0u);
  EXPECT_GT(r.tenants[1].served, 0.9 * r.tenants[1].offered)
      << "while the replica is down, requests go to the other";
}

TEST(Floods, OfAnUnknownTenantAreErrorsWithTheirLine) {
  for (const char* wrong :
       {"tenant = \"c\"\nrate = 5\n", "tenant = \"a\"\n", "tenant = \"a\"\nrate = 5\nnode = 2\n",
        "tenant = \"a\"\nrate = 5\nspeed = 1\n"}) {
    try {
      parse_scenario(kTenants + "[[flood]]\n" + wrong, "test.toml");
      FAIL() << "accepted: " << wrong;
    } catch (const std::runtime_error& problem) {
      EXPECT_EQ(std::string(problem.what()).find("test.toml:"), 0u) << problem.what();
    }
  }
}

}  // namespace
}  // namespace thymewood::bench
