// Which servers the table contains, and which of them may be used in each endpoint state.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "balancer_harness.h"

namespace thymewood {
namespace {

// Replaces all servers repeatedly: the table must not grow with each server that was ever listed.
TEST(ServerTable, ForgetsRemovedServersWithoutPendingRequests) {
  Replica replica(basic_settings());
  constexpr int kListed = 5, kUpdates = 1000;
  replica.handle_at(0, make_endpoint_list(kListed));
  const auto sent = actions_of_type<Send>(replica.request("in_flight"));
  ASSERT_EQ(sent.size(), 1U);
  for (int i = kListed; i < kUpdates; ++i) {
    EndpointUpdate change;
    change.form = i % 7 == 0 ? EndpointUpdate::Form::kFull : EndpointUpdate::Form::kDelta;
    if (change.form == EndpointUpdate::Form::kFull) {
      for (int listed = i - kListed + 1; listed < i; ++listed)
        change.endpoints.push_back(make_endpoint(listed));
    } else {
      change.endpoints.push_back(make_endpoint(i - kListed));
      change.endpoints.back().state = EndpointState::kRemoved;
    }
    change.endpoints.push_back(make_endpoint(i));
    replica.handle_at(i, change);
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(actions_of_type<Send>(replica.request(id)).size(), 1U);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  EXPECT_EQ(replica.balancer.known_endpoints(), kListed + 1U)
      << "the listed servers, and the one to which the pending request refers";
  replica.end_attempt("in_flight", Outcome::kSuccess);
  EXPECT_EQ(replica.balancer.known_endpoints(), static_cast<std::size_t>(kListed));
}

std::set<std::string> servers_used(Replica& replica, int requests, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < requests; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const Send& send : actions_of_type<Send>(replica.request(id))) used.insert(send.server);
    replica.end_attempt(id, Outcome::kSuccess);
  }
  return used;
}

TEST(ServerTable, SendsNothingToDrainingOrRemovedServers) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Replica replica(basic_settings());
    replica.handle_at(0, make_endpoint_list(3));
    EXPECT_EQ(servers_used(replica, 50, "a").size(), 3U);
    EndpointUpdate change;
    change.form = EndpointUpdate::Form::kDelta;
    change.endpoints = {make_endpoint(1)};
    change.endpoints[0].state = state;
    replica.handle_at(1, change);
    EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s2"}));
    change.endpoints[0].state = EndpointState::kReady;
    replica.handle_at(2, change);
    EXPECT_EQ(servers_used(replica, 50, "c").size(), 3U);
  }
}

TEST(ServerTable, RemovesServersMissingFromAFullList) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(3));
  replica.handle_at(1, make_endpoint_list(2));
  EXPECT_EQ(servers_used(replica, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  replica.handle_at(2, failed);
  EXPECT_EQ(servers_used(replica, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

}  // namespace
}  // namespace thymewood
