// Limits on the requests in flight per server and over the whole tier.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Capacity, BoundsRequestsInFlightAtServersThatDoNotAnswer) {
  Replica replica(settings_with_ample_quota());
  replica.handle_at(0, make_endpoint_list(3));
  int sent = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    replica.now = i * 0.01;
    const auto actions = replica.request(std::to_string(i));
    sent += static_cast<int>(actions_of_type<Send>(actions).size());
    rejected += static_cast<int>(actions_of_type<Reject>(actions).size());
  }
  EXPECT_EQ(sent + rejected, 300);
  EXPECT_GT(sent, 3);
  EXPECT_LT(sent, 40);
}

// If each of many replicas used the whole initial limit, replicas that start together would overload the
// servers.
TEST(Capacity, SplitsTheInitialLimitBetweenReplicas) {
  std::map<std::string, int> in_flight;
  for (int index = 0; index < 8; ++index) {
    Settings s = settings_with_ample_quota();
    s.replica_index = index;
    s.replica_count = 8;
    Replica replica(s, static_cast<std::uint64_t>(index) + 1);
    replica.handle_at(0, make_endpoint_list(10));
    for (int i = 0; i < 100; ++i) {
      for (const Send& send : actions_of_type<Send>(replica.request(std::to_string(i))))
        ++in_flight[send.server];
    }
  }
  EXPECT_EQ(in_flight.size(), 10U);
  for (const auto& [address, requests] : in_flight) EXPECT_LE(requests, 16) << address;
}

// With many replicas, the share of a server's limit at each replica is less than one request, so two requests
// close together exceed it.
TEST(Capacity, DoesNotRejectAFewRequestsByRandomVariation) {
  Settings s = settings_with_ample_quota();
  s.replica_count = 500;
  s.tenants = {{100000.0}};
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(100));
  std::map<int, std::string> ids_by_end_step;  // keyed by the step in which the request ends
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    replica.now = 10 + i * 0.02;
    if (ids_by_end_step.count(i) != 0) replica.end_attempt(ids_by_end_step[i], Outcome::kSuccess, 0, 0.4);
    if (i % 25 > 1) continue;  // two requests close together, twice a second
    const std::string id = std::to_string(i);
    const auto actions = replica.request(id);
    rejected += static_cast<int>(actions_of_type<Reject>(actions).size());
    if (!actions_of_type<Send>(actions).empty()) ids_by_end_step[i + 20] = id;
  }
  EXPECT_EQ(rejected, 0);
}

// A rejection behind the first tier wastes the work that was done in the tiers above.
TEST(Capacity, RejectsNothingBehindTheFirstTier) {
  Settings s = settings_with_ample_quota();
  s.tier = 1;
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(3));
  for (int i = 0; i < 300; ++i)
    EXPECT_EQ(actions_of_type<Send>(replica.request(std::to_string(i))).size(), 1U);
}

// Sends requests that receive no response until one is rejected; returns the number sent.
int send_until_rejected(Replica& replica, const std::string& prefix) {
  int sent = 0;
  while (!actions_of_type<Send>(replica.request(prefix + std::to_string(sent))).empty()) ++sent;
  return sent;
}

// Behind the first tier, capacity is only preferred: a failing server with capacity must not be selected
// before a healthy one without.
TEST(Capacity, DoesNotPreferAFailingServerBehindTheFirstTier) {
  Settings s = settings_with_ample_quota();
  s.tier = 1;
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(4));
  int to_failing = 0;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    const auto sends = actions_of_type<Send>(replica.request(id));
    if (sends.empty() || sends[0].server != "s2") continue;  // the others do not respond
    to_failing += i >= 50 ? 1 : 0;
    replica.end_attempt(id, Outcome::kError);
  }
  EXPECT_LT(to_failing, 40);
}

// Summed over many replicas, the headroom for random variation would overload the servers.
TEST(Capacity, AllowsForRandomVariationOnlyAtLowLatency) {
  const auto in_flight = [](double latency) {
    Replica replica(settings_with_ample_quota());
    replica.handle_at(0, make_endpoint_list(20));
    for (int i = 0; i < 200; ++i) {
      replica.now = i * 0.2;
      const std::string id = "a" + std::to_string(i);
      if (!actions_of_type<Send>(replica.request(id)).empty())
        replica.end_attempt(id, Outcome::kSuccess, 0, i < 100 ? 0.4 : latency);
    }
    return send_until_rejected(replica, "b");
  };
  EXPECT_GT(in_flight(0.4), in_flight(1.9));
}

// If each of many replicas rounded its limit up to one request, the sum would far exceed the limit of the
// tier.
TEST(Capacity, LimitsToLessThanOneRequestPerReplicaUnderOverload) {
  Settings s = settings_with_ample_quota();
  s.replica_count = 500;
  s.tenants = {{1000000.0}};
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(20));
  const auto count_admitted = [&](double from, double latency) {
    int sent = 0;
    for (int i = 0; i < 200; ++i) {
      replica.now = from + i;  // one request at a time, too few for a steady response rate
      const std::string id = std::to_string(replica.now);
      if (actions_of_type<Send>(replica.request(id)).empty()) continue;
      ++sent;
      replica.end_attempt(id, Outcome::kSuccess, 0, latency);
    }
    return sent;
  };
  EXPECT_EQ(count_admitted(0, 0.3), 200) << "at low latency there is headroom for random variation";
  const int admitted_under_overload = count_admitted(1000, 1.9);
  EXPECT_GT(admitted_under_overload, 20) << "otherwise the end of the overload would go unnoticed";
  EXPECT_LT(admitted_under_overload, 190);
}

// A fault of one server must not be mistaken for an overload of the tier.
TEST(Capacity, KeepsTheLimitOfOtherServersWhenOneSlowsDown) {
  const auto limit_after = [](double slow_latency) {
    Replica replica(settings_with_ample_quota());
    replica.handle_at(0, make_endpoint_list(4));
    for (int i = 0; i < 800; ++i) {
      replica.now = i * 0.025;
      const std::string id = "fast" + std::to_string(i);
      replica.request(id);
      replica.end_attempt(id, Outcome::kSuccess, 0, 0.2);
    }
    for (int i = 0; i < 4; ++i) replica.request("in_flight" + std::to_string(i));
    for (int i = 0; i < 60; ++i) {
      replica.now += 0.025;
      const std::string id = "slow" + std::to_string(i);
      const auto sends = actions_of_type<Send>(replica.request(id));
      if (!sends.empty())
        replica.end_attempt(id, Outcome::kSuccess, 0, sends[0].server == "s0" ? slow_latency : 0.2);
    }
    return 4 + send_until_rejected(replica, "more");
  };
  const int limit_without_slowdown = limit_after(0.2);
  const int limit_with_slow_server = limit_after(1.5);
  EXPECT_GT(limit_without_slowdown, 8);
  EXPECT_GE(limit_with_slow_server, limit_without_slowdown * 3 / 4);
}

}  // namespace
}  // namespace thymewood
