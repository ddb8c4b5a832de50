// Tests the concurrency probe against a simulated tier whose response rate depends only on the number of
// requests in flight.
#include "concurrency_probe.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace thymewood {
namespace {

constexpr double kWork = 0.01;  // s per request on an idle tier
constexpr double kMinLimit = 12;

// Keeps as many requests in flight as the probe admits, up to `offered_in_flight`. `rate`: responses per
// second as a function of the requests in flight.
class SimulatedTier {
 public:
  SimulatedTier(std::function<double(double)> rate, double offered_in_flight)
      : rate_(std::move(rate)), offered_in_flight_(offered_in_flight) {}

  // Returns the mean response rate, in responses per second.
  double run(ConcurrencyProbe& probe, double seconds, bool rejecting = true) {
    const double end = now_ + seconds;
    double responses = 0;
    while (now_ < end) {
      now_ += kStep;
      const double bound = probe.bound(now_);
      const double target = std::min(offered_in_flight_, bound);
      in_flight_ += std::clamp(target - in_flight_, -rate_(in_flight_) * kStep, kMaxArrivalRate * kStep);
      lowest_bound_ = std::min(lowest_bound_, bound);
      if (rejecting) probe.record_rejection(now_, in_flight_, kMinLimit);
      pending_responses_ += rate_(in_flight_) * kStep;
      for (; pending_responses_ >= 1; pending_responses_ -= 1) {
        ++responses;
        probe.record_response(now_, kWork, in_flight_, in_flight_ / rate_(in_flight_),
                              in_flight_ / rate_(in_flight_));
      }
    }
    return responses / seconds;
  }
  void set_rate(std::function<double(double)> rate) { rate_ = std::move(rate); }
  double now() const { return now_; }
  void advance_to(double to) { now_ = to; }
  double lowest_bound() const { return lowest_bound_; }

 private:
  static constexpr double kStep = 0.001, kMaxArrivalRate = 2000;  // s; requests per second
  std::function<double(double)> rate_;
  double offered_in_flight_, now_ = 0, in_flight_ = 0, pending_responses_ = 0,
                             lowest_bound_ = ConcurrencyProbe::kNoBound;
};

double rate_with_queue(double in_flight) { return 50 * std::min(in_flight, 32.0) + 1; }
double rate_with_overload(double in_flight) {
  return in_flight < 160 ? rate_with_queue(in_flight) : rate_with_queue(in_flight) / 3;
}

// Without this result, an initial idle latency that is too low would keep rejecting requests although there
// is no queue.
TEST(ConcurrencyProbe, DetectsThatRequestsDidNotQueue) {
  ConcurrencyProbe unqueued_probe, queued_probe;
  SimulatedTier tier_with_spare_workers([](double in_flight) { return 20 * in_flight + 1; }, 50);
  tier_with_spare_workers.run(unqueued_probe, 10);
  EXPECT_TRUE(unqueued_probe.take_unqueued_result());
  EXPECT_FALSE(unqueued_probe.take_unqueued_result()) << "reported once per probe";
  SimulatedTier tier_with_queue(rate_with_queue, 400);
  tier_with_queue.run(queued_probe, 10);
  EXPECT_FALSE(queued_probe.take_unqueued_result());
}

TEST(ConcurrencyProbe, KeepsALowerLimitThatIncreasesThroughput) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_overload, 400);
  tier.run(probe, 10);
  EXPECT_LT(probe.bound(tier.now()), 160);
  EXPECT_GT(tier.run(probe, 60), 0.97 * 1600);
}

TEST(ConcurrencyProbe, LeavesTheLimitUnboundedIfTheQueueIsHarmless) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_queue, 400);
  EXPECT_GT(tier.run(probe, 120), 0.97 * 1600);
  EXPECT_EQ(probe.bound(tier.now()), ConcurrencyProbe::kNoBound);
  EXPECT_LT(tier.lowest_bound(), 400);  // a lower limit was probed
}

TEST(ConcurrencyProbe, ProbesNothingWithoutRejections) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_overload, 100);
  tier.run(probe, 60, false);
  EXPECT_EQ(tier.lowest_bound(), ConcurrencyProbe::kNoBound);
}

TEST(ConcurrencyProbe, NeverProbesBelowTheMinimum) {
  ConcurrencyProbe probe;
  SimulatedTier tier([](double n) { return n < 4 ? 1000.0 : 100.0; }, 20);
  tier.run(probe, 120);
  EXPECT_GE(tier.lowest_bound(), kMinLimit);
}

TEST(ConcurrencyProbe, ProbesNothingWhereResponsesAreTooFew) {
  ConcurrencyProbe probe;
  SimulatedTier tier([](double n) { return n < 160 ? 16.0 : 5.0; }, 400);
  tier.run(probe, 300);
  EXPECT_EQ(tier.lowest_bound(), ConcurrencyProbe::kNoBound);
}

// A first rejection with only a request or two in flight postpones the probe; this must not delay the
// detection of an overload by a minute.
TEST(ConcurrencyProbe, RetriesAPostponedProbeSoon) {
  ConcurrencyProbe probe;
  SimulatedTier lightly_loaded_tier(rate_with_overload, 10);
  lightly_loaded_tier.run(probe, 3);
  SimulatedTier heavily_loaded_tier(rate_with_overload, 400);
  heavily_loaded_tier.advance_to(lightly_loaded_tier.now());
  heavily_loaded_tier.run(probe, 10);
  EXPECT_LT(probe.bound(heavily_loaded_tier.now()), 160);
}

TEST(ConcurrencyProbe, RaisesTheBoundOnceNothingIsRejected) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_overload, 400);
  tier.run(probe, 10);
  ASSERT_LT(probe.bound(tier.now()), 160);
  tier.run(probe, 15, false);
  EXPECT_GT(probe.bound(tier.now()), 400);
}

TEST(ConcurrencyProbe, RaisesTheBoundIfThroughputIncreases) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_overload, 400);
  tier.run(probe, 10);
  tier.set_rate([](double n) { return 50 * std::min(n, 300.0) + 1; });  // about ten times the workers
  tier.run(probe, 100);
  EXPECT_GT(tier.run(probe, 30), 0.9 * 15000);
}

TEST(ConcurrencyProbe, ForgetsTheBoundOnReset) {
  ConcurrencyProbe probe;
  SimulatedTier tier(rate_with_overload, 400);
  tier.run(probe, 10);
  ASSERT_LT(probe.bound(tier.now()), 160);
  probe.reset();
  EXPECT_EQ(probe.bound(tier.now()), ConcurrencyProbe::kNoBound);
}

}  // namespace
}  // namespace thymewood
