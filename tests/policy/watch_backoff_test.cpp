// When discovery is called again after a call that brought no watch.
#include "watch_backoff.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "reconnect_herd.h"

namespace thymewood {
namespace {

TEST(WatchBackoff, PacesCallsThatWaitedByTheReplicaSet) {
  WatchBackoff retry(10);
  Random random(1);
  double sum = 0, least = 100, most = 0;
  for (int i = 0; i < 1000; ++i) {
    const double pause = retry.next_delay(WatchFailure{false, 2}, random);
    sum += pause;
    least = std::min(least, pause);
    most = std::max(most, pause);
  }
  EXPECT_NEAR(sum / 1000 + 2, 8, 0.3) << "one call of each node in the time that discovery may need for them";
  EXPECT_LT(least, 2.2);
  EXPECT_LT(most, 10);
}

TEST(WatchBackoff, RetriesImmediateFailuresBeforeChangesCount) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff retry(10);
    Random random(seed);
    double after_move = 0;
    for (int i = 0; i < 5; ++i) after_move += retry.next_delay(WatchFailure{false, 0.01}, random);
    EXPECT_LT(after_move, 4);
    for (int i = 0; i < 20; ++i) retry.next_delay(WatchFailure{false, 0.01}, random);
    double three = 0;
    for (int i = 0; i < 3; ++i) three += retry.next_delay(WatchFailure{false, 0.01}, random);
    EXPECT_LT(three, 6);
  }
}

TEST(WatchBackoff, SpreadsWatchesThatEndTogether) {
  Random random(1);
  WatchBackoff long_interval(10), short_interval(1);
  double most = 0, most_short_interval = 0;
  for (int i = 0; i < 200; ++i) {
    most = std::max(most, long_interval.next_delay(WatchFailure{true, 0}, random));
    most_short_interval =
        std::max(most_short_interval, short_interval.next_delay(WatchFailure{true, 0}, random));
  }
  EXPECT_GT(most, 1.8);
  EXPECT_LT(most_short_interval, 0.25) << "a list that may be used for 1 s is polled well within that";
}

// All nodes have a list again, though discovery needs 8 s for one call of each and wastes the work on those
// that it rejects.
TEST(WatchBackoff, ServesAllNodesThatCallTogether) {
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
              const auto retry = std::make_shared<WatchBackoff>(10);
              return bench::BackoffPolicy(
                  [retry](const auto& failure, auto& dice) { return retry->next_delay(failure, dice); });
            },
            seed);
        EXPECT_LT(result.last(), 30) << nodes << " nodes, " << work_of_all << " s for all, seed " << seed;
        EXPECT_GT(result.share_within(6), 0.5);
      }
    }
  }
}

}  // namespace
}  // namespace thymewood
