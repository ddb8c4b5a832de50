// Tests that a node rejects requests only if it can reach neither its peers nor its servers.
#include "isolation.h"

#include <gtest/gtest.h>

namespace thymewood::membership {
namespace {

void end_attempts(IsolationDetector& node, double from, int count, bool answered) {
  for (int i = 0; i < count; ++i) node.on_attempt_ended(from + 0.01 * i, answered);
}

TEST(IsolationDetector, RequiresBothPeersAndServersToBeSilent) {
  IsolationDetector servers_only({}), peers_only({}), both({});
  servers_only.on_connectivity(Connectivity::kPartial);
  end_attempts(servers_only, 1, 50, false);
  EXPECT_FALSE(servers_only.is_isolated()) << "all nodes see the same outage";
  peers_only.on_connectivity(Connectivity::kPartitioned);
  end_attempts(peers_only, 1, 50, true);
  EXPECT_FALSE(peers_only.is_isolated()) << "the servers respond";
  both.on_connectivity(Connectivity::kPartitioned);
  end_attempts(both, 1, 9, false);
  EXPECT_FALSE(both.is_isolated()) << "too few attempts";
  end_attempts(both, 2, 1, false);
  EXPECT_TRUE(both.is_isolated());
  EXPECT_TRUE(both.should_reject(2.1));
}

TEST(IsolationDetector, TriggersWhenMostAttemptsAreUnanswered) {
  IsolationDetector most({}), some({});
  for (IsolationDetector* node : {&most, &some}) node->on_connectivity(Connectivity::kPartitioned);
  for (int i = 0; i < 50; ++i) {
    most.on_attempt_ended(1 + 0.01 * i, i % 10 == 0);
    some.on_attempt_ended(1 + 0.01 * i, i % 2 == 0);
  }
  EXPECT_TRUE(most.is_isolated());
  EXPECT_FALSE(some.is_isolated());
}

TEST(IsolationDetector, IgnoresAttemptsOutsideTheWindow) {
  IsolationDetector node({});
  node.on_connectivity(Connectivity::kPartitioned);
  for (int i = 0; i < 100; ++i) node.on_attempt_ended(i, false);  // one per second
  EXPECT_FALSE(node.is_isolated());
}

TEST(IsolationDetector, ForwardsTrialRequestsUntilTheServersRespond) {
  IsolationDetector node({});
  node.on_connectivity(Connectivity::kPartitioned);
  end_attempts(node, 1, 20, false);
  int forwarded = 0;
  for (int i = 0; i < 1000; ++i) forwarded += node.should_reject(2 + 0.01 * i) ? 0 : 1;
  EXPECT_GE(forwarded, 9);
  EXPECT_LE(forwarded, 11) << "of 1000 requests in ten seconds";
  node.on_attempt_ended(13, true);
  node.on_attempt_ended(14, false);
  node.on_attempt_ended(15, true);
  EXPECT_TRUE(node.is_isolated()) << "a single success is not sufficient";
  node.on_attempt_ended(16, true);
  EXPECT_FALSE(node.is_isolated());
  EXPECT_FALSE(node.should_reject(16.1));
}

TEST(IsolationDetector, EndsAtOnceWhenPeersAreReachable) {
  IsolationDetector node({});
  node.on_connectivity(Connectivity::kPartitioned);
  end_attempts(node, 1, 20, false);
  ASSERT_TRUE(node.is_isolated());
  node.on_connectivity(Connectivity::kPartial);
  EXPECT_FALSE(node.should_reject(1.5));
}

}  // namespace
}  // namespace thymewood::membership
