// Which servers may be used while nothing confirms the endpoint list.
#include "endpoint_lease.h"

#include <gtest/gtest.h>

#include <limits>
#include <set>

#include "balancer_harness.h"

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

// Sends one request at `at`; returns the servers that get it until it is answered or retries end. Those of
// `rejecting` reject it.
std::set<std::string> play(Replica& replica, double at, const std::set<std::string>& rejecting) {
  static int count = 0;
  const std::string id = "r" + std::to_string(++count);
  replica.now = at;
  std::set<std::string> out;
  auto sends = all<Send>(replica.request(id));
  for (int attempt = 0; !sends.empty(); ++attempt) {
    const std::string server = sends[0].server;
    out.insert(server);
    sends = all<Send>(
        replica.end(id, rejecting.contains(server) ? Outcome::kRejected : Outcome::kSuccess, attempt, 0.001));
  }
  return out;
}

TEST(EndpointLease, HasNoEffectWithAnInfiniteDuration) {
  const EndpointLease lease(std::numeric_limits<double>::infinity());
  EXPECT_TRUE(lease.is_current());
  EXPECT_TRUE(lease.covers(1e9, -1e9));
}

TEST(EndpointLease, RunsFromTheListOrTheLastAcceptedRequest) {
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

TEST(EndpointLease, EndsSoonerForChangesFromBeforeDiscoveryMoved) {
  EndpointLease lease(kLease);
  lease.list_is_current();
  lease.list_is_stale(100);
  lease.discovery_moved(100.5, 2);
  EXPECT_TRUE(lease.covers(103.4, 0));
  EXPECT_FALSE(lease.covers(103.5, 0));
  EXPECT_TRUE(lease.covers(104, 100.6)) << "accepted after the move: the full time";
  EXPECT_FALSE(lease.covers(104, 100.4));
}

TEST(StaleEndpointList, ExcludesARejectingServerWhenItsLeaseEnds) {
  Replica replica(leased_settings());
  replica.at(0, endpoints(4));
  replica.at(0, current());
  for (int i = 0; i < 200; ++i) play(replica, 0.02 * i, {});
  replica.at(4, stale(4));
  double last = 0;
  for (double t = 4; t < 60; t += 0.02) {
    if (play(replica, t, {"s1"}).contains("s1")) last = t;
  }
  EXPECT_GT(last, 4.5);
  EXPECT_LT(last, 4 + kLease);
  replica.at(60, current());
  bool used = false;
  for (int i = 0; i < 200; ++i) used |= play(replica, 60 + 0.02 * i, {}).contains("s1");
  EXPECT_TRUE(used) << "with a current list all servers are usable";
}

TEST(StaleEndpointList, KeepsUsingServersThatAnswer) {
  Replica replica(leased_settings());
  replica.at(0, endpoints(4));
  replica.at(0, stale(0));
  std::set<std::string> late;
  for (double t = 0; t < 300; t += 0.05) {
    const auto used = play(replica, t, {});
    EXPECT_EQ(used.size(), 1U) << t;
    if (t > 290) late.insert(used.begin(), used.end());
  }
  EXPECT_GT(late.size(), 1U);
}

// With no lease left each request is a risk: one at a time, and each server in its turn.
TEST(StaleEndpointList, TriesUnconfirmedServersOneAtATime) {
  Replica replica(leased_settings());
  replica.at(0, endpoints(4));
  replica.at(0, stale(0));
  std::set<std::string> tried;
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto used = play(replica, 100 + 0.01 * i, {"s0", "s1", "s2", "s3"});
    sent += static_cast<int>(used.size());
    tried.insert(used.begin(), used.end());
  }
  EXPECT_EQ(sent, 4) << "in a second, 0.25 s apart";
  EXPECT_EQ(tried.size(), 4U);
  EXPECT_EQ(play(replica, 102, {}).size(), 1U);
  EXPECT_EQ(play(replica, 102.01, {}).size(), 1U) << "the server that has answered is confirmed";
}

}  // namespace
}  // namespace thymewood
