// Tests the idle latency estimated from responses to requests that may have queued.
#include "idle_latency.h"

#include <gtest/gtest.h>

namespace thymewood {
namespace {

// Adds 100 responses per second with a constant ratio of latency to objective.
void add_responses(IdleLatency& idle, double& now, double seconds, double ratio, bool queued) {
  for (const double end = now + seconds; now < end; now += 0.01) idle.add(now, ratio, queued);
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
  add_responses(idle, now, 5, 0.4, true);
  ASSERT_LE(idle.ratio(), 0.3);
  idle.confirm_unqueued(now);
  EXPECT_TRUE(idle.is_reliable());
  add_responses(idle, now, 20, 0.4, true);
  EXPECT_NEAR(idle.ratio(), 0.4, 0.01) << "the confirmed ratio is kept";
  add_responses(idle, now, 20, 0.1, true);
  EXPECT_LT(idle.ratio(), 0.15) << "the ratio still falls when the tier gets faster";
}

TEST(IdleLatency, FallsQuicklyAndRisesSlowly) {
  IdleLatency idle;
  double now = 0;
  add_responses(idle, now, 5, 0.1, false);
  ASSERT_NEAR(idle.ratio(), 0.1, 0.005);
  add_responses(idle, now, 15, 0.2, false);
  const double raised = idle.ratio();
  EXPECT_GT(raised, 0.11);
  EXPECT_LT(raised, 0.14);
  add_responses(idle, now, 15, 0.05, false);
  EXPECT_LT(idle.ratio(), 0.06);
}

TEST(IdleLatency, IsBoundedAfterAStartUnderRejections) {
  IdleLatency queued, unqueued;
  for (int i = 0; i < 320; ++i) {
    queued.add(i * 0.01, 0.6, true);
    unqueued.add(i * 0.01, 0.6, false);
  }
  EXPECT_LE(queued.ratio(), 0.16);
  EXPECT_FALSE(queued.is_reliable());
  EXPECT_DOUBLE_EQ(unqueued.ratio(), 0.3);  // the bound that keeps queueing out of the idle latency
  // An unreliable ratio rises four times as fast: on a slow tier, an initial value that is too low would
  // otherwise keep rejecting requests for too long.
  for (int i = 320; i < 1800; ++i) queued.add(i * 0.01, 0.6, true);
  EXPECT_GT(queued.ratio(), 0.25);
}

}  // namespace
}  // namespace thymewood
