// The idle latency, learned from responses that may have met a queue.
#include "idle_latency.h"

#include <gtest/gtest.h>

namespace thymewood {
namespace {

// Responses of one ratio of the objective, a hundred a second.
void feed(IdleLatency& idle, double& now, double seconds, double part, bool queued) {
  for (const double end = now + seconds; now < end; now += 0.01) idle.add(now, part, queued);
}

TEST(IdleLatency, LearnsNothingInTheFirstSeconds) {
  IdleLatency idle;
  for (int i = 0; i < 290; ++i) idle.add(i * 0.01, 0.001, false);
  EXPECT_DOUBLE_EQ(idle.ratio(), 0.15);
  EXPECT_FALSE(idle.is_reliable());
  for (int i = 290; i < 320; ++i) idle.add(i * 0.01, 0.001, false);
  EXPECT_NEAR(idle.ratio(), 0.001, 1e-4);
  EXPECT_TRUE(idle.is_reliable());
}

TEST(IdleLatency, IsNotBoundedOnceConfirmed) {
  IdleLatency idle;
  double now = 0;
  feed(idle, now, 5, 0.4, true);
  ASSERT_LE(idle.ratio(), 0.3);
  idle.confirm_unqueued(now);
  EXPECT_TRUE(idle.is_reliable());
  feed(idle, now, 20, 0.4, true);
  EXPECT_NEAR(idle.ratio(), 0.4, 0.01) << "it stays";
  feed(idle, now, 20, 0.1, true);
  EXPECT_LT(idle.ratio(), 0.15) << "a quicker tier is followed as before";
}

TEST(IdleLatency, FallsSoonAndRisesSlowly) {
  IdleLatency idle;
  double now = 0;
  feed(idle, now, 5, 0.1, false);
  ASSERT_NEAR(idle.ratio(), 0.1, 0.005);
  feed(idle, now, 15, 0.2, false);
  const double risen = idle.ratio();
  EXPECT_GT(risen, 0.11);
  EXPECT_LT(risen, 0.14);
  feed(idle, now, 15, 0.05, false);
  EXPECT_LT(idle.ratio(), 0.06);
}

TEST(IdleLatency, IsBoundedAfterAStartUnderRejections) {
  IdleLatency queued, calm;
  for (int i = 0; i < 320; ++i) {
    queued.add(i * 0.01, 0.6, true);
    calm.add(i * 0.01, 0.6, false);
  }
  EXPECT_LE(queued.ratio(), 0.16);
  EXPECT_FALSE(queued.is_reliable());
  EXPECT_DOUBLE_EQ(calm.ratio(), 0.3);  // never more: no queue is idle
  // While it is unreliable it rises four times as fast: a slow tier would starve under the guess.
  for (int i = 320; i < 1800; ++i) queued.add(i * 0.01, 0.6, true);
  EXPECT_GT(queued.ratio(), 0.25);
}

}  // namespace
}  // namespace thymewood
