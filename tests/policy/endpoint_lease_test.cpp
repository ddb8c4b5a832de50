// Which servers may be used while nothing confirms the list, and when discovery is called again.
#include "endpoint_lease.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "balancer_harness.h"
#include "reconnect_herd.h"
#include "watch_backoff.h"

namespace thymewood {
namespace {

constexpr double kLease = 5;

Settings leased_settings() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  s.endpoint_lease = kLease;
  return s;
}

EndpointListFreshness stale(double as_of) { return {EndpointListFreshness::State::kStale, as_of}; }
EndpointListFreshness current() { return {EndpointListFreshness::State::kCurrent}; }

// One request at `at`: the servers that it is sent to until it is answered or given up. Those of `rejecting`
// turn it away.
std::set<std::string> play(Copy& copy, double at, const std::set<std::string>& rejecting) {
  static int count = 0;
  const std::string id = "r" + std::to_string(++count);
  copy.now = at;
  std::set<std::string> out;
  auto sends = all<Send>(copy.request(id));
  for (int attempt = 0; !sends.empty(); ++attempt) {
    const std::string server = sends[0].server;
    out.insert(server);
    sends = all<Send>(
        copy.end(id, rejecting.contains(server) ? Outcome::kRejected : Outcome::kSuccess, attempt, 0.001));
  }
  return out;
}

TEST(EndpointLease, IsWithoutEffectWhereListsNeedNoConfirmation) {
  const EndpointLease lease(std::numeric_limits<double>::infinity());
  EXPECT_TRUE(lease.is_current());
  EXPECT_TRUE(lease.covers(1e9, -1e9));
}

TEST(EndpointLease, RunsFromTheListOrFromTheLastAcceptedRequest) {
  EndpointLease lease(kLease);
  lease.list_is_current();
  EXPECT_TRUE(lease.covers(100, 0));
  lease.list_is_stale(100);
  EXPECT_TRUE(lease.covers(104.9, 0));
  EXPECT_FALSE(lease.covers(105, 0));
  EXPECT_TRUE(lease.covers(105, 101));
  EXPECT_FALSE(lease.covers(106, 101));
  lease.list_is_current();
  EXPECT_TRUE(lease.covers(200, 101));
}

TEST(EndpointLease, EndsSoonerForWhatDiscoveryHadWhenItMoved) {
  EndpointLease lease(kLease);
  lease.list_is_current();
  lease.list_is_stale(100);
  lease.discovery_moved(100.5, 2);
  EXPECT_TRUE(lease.covers(103.4, 0));
  EXPECT_FALSE(lease.covers(103.5, 0));
  EXPECT_TRUE(lease.covers(104, 100.6)) << "accepted after the move: the usual time";
  EXPECT_FALSE(lease.covers(104, 100.4));
}

TEST(StaleMembership, AServerThatTurnsAllAwayIsLeftOutWhenItsLeaseEnds) {
  Copy copy(leased_settings());
  copy.at(0, members(4));
  copy.at(0, current());
  for (int i = 0; i < 200; ++i) play(copy, 0.02 * i, {});
  copy.at(4, stale(4));
  double last = 0;
  for (double t = 4; t < 60; t += 0.02) {
    if (play(copy, t, {"s1"}).contains("s1")) last = t;
  }
  EXPECT_GT(last, 4.5);
  EXPECT_LT(last, 4 + kLease);
  copy.at(60, current());
  bool used = false;
  for (int i = 0; i < 200; ++i) used |= play(copy, 60 + 0.02 * i, {}).contains("s1");
  EXPECT_TRUE(used) << "by a list that is current all servers count";
}

TEST(StaleMembership, ServersThatAnswerAreUsedOn) {
  Copy copy(leased_settings());
  copy.at(0, members(4));
  copy.at(0, stale(0));
  std::set<std::string> late;
  for (double t = 0; t < 300; t += 0.05) {
    const auto used = play(copy, t, {});
    EXPECT_EQ(used.size(), 1U) << t;
    if (t > 290) late.insert(used.begin(), used.end());
  }
  EXPECT_GT(late.size(), 1U);
}

// With no lease left each request is one more risk: one at a time, and each server in its turn.
TEST(StaleMembership, AfterAQuietTimeServersAreTriedOneAtATime) {
  Copy copy(leased_settings());
  copy.at(0, members(4));
  copy.at(0, stale(0));
  std::set<std::string> tried;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto used = play(copy, 100 + 0.01 * i, {"s0", "s1", "s2", "s3"});
    sent += static_cast<int>(used.size());
    tried.insert(used.begin(), used.end());
  }
  EXPECT_EQ(sent, 4) << "in a second, 0.25 s apart";
  EXPECT_EQ(tried.size(), 4U);
  EXPECT_EQ(play(copy, 102, {}).size(), 1U);
  EXPECT_EQ(play(copy, 102.01, {}).size(), 1U) << "the one that has answered is confirmed";
}

TEST(WatchBackoff, ACallThatHasWaitedIsRepeatedAtTheFleetsPace) {
  WatchBackoff retry(10);
  Random random(1);
  double sum = 0, least = 100, most = 0;
  for (int i = 0; i < 1000; ++i) {
    const double pause = retry.pause_after(WatchFailure{false, 2}, random);
    sum += pause;
    least = std::min(least, pause);
    most = std::max(most, pause);
  }
  EXPECT_NEAR(sum / 1000 + 2, 8, 0.3) << "one call of each node in the time that discovery may need for them";
  EXPECT_LT(least, 2.2);
  EXPECT_LT(most, 10);
}

TEST(WatchBackoff, CallsThatFailAtOnceAreRepeatedWithinTheTimeThatChangesTake) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff retry(10);
    Random random(seed);
    double after_move = 0;
    for (int i = 0; i < 5; ++i) after_move += retry.pause_after(WatchFailure{false, 0.01}, random);
    EXPECT_LT(after_move, 4);
    for (int i = 0; i < 20; ++i) retry.pause_after(WatchFailure{false, 0.01}, random);
    double three = 0;
    for (int i = 0; i < 3; ++i) three += retry.pause_after(WatchFailure{false, 0.01}, random);
    EXPECT_LT(three, 6);
  }
}

TEST(WatchBackoff, WatchesThatEndTogetherAreSpread) {
  Random random(1);
  WatchBackoff usual(10), hasty(1);
  double most = 0, most_hasty = 0;
  for (int i = 0; i < 200; ++i) {
    most = std::max(most, usual.pause_after(WatchFailure{true, 0}, random));
    most_hasty = std::max(most_hasty, hasty.pause_after(WatchFailure{true, 0}, random));
  }
  EXPECT_GT(most, 1.8);
  EXPECT_LT(most_hasty, 0.25) << "a list that may be used for 1 s is asked for well within that";
}

// All nodes hold a list again, though discovery needs 8 s for one call of each and wastes the work of those
// that it turns away.
TEST(WatchBackoff, AFleetThatAsksTogetherIsServed) {
  for (const int nodes : {50, 300, 900}) {
    for (const double work_of_all : {0.5, 4.0, 8.0}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        bench::HerdPlan plan;
        plan.nodes = nodes;
        plan.work_of_all = work_of_all;
        plan.restarted_part = 0.1;
        const auto result = bench::simulate_herd(
            plan,
            [] {
              const auto retry = std::make_shared<WatchBackoff>(10);
              return bench::BackoffPolicy(
                  [retry](const auto& failure, auto& dice) { return retry->pause_after(failure, dice); });
            },
            seed);
        EXPECT_LT(result.last(), 30) << nodes << " nodes, " << work_of_all << " s for all, seed " << seed;
        EXPECT_GT(result.share_within(6), 0.5);
      }
    }
  }
}

}  // namespace
}  // namespace thymewood
