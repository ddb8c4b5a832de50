// Trials of fewer calls in flight, against a plant that is written here: how much is answered a second at so
// many calls in flight, without chance.
#include "concurrency_probe.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace thymewood {
namespace {

constexpr double kWork = 0.01;  // s of each call
constexpr double kLeast = 12;

// As many calls as are let in, up to `wanted`, are in flight; `rate` says how many are answered a second.
class Plant {
 public:
  Plant(std::function<double(double)> rate, double wanted) : rate_(std::move(rate)), wanted_(wanted) {}

  // Returns the calls answered a second, in the mean.
  double run(ConcurrencyProbe& trial, double seconds, bool refusing = true) {
    const double end = now_ + seconds;
    double answered = 0;
    while (now_ < end) {
      now_ += kStep;
      const double bound = trial.bound(now_);
      const double wanted = std::min(wanted_, bound);
      in_flight_ += std::clamp(wanted - in_flight_, -rate_(in_flight_) * kStep, kMostIn * kStep);
      lowest_ = std::min(lowest_, bound);
      if (refusing) trial.record_rejection(now_, in_flight_, kLeast);
      owed_ += rate_(in_flight_) * kStep;
      for (; owed_ >= 1; owed_ -= 1) {
        ++answered;
        trial.record_response(now_, kWork, in_flight_, in_flight_ / rate_(in_flight_),
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
  static constexpr double kStep = 0.001, kMostIn = 2000;  // s; calls a second that come at the most
  std::function<double(double)> rate_;
  double wanted_, now_ = 0, in_flight_ = 0, owed_ = 0, lowest_ = ConcurrencyProbe::kNoBound;
};

double queue(double in_flight) { return 50 * std::min(in_flight, 32.0) + 1; }
double crowd(double in_flight) { return in_flight < 160 ? queue(in_flight) : queue(in_flight) / 3; }

// Danger: where the aim is a few times what calls take, a start's guess refuses calls that met no queue.
TEST(ConcurrencyProbe, CallsThatTakeAsLongWithFewerInFlightMetNoQueue) {
  ConcurrencyProbe idle, queued;
  Plant workers_left([](double in_flight) { return 20 * in_flight + 1; }, 50);
  workers_left.run(idle, 10);
  EXPECT_TRUE(idle.take_unqueued_proof());
  EXPECT_FALSE(idle.take_unqueued_proof()) << "once for each trial";
  Plant full(queue, 400);
  full.run(queued, 10);
  EXPECT_FALSE(queued.take_unqueued_proof());
}

TEST(ConcurrencyProbe, FindsThatFewerCallsGetMoreDoneAndStaysThere) {
  ConcurrencyProbe trial;
  Plant plant(crowd, 400);
  plant.run(trial, 10);
  EXPECT_LT(trial.bound(plant.now()), 160);
  EXPECT_GT(plant.run(trial, 60), 0.97 * 1600);
}

TEST(ConcurrencyProbe, AnyQueueIsWorthAsMuchSoNoneIsCut) {
  ConcurrencyProbe trial;
  Plant plant(queue, 400);
  EXPECT_GT(plant.run(trial, 120), 0.97 * 1600);
  EXPECT_EQ(trial.bound(plant.now()), ConcurrencyProbe::kNoBound);
  EXPECT_LT(plant.lowest(), 400);  // it was tried
}

TEST(ConcurrencyProbe, WithoutRefusalsNothingIsTried) {
  ConcurrencyProbe trial;
  Plant plant(crowd, 100);
  plant.run(trial, 60, false);
  EXPECT_EQ(plant.lowest(), ConcurrencyProbe::kNoBound);
}

TEST(ConcurrencyProbe, FewerThanTheLeastAreNeverTried) {
  ConcurrencyProbe trial;
  Plant plant([](double n) { return n < 4 ? 1000.0 : 100.0; }, 20);
  plant.run(trial, 120);
  EXPECT_GE(plant.lowest(), kLeast);
}

TEST(ConcurrencyProbe, WhereAnswersAreTooFewToMeasureNothingIsHeldBack) {
  ConcurrencyProbe trial;
  Plant plant([](double n) { return n < 160 ? 16.0 : 5.0; }, 400);
  plant.run(trial, 300);
  EXPECT_EQ(plant.lowest(), ConcurrencyProbe::kNoBound);
}

// Guards against a first refusal with a call or two in flight that keeps a crowd from being found for a
// minute.
TEST(ConcurrencyProbe, ATrialThatCouldNotBeginIsThoughtOfAgainSoon) {
  ConcurrencyProbe trial;
  Plant few(crowd, 10);
  few.run(trial, 3);
  Plant many(crowd, 400);
  many.skip(few.now());
  many.run(trial, 10);
  EXPECT_LT(trial.bound(many.now()), 160);
}

TEST(ConcurrencyProbe, ABoundIsLiftedOnceNothingIsRefused) {
  ConcurrencyProbe trial;
  Plant plant(crowd, 400);
  plant.run(trial, 10);
  ASSERT_LT(trial.bound(plant.now()), 160);
  plant.run(trial, 15, false);
  EXPECT_GT(trial.bound(plant.now()), 400);
}

TEST(ConcurrencyProbe, ABoundRisesWhereMoreGetsMoreDone) {
  ConcurrencyProbe trial;
  Plant plant(crowd, 400);
  plant.run(trial, 10);
  plant.change([](double n) { return 50 * std::min(n, 300.0) + 1; });  // ten times the workers
  plant.run(trial, 100);
  EXPECT_GT(plant.run(trial, 30), 0.9 * 15000);
}

TEST(ConcurrencyProbe, ForgetsWithTheServers) {
  ConcurrencyProbe trial;
  Plant plant(crowd, 400);
  plant.run(trial, 10);
  ASSERT_LT(trial.bound(plant.now()), 160);
  trial.reset();
  EXPECT_EQ(trial.bound(plant.now()), ConcurrencyProbe::kNoBound);
}

}  // namespace
}  // namespace thymewood
