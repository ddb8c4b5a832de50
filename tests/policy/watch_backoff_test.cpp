// Delays before the next call to discovery after a call that failed to open a watch.
#include "watch_backoff.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "reconnect_herd.h"

namespace thymewood {
namespace {

TEST(WatchBackoff, SpacesQueuedCallsByTheMeanCallInterval) {
  WatchBackoff backoff(10);
  Random random(1);
  double sum = 0, min_delay = 100, max_delay = 0;
  for (int i = 0; i < 1000; ++i) {
    const double delay = backoff.next_delay(WatchFailure{false, 2}, random);
    sum += delay;
    min_delay = std::min(min_delay, delay);
    max_delay = std::max(max_delay, delay);
  }
  EXPECT_NEAR(sum / 1000 + 2, 8, 0.3)
      << "the mean call interval is the time that discovery may need for one call of each replica";
  EXPECT_LT(min_delay, 2.2);
  EXPECT_LT(max_delay, 10);
}

TEST(WatchBackoff, RetriesImmediateFailuresBeforeChangesCountAsNotified) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff backoff(10);
    Random random(seed);
    double time_after_move = 0;
    for (int i = 0; i < 5; ++i) time_after_move += backoff.next_delay(WatchFailure{false, 0.01}, random);
    EXPECT_LT(time_after_move, 4);
    for (int i = 0; i < 20; ++i) backoff.next_delay(WatchFailure{false, 0.01}, random);
    double three_delays = 0;
    for (int i = 0; i < 3; ++i) three_delays += backoff.next_delay(WatchFailure{false, 0.01}, random);
    EXPECT_LT(three_delays, 6);
  }
}

TEST(WatchBackoff, SpreadsWatchesThatEndTogether) {
  Random random(1);
  WatchBackoff long_interval(10), short_interval(1);
  double max_delay = 0, max_delay_short_interval = 0;
  for (int i = 0; i < 200; ++i) {
    max_delay = std::max(max_delay, long_interval.next_delay(WatchFailure{true, 0}, random));
    max_delay_short_interval =
        std::max(max_delay_short_interval, short_interval.next_delay(WatchFailure{true, 0}, random));
  }
  EXPECT_GT(max_delay, 1.8);
  EXPECT_LT(max_delay_short_interval, 0.25)
      << "with a poll interval of 1 s, discovery is called well within it";
}

// All nodes get a list again, even if discovery needs 8 s for one call of each and the work on rejected calls
// is lost.
TEST(WatchBackoff, LetsAllNodesRecoverAfterSimultaneousCalls) {
  for (const int nodes : {50, 300, 900}) {
    for (const double work_of_all : {0.5, 4.0, 8.0}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        bench::HerdPlan plan;
        plan.nodes = nodes;
        plan.work_of_all = work_of_all;
        plan.restarted_part = 0.1;
        const auto result = bench::simulate_herd(
            plan,
            [] {
              const auto backoff = std::make_shared<WatchBackoff>(10);
              return bench::BackoffPolicy(
                  [backoff](const auto& failure, auto& rng) { return backoff->next_delay(failure, rng); });
            },
            seed);
        EXPECT_LT(result.last(), 30) << nodes << " nodes, " << work_of_all
                                     << " s of work for one call of each, seed " << seed;
        EXPECT_GT(result.share_within(6), 0.5);
      }
    }
  }
}

}  // namespace
}  // namespace thymewood
