// When a node tells its callers to ask another: cut off from peers and servers alike, and in no other case.
#include "isolation.h"

#include <gtest/gtest.h>

namespace thymewood::membership {
namespace {

void attempts(Isolation& node, double from, int count, bool heard) {
  for (int i = 0; i < count; ++i) node.attempt_ended(from + 0.01 * i, heard);
}

TEST(Isolation, NeedsBothPeersAndServersToBeSilent) {
  Isolation servers_only({}), peers_only({}), both({});
  servers_only.sees(Confidence::kPart);
  attempts(servers_only, 1, 50, false);
  EXPECT_FALSE(servers_only.isolated()) << "an outage that all nodes see";
  peers_only.sees(Confidence::kCutOff);
  attempts(peers_only, 1, 50, true);
  EXPECT_FALSE(peers_only.isolated()) << "as ever";
  both.sees(Confidence::kCutOff);
  attempts(both, 1, 9, false);
  EXPECT_FALSE(both.isolated()) << "too few to say";
  attempts(both, 2, 1, false);
  EXPECT_TRUE(both.isolated());
  EXPECT_TRUE(both.refuses(2.1));
}

TEST(Isolation, OfMostServersIsEnoughAndOfSomeIsNot) {
  Isolation most({}), some({});
  for (Isolation* node : {&most, &some}) node->sees(Confidence::kCutOff);
  for (int i = 0; i < 50; ++i) {
    most.attempt_ended(1 + 0.01 * i, i % 10 == 0);
    some.attempt_ended(1 + 0.01 * i, i % 2 == 0);
  }
  EXPECT_TRUE(most.isolated());
  EXPECT_FALSE(some.isolated());
}

TEST(Isolation, OldAttemptsSayNothing) {
  Isolation node({});
  node.sees(Confidence::kCutOff);
  for (int i = 0; i < 100; ++i) node.attempt_ended(i, false);  // one a second
  EXPECT_FALSE(node.isolated());
}

TEST(Isolation, OneRequestNowAndThenTriesWhetherServersAreBack) {
  Isolation node({});
  node.sees(Confidence::kCutOff);
  attempts(node, 1, 20, false);
  int through = 0;
  for (int i = 0; i < 1000; ++i) through += node.refuses(2 + 0.01 * i) ? 0 : 1;
  EXPECT_GE(through, 9);
  EXPECT_LE(through, 11) << "of a thousand in ten seconds";
  node.attempt_ended(13, true);
  node.attempt_ended(14, false);
  node.attempt_ended(15, true);
  EXPECT_TRUE(node.isolated()) << "one answer may be chance";
  node.attempt_ended(16, true);
  EXPECT_FALSE(node.isolated());
  EXPECT_FALSE(node.refuses(16.1));
}

TEST(Isolation, EndsAtOnceWhenPeersAreReachedAgain) {
  Isolation node({});
  node.sees(Confidence::kCutOff);
  attempts(node, 1, 20, false);
  ASSERT_TRUE(node.isolated());
  node.sees(Confidence::kPart);
  EXPECT_FALSE(node.refuses(1.5));
}

}  // namespace
}  // namespace thymewood::membership
