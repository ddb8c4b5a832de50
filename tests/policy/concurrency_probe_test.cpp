// Probes of lower limits against a simulated tier that answers at a fixed rate for each number of requests in
// flight.
#include "concurrency_probe.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace thymewood {
namespace {

constexpr double kWork = 0.01;  // s of each request
constexpr double kMinLimit = 12;

// As many requests as are admitted, up to `wanted`, are in flight; `rate`: responses per second at that
// number.
class Tier {
 public:
  Tier(std::function<double(double)> rate, double wanted) : rate_(std::move(rate)), wanted_(wanted) {}

  // Returns the mean of responses per second.
  double run(ConcurrencyProbe& probe, double seconds, bool rejecting = true) {
    const double end = now_ + seconds;
    double answered = 0;
    while (now_ < end) {
      now_ += kStep;
      const double bound = probe.bound(now_);
      const double wanted = std::min(wanted_, bound);
      in_flight_ += std::clamp(wanted - in_flight_, -rate_(in_flight_) * kStep, kMaxArrivals * kStep);
      lowest_ = std::min(lowest_, bound);
      if (rejecting) probe.record_rejection(now_, in_flight_, kMinLimit);
      owed_ += rate_(in_flight_) * kStep;
      for (; owed_ >= 1; owed_ -= 1) {
        ++answered;
        probe.record_response(now_, kWork, in_flight_, in_flight_ / rate_(in_flight_),
                              in_flight_ / rate_(in_flight_));
      }
    }
    return answered / seconds;
  }
  void change(std::function<double(double)> rate) { rate_ = std::move(rate); }
  double now() const { return now_; }
  void skip(double to) { now_ = to; }
  double lowest() const { return lowest_; }

 private:
  static constexpr double kStep = 0.001, kMaxArrivals = 2000;  // s; requests per second at most
  std::function<double(double)> rate_;
  double wanted_, now_ = 0, in_flight_ = 0, owed_ = 0, lowest_ = ConcurrencyProbe::kNoBound;
};

double queue(double in_flight) { return 50 * std::min(in_flight, 32.0) + 1; }
double crowd(double in_flight) { return in_flight < 160 ? queue(in_flight) : queue(in_flight) / 3; }

// Otherwise an initial guess that is too low would go on rejecting requests that met no queue.
TEST(ConcurrencyProbe, ProvesThatRequestsMetNoQueue) {
  ConcurrencyProbe idle, queued;
  Tier spare_workers([](double in_flight) { return 20 * in_flight + 1; }, 50);
  spare_workers.run(idle, 10);
  EXPECT_TRUE(idle.take_unqueued_proof());
  EXPECT_FALSE(idle.take_unqueued_proof()) << "once for each probe";
  Tier full(queue, 400);
  full.run(queued, 10);
  EXPECT_FALSE(queued.take_unqueued_proof());
}

TEST(ConcurrencyProbe, KeepsALowerLimitThatGetsMoreDone) {
  ConcurrencyProbe probe;
  Tier tier(crowd, 400);
  tier.run(probe, 10);
  EXPECT_LT(probe.bound(tier.now()), 160);
  EXPECT_GT(tier.run(probe, 60), 0.97 * 1600);
}

TEST(ConcurrencyProbe, KeepsAQueueThatDoesNoHarm) {
  ConcurrencyProbe probe;
  Tier tier(queue, 400);
  EXPECT_GT(tier.run(probe, 120), 0.97 * 1600);
  EXPECT_EQ(probe.bound(tier.now()), ConcurrencyProbe::kNoBound);
  EXPECT_LT(tier.lowest(), 400);  // it was probed
}

TEST(ConcurrencyProbe, ProbesNothingWithoutRejections) {
  ConcurrencyProbe probe;
  Tier tier(crowd, 100);
  tier.run(probe, 60, false);
  EXPECT_EQ(tier.lowest(), ConcurrencyProbe::kNoBound);
}

TEST(ConcurrencyProbe, NeverProbesBelowTheMinimum) {
  ConcurrencyProbe probe;
  Tier tier([](double n) { return n < 4 ? 1000.0 : 100.0; }, 20);
  tier.run(probe, 120);
  EXPECT_GE(tier.lowest(), kMinLimit);
}

TEST(ConcurrencyProbe, ProbesNothingWhereResponsesAreTooFew) {
  ConcurrencyProbe probe;
  Tier tier([](double n) { return n < 160 ? 16.0 : 5.0; }, 400);
  tier.run(probe, 300);
  EXPECT_EQ(tier.lowest(), ConcurrencyProbe::kNoBound);
}

// A first rejection with a request or two in flight must not keep a crowd from being found for a minute.
TEST(ConcurrencyProbe, RetriesAPostponedProbeSoon) {
  ConcurrencyProbe probe;
  Tier few(crowd, 10);
  few.run(probe, 3);
  Tier many(crowd, 400);
  many.skip(few.now());
  many.run(probe, 10);
  EXPECT_LT(probe.bound(many.now()), 160);
}

TEST(ConcurrencyProbe, LiftsTheBoundOnceNothingIsRejected) {
  ConcurrencyProbe probe;
  Tier tier(crowd, 400);
  tier.run(probe, 10);
  ASSERT_LT(probe.bound(tier.now()), 160);
  tier.run(probe, 15, false);
  EXPECT_GT(probe.bound(tier.now()), 400);
}

TEST(ConcurrencyProbe, RaisesTheBoundWhereMoreGetsMoreDone) {
  ConcurrencyProbe probe;
  Tier tier(crowd, 400);
  tier.run(probe, 10);
  tier.change([](double n) { return 50 * std::min(n, 300.0) + 1; });  // ten times the workers
  tier.run(probe, 100);
  EXPECT_GT(tier.run(probe, 30), 0.9 * 15000);
}

TEST(ConcurrencyProbe, ForgetsTheBoundOnReset) {
  ConcurrencyProbe probe;
  Tier tier(crowd, 400);
  tier.run(probe, 10);
  ASSERT_LT(probe.bound(tier.now()), 160);
  probe.reset();
  EXPECT_EQ(probe.bound(tier.now()), ConcurrencyProbe::kNoBound);
}

}  // namespace
}  // namespace thymewood
