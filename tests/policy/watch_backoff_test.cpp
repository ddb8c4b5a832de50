// Delays before the next call to discovery after a call that failed to open a watch.
#include "watch_backoff.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <vector>

#include "reconnect_herd.h"

namespace thymewood {
namespace {

constexpr double kPollInterval = 10;  // s
constexpr double kLease = 6.35;       // s
constexpr double kWait = 2;           // s; how long a call waits before it fails

// A change counts as notified 6 s after discovery could be reached; a drain that the next call reports must
// have arrived within 1 s from then.
constexpr double kMaxNotificationDelay = 6, kDrainGracePeriod = 1;  // s

// Guards against drains that go unnoticed after an outage: calls that had waited were repeated up to 12 s
// later. Discovery may have become available right after such a call was made.
TEST(WatchBackoff, CallsAgainBeforeADrainHasToBeKnown) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    for (const double wait : {0.5, 2.0, 3.0}) {
      Random random(seed);
      WatchBackoff backoff(kPollInterval, kLease);
      for (int call = 0; call < 20; ++call) {
        const double delay = backoff.next_delay(WatchFailure{false, wait}, random);
        EXPECT_LT(wait + delay, kMaxNotificationDelay + kDrainGracePeriod - 0.2) << call;
        EXPECT_LT(delay, kLease) << "the list is used until the next call";
      }
    }
  }
}

// The times of the calls, counted from the failure of the first, once each replica has chosen its own.
TEST(WatchBackoff, SpreadsQueuedCallsOverTheIntervalAndKeepsThemApart) {
  std::vector<double> call_times;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Random random(seed);
    WatchBackoff backoff(kPollInterval, kLease);
    double time = 0, delay = 0;
    for (int call = 0; call < 5; ++call)
      time += delay = kWait + backoff.next_delay(WatchFailure{false, kWait}, random);
    EXPECT_GT(delay, 0.95 * kLease);
    call_times.push_back(std::fmod(time, kLease));
  }
  std::sort(call_times.begin(), call_times.end());
  for (std::size_t i = 250; i < call_times.size(); i += 250)
    EXPECT_GT(call_times[i] - call_times[i - 250], kLease / 8);
}

// Guards against drains that go unnoticed while discovery rejects watches and would answer a request for the
// list: the list must be requested while the last one may still be used.
TEST(WatchBackoff, RequestsTheListInTimeAfterARejectedWatch) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    for (const double wait : {0.01, 0.5, 2.0, 3.0}) {
      Random random(seed);
      WatchBackoff backoff(kPollInterval, kLease);
      WatchBackoff::NextCall next = backoff.next_call(WatchFailure{.had_responded = true}, kLease, random);
      double list_age = 0;
      for (int calls = 0; calls < 100; ++calls) {
        list_age += next.delay;
        if (next.call == DiscoveryCall::kList) {
          ASSERT_LE(list_age, kLease + 0.3) << "wait " << wait << ", seed " << seed;
          list_age = 0;
          backoff.reset();
          next = backoff.next_call_after_list(0.01, kLease, random);
          EXPECT_EQ(next.call, DiscoveryCall::kWatch);
        } else {
          list_age += wait;
          next = backoff.next_call(WatchFailure{.wait_time = wait}, kLease - list_age, random);
        }
      }
    }
  }
}

// An answer that had to wait shows that discovery is overloaded: the interval between calls is kept.
TEST(WatchBackoff, KeepsItsIntervalAfterAListThatWasQueued) {
  Random random(1);
  WatchBackoff backoff(kPollInterval, kLease);
  const WatchBackoff::NextCall next = backoff.next_call_after_list(1.5, kLease, random);
  EXPECT_EQ(next.call, DiscoveryCall::kWatch);
  EXPECT_GT(next.delay, 0.9 * kLease - 1.5);
}

// A long outage ends with a watch in most replicas, but the list is requested as well: discovery may have
// become available and reject watches only.
TEST(WatchBackoff, RequestsTheListNowAndThenInALongOutage) {
  for (const double wait : {0.01, kWait}) {
    Random random(1);
    WatchBackoff backoff(kPollInterval, kLease);
    DiscoveryCall call = DiscoveryCall::kWatch;
    int lists = 0;
    for (int i = 0; i < 40; ++i) {
      call = backoff.next_call(WatchFailure{false, wait, call}, -1, random).call;
      lists += call == DiscoveryCall::kList ? 1 : 0;
    }
    EXPECT_EQ(lists, 10) << wait;
  }
}

TEST(WatchBackoff, RetriesImmediateFailuresBeforeChangesCountAsNotified) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    WatchBackoff backoff(kPollInterval, kLease);
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
  WatchBackoff long_interval(kPollInterval, kLease), short_interval(1, kLease);
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
// is lost. Where it needs up to 4 s, each node gets it before a drain has to be known.
TEST(WatchBackoff, LetsAllNodesRecoverAfterSimultaneousCalls) {
  for (const int nodes : {50, 300, 900}) {
    for (const double work_of_all : {0.5, 4.0, 8.0}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        bench::HerdPlan plan;
        plan.nodes = nodes;
        plan.work_of_all = work_of_all;
        plan.restarted_part = 0.1;
        const auto result = bench::simulate_herd(
            plan, [] { return bench::make_watch_backoff(kPollInterval, kLease); }, seed);
        EXPECT_LT(result.last(), 30) << nodes << " nodes, " << work_of_all
                                     << " s of work for one call of each, seed " << seed;
        EXPECT_GT(result.share_within(6), 0.5);
        if (work_of_all <= 4) {
          EXPECT_EQ(result.share_within(kMaxNotificationDelay + kDrainGracePeriod), 1)
              << nodes << " nodes, " << work_of_all << " s of work, seed " << seed;
        }
      }
    }
  }
}

}  // namespace
}  // namespace thymewood
