// Effects of a changed replica set: the subset and this replica's part of a quota follow it, and no server
// becomes usable that the endpoint list or another rule excludes.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "balancer_harness.h"

namespace thymewood {
namespace {

constexpr int kServers = 40;

Settings replica_settings(int replica, int count) {
  Settings s;
  s.replica_index = replica;
  s.replica_count = count;
  s.max_attempts = 2;
  RequestClass c;
  c.latency_objective = 1;
  c.client_timeout = 2;
  c.idempotency = Idempotency::kIdempotent;
  s.classes.push_back(c);
  return s;
}

EndpointUpdate endpoint_list(int servers, EndpointState state = EndpointState::kReady) {
  EndpointUpdate out;
  for (int i = 0; i < servers; ++i) {
    Endpoint s;
    s.address = "s" + std::to_string(i);
    s.state = state;
    out.endpoints.push_back(s);
  }
  return out;
}

class ReplicaUnderTest {
 public:
  ReplicaUnderTest(const Settings& settings, int servers) : balancer_(settings, 7) {
    notify(endpoint_list(servers));
    notify(Started{});
  }
  void notify(const Event& event) { actions_of(event); }
  // Sends `requests` requests, each answered immediately. Returns the number of requests for each server.
  std::map<std::string, int> send(int requests) {
    std::map<std::string, int> out;
    for (int i = 0; i < requests; ++i) {
      now_ += 0.01;
      Request r;
      r.id = "r" + std::to_string(++requests_);
      r.time_left = 2;
      for (const Action& action : actions_of(r)) {
        const auto* sent = std::get_if<Send>(&action);
        if (sent == nullptr) continue;
        out[sent->server] += 1;
        const std::string id = sent->id;
        actions_of(AttemptResult{id, 0, Outcome::kSuccess, 0.005, true});
        break;
      }
    }
    return out;
  }
  TenantLimitView tenant() const { return balancer_.tenant(now_, 0); }

 private:
  std::vector<Action> actions_of(const Event& event) {
    std::vector<Action> out;
    balancer_.handle(now_, event, out);
    return out;
  }
  Balancer balancer_;
  double now_ = 1;
  int requests_ = 0;
};

std::set<std::string> server_names(const std::map<std::string, int>& sent) {
  std::set<std::string> out;
  for (const auto& [name, count] : sent) out.insert(name);
  return out;
}

TEST(ReplicaSetChanged, ChangesTheSubset) {
  ReplicaUnderTest replica(replica_settings(9, 20), kServers);
  const std::set<std::string> before = server_names(replica.send(400));
  EXPECT_EQ(before.size(), 5u);
  replica.notify(ReplicaSetChanged{3, 20, 20, false});
  const std::set<std::string> after = server_names(replica.send(400));
  EXPECT_EQ(after.size(), 5u);
  EXPECT_NE(before, after);
  replica.notify(ReplicaSetChanged{9, 20, 20, false});
  EXPECT_EQ(server_names(replica.send(400)), before);
}

TEST(ReplicaSetChanged, CoversAllServersWithHalfTheReplicas) {
  std::set<std::string> used_by_configured_count, used_by_live_count;
  for (int rank = 0; rank < 10; ++rank) {
    // The first ten of twenty replicas have failed.
    ReplicaUnderTest replica(replica_settings(10 + rank, 20), kServers);
    for (const std::string& name : server_names(replica.send(400))) used_by_configured_count.insert(name);
    replica.notify(ReplicaSetChanged{rank, 10, 20, false});
    for (const std::string& name : server_names(replica.send(800))) used_by_live_count.insert(name);
  }
  EXPECT_LT(used_by_configured_count.size(), 30u)
      << "with the configured count some servers are in no subset";
  EXPECT_EQ(used_by_live_count.size(), static_cast<std::size_t>(kServers));
}

TEST(ReplicaSetChanged, WidensSubsetsWhileSettling) {
  ReplicaUnderTest replica(replica_settings(2, 8), kServers);
  EXPECT_EQ(server_names(replica.send(2000)).size(), 10u) << "two replicas for each server";
  replica.notify(ReplicaSetChanged{2, 8, 8, true});
  EXPECT_EQ(server_names(replica.send(4000)).size(), 25u) << "five replicas for each server";
  replica.notify(ReplicaSetChanged{2, 8, 8, false});
  EXPECT_EQ(server_names(replica.send(2000)).size(), 10u);
}

TEST(ReplicaSetChanged, IsIgnoredWhenInvalid) {
  ReplicaUnderTest replica(replica_settings(9, 20), kServers);
  const std::set<std::string> before = server_names(replica.send(400));
  for (const ReplicaSetChanged& invalid :
       {ReplicaSetChanged{-1, 5, 5, false}, ReplicaSetChanged{5, 5, 5, false},
        ReplicaSetChanged{0, 0, 0, false}})
    replica.notify(invalid);
  EXPECT_EQ(server_names(replica.send(400)), before);
}

TEST(ReplicaSetChanged, MakesNoServerUsable) {
  ReplicaUnderTest replica(replica_settings(1, 4), 6);
  EndpointUpdate drain;
  drain.form = EndpointUpdate::Form::kDelta;
  drain.endpoints = endpoint_list(3, EndpointState::kDraining).endpoints;
  replica.notify(drain);
  replica.notify(ReplicaSetChanged{0, 1, 1, true});
  for (const std::string& name : server_names(replica.send(500)))
    EXPECT_TRUE(name == "s3" || name == "s4" || name == "s5") << name;
}

TEST(ReplicaSetChanged, ScalesTheQuotaOfTheReplica) {
  Settings s = replica_settings(0, 4);
  s.tenants.push_back({400.0});
  ReplicaUnderTest replica(s, kServers);
  const double before = replica.tenant().rate_limit;
  ASSERT_GT(before, 0);
  replica.notify(ReplicaSetChanged{0, 2, 4, false});
  EXPECT_NEAR(replica.tenant().rate_limit, 2 * before, 1e-9)
      << "half of the replicas are live: twice the quota for each";
  replica.notify(ReplicaSetChanged{0, 4, 4, false});
  EXPECT_NEAR(replica.tenant().rate_limit, before, 1e-9);
}

}  // namespace
}  // namespace thymewood
