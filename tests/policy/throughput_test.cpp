// Response rates and peak concurrency.
#include "throughput.h"

#include <gtest/gtest.h>

#include <cmath>

namespace thymewood {
namespace {

TEST(Throughput, FastRateFollowsAStepAndSteadyRateLags) {
  Throughput t;
  for (int i = 1; i <= 100; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_LT(t.steady_rate(0.1, 0.1), 100);
  EXPECT_GT(t.fast_rate(0.1, 0.1), 500);
  for (int i = 101; i <= 10000; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_NEAR(t.steady_rate(10, 0.1), 1000, 20);
}

TEST(Throughput, RetainsThePeakConcurrencyForAWhile) {
  Throughput t;
  for (int i = 1; i <= 60000; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_NEAR(t.concurrency(60), 20, 1);
  EXPECT_NEAR(t.concurrency(120), 20 / std::exp(1), 1);
  Throughput unreliable;
  for (int i = 1; i <= 1000; ++i) unreliable.add(i * 0.001, 0, 0.1);
  EXPECT_EQ(unreliable.concurrency(1), 0);
}

}  // namespace
}  // namespace thymewood
