// How many requests may be in flight at a server and over the tier.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Capacity, BoundsRequestsInFlightAtServersThatDoNotAnswer) {
  Replica replica(settings_with_ample_quota());
  replica.at(0, endpoints(3));
  int sent = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    sent += static_cast<int>(all<Send>(actions).size());
    rejected += static_cast<int>(all<Reject>(actions).size());
  }
  EXPECT_EQ(sent + rejected, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// What each of many replicas takes for a small start is a crowd when all of them start together.
TEST(Capacity, SplitsTheInitialLimitBetweenReplicas) {
  std::map<std::string, int> in_flight;
  for (int index = 0; index < 8; ++index) {
    Settings s = settings_with_ample_quota();
    s.replica_index = index;
    s.replica_count = 8;
    Replica replica(s, static_cast<std::uint64_t>(index) + 1);
    replica.at(0, endpoints(10));
    for (int i = 0; i < 100; ++i) {
      for (const Send& send : all<Send>(replica.request(std::to_string(i)))) ++in_flight[send.server];
    }
  }
  EXPECT_EQ(in_flight.size(), 10U);
  for (const auto& [address, requests] : in_flight) EXPECT_LE(requests, 16) << address;
}

// With many replicas a server's limit is a fraction of a request each.
TEST(Capacity, DoesNotRejectAFewRequestsByRandomVariation) {
  Settings s = settings_with_ample_quota();
  s.replica_count = 500;
  s.tenants = {{100000.0}};
  Replica replica(s);
  replica.at(0, endpoints(100));
  std::map<int, std::string> open;  // by the step in which each ends
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    replica.now = 10 + i * 0.02;
    if (open.count(i) != 0) replica.end(open[i], Outcome::kSuccess, 0, 0.4);
    if (i % 25 > 1) continue;  // two requests close together, twice a second
    const std::string id = std::to_string(i);
    const auto actions = replica.request(id);
    rejected += static_cast<int>(all<Reject>(actions).size());
    if (!all<Send>(actions).empty()) open[i + 20] = id;
  }
  EXPECT_EQ(rejected, 0);
}

// A rejection past the first tier throws away the work that was done above it.
TEST(Capacity, RejectsNothingPastTheFirstTier) {
  Settings s = settings_with_ample_quota();
  s.tier = 1;
  Replica replica(s);
  replica.at(0, endpoints(3));
  for (int i = 0; i < 300; ++i) EXPECT_EQ(all<Send>(replica.request(std::to_string(i))).size(), 1U);
}

// Sends requests that no server answers until one is rejected; returns how many were sent.
int fill(Replica& replica, const std::string& prefix) {
  int sent = 0;
  while (!all<Send>(replica.request(prefix + std::to_string(sent))).empty()) ++sent;
  return sent;
}

// Past the first tier capacity is only preferred: a failing server with capacity must not come before a
// healthy one without.
TEST(Capacity, DoesNotPreferAFailingServerPastTheFirstTier) {
  Settings s = settings_with_ample_quota();
  s.tier = 1;
  Replica replica(s);
  replica.at(0, endpoints(4));
  int to_failing = 0;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    const auto sends = all<Send>(replica.request(id));
    if (sends.empty() || sends[0].server != "s2") continue;  // the others do not answer
    to_failing += i >= 50 ? 1 : 0;
    replica.end(id, Outcome::kError);
  }
  EXPECT_LT(to_failing, 40);
}

// Summed over many replicas, what each needs for random variation is a crowd.
TEST(Capacity, AllowsForRandomVariationOnlyAtLowLatency) {
  const auto in_flight = [](double answer) {
    Replica replica(settings_with_ample_quota());
    replica.at(0, endpoints(20));
    for (int i = 0; i < 200; ++i) {
      replica.now = i * 0.2;
      const std::string id = "a" + std::to_string(i);
      if (!all<Send>(replica.request(id)).empty())
        replica.end(id, Outcome::kSuccess, 0, i < 100 ? 0.4 : answer);
    }
    return fill(replica, "b");
  };
  EXPECT_GT(in_flight(0.4), in_flight(1.9));
}

// A limit rounded up to one request at each of many replicas is far above the limit over all of them.
TEST(Capacity, LimitsACrowdToLessThanOneRequestPerReplica) {
  Settings s = settings_with_ample_quota();
  s.replica_count = 500;
  s.tenants = {{1000000.0}};
  Replica replica(s);
  replica.at(0, endpoints(20));
  const auto admitted = [&](double from, double answer) {
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      replica.now = from + i;  // one request at a time, too few to fill a rate of answers
      const std::string id = std::to_string(replica.now);
      if (all<Send>(replica.request(id)).empty()) continue;
      ++sent;
      replica.end(id, Outcome::kSuccess, 0, answer);
    }
    return sent;
  };
  EXPECT_EQ(admitted(0, 0.3), 200) << "at low latency random variation is allowed for";
  const int crowded = admitted(1000, 1.9);
  EXPECT_GT(crowded, 20) << "or the end of the crowd would not be seen";
  EXPECT_LT(crowded, 190);
}

// One server's fault must not be taken for a crowd at the tier.
TEST(Capacity, KeepsTheLimitOfOtherServersWhenOneSlowsDown) {
  const auto limit_after = [](double slow_answer) {
    Replica replica(settings_with_ample_quota());
    replica.at(0, endpoints(4));
    for (int i = 0; i < 800; ++i) {
      replica.now = i * 0.025;
      const std::string id = "calm" + std::to_string(i);
      replica.request(id);
      replica.end(id, Outcome::kSuccess, 0, 0.2);
    }
    for (int i = 0; i < 4; ++i) replica.request("in_flight" + std::to_string(i));
    for (int i = 0; i < 60; ++i) {
      replica.now += 0.025;
      const std::string id = "slow" + std::to_string(i);
      const auto sends = all<Send>(replica.request(id));
      if (!sends.empty()) replica.end(id, Outcome::kSuccess, 0, sends[0].server == "s0" ? slow_answer : 0.2);
    }
    return 4 + fill(replica, "more");
  };
  const int calm = limit_after(0.2);
  const int crowded = limit_after(1.5);
  EXPECT_GT(calm, 8);
  EXPECT_GE(crowded, calm * 3 / 4);
}

}  // namespace
}  // namespace thymewood
