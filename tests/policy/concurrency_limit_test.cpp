// What learned room is made of, a piece at a time: idle times, rates of answers, waits, and when room is held
// back.
#include "concurrency_limit.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <vector>

#include "balancer_harness.h"

namespace thymewood {
namespace {

RequestClass class_with(double latency_objective) {
  RequestClass c = class_of(Idempotency::kIdempotent);
  c.latency_objective = latency_objective;
  c.client_timeout = 2 * latency_objective;
  return c;
}

// Answers a class gives at a steady rate, with the calls in flight that go with them.
struct Feed {
  explicit Feed(const std::vector<RequestClass>& classes) : room(classes) {}
  ConcurrencyLimit room;
  Throughput server;
  double now = 0;
  void run(double seconds, double rate, double elapsed, std::size_t c = 0) {
    for (const double end = now + seconds; now < end;) {
      now += 1 / rate;
      room.record_success(now, c, elapsed, rate * elapsed, elapsed, server);
      room.record_latency(now, c, elapsed);
    }
  }
  double all() const { return room.tier_limit(now, 1, 0, 1); }
};

// Answers of one share of the aim, a hundred a second.
void feed(IdleLatency& idle, double& now, double seconds, double part, bool queued) {
  for (const double end = now + seconds; now < end; now += 0.01) idle.add(now, part, queued);
}

TEST(IdleLatency, TheFirstSecondsTeachNothing) {
  IdleLatency idle;
  for (int i = 0; i < 290; ++i) idle.add(i * 0.01, 0.001, false);
  EXPECT_DOUBLE_EQ(idle.ratio(), 0.15);
  EXPECT_FALSE(idle.is_reliable());
  for (int i = 290; i < 320; ++i) idle.add(i * 0.01, 0.001, false);
  EXPECT_NEAR(idle.ratio(), 0.001, 1e-4);
  EXPECT_TRUE(idle.is_reliable());
}

TEST(IdleLatency, WhatIsProvenHasNoBound) {
  IdleLatency idle;
  double now = 0;
  feed(idle, now, 5, 0.4, true);
  ASSERT_LE(idle.ratio(), 0.3);
  idle.confirm_unqueued(now);
  EXPECT_TRUE(idle.is_reliable());
  feed(idle, now, 20, 0.4, true);
  EXPECT_NEAR(idle.ratio(), 0.4, 0.01) << "it stays";
  feed(idle, now, 20, 0.1, true);
  EXPECT_LT(idle.ratio(), 0.15) << "a quicker tier is believed as ever";
}

// Danger: the queue at a server that many copies use is as long when one of them has half as many calls
// there.
TEST(ConcurrencyLimit, OneCopyOfManyProvesNothing) {
  const auto idle_after_trials = [](double sharers) {
    ConcurrencyLimit room({class_with(1)});
    Throughput server;
    double now = 0, owed = 0;
    while (now < 12) {
      now += 0.001;
      const double in_flight = std::min(200.0, room.probed_bound(now));
      room.record_rejection(now, in_flight, true, sharers);
      for (owed += in_flight / 0.4 * 0.001; owed >= 1; owed -= 1) {
        room.record_success(now, 0, 0.4, in_flight, 0.4, server);
        room.record_latency(now, 0, 0.4);
      }
    }
    return room.idle_latency();
  };
  EXPECT_NEAR(idle_after_trials(1), 0.4, 0.01) << "alone, it has seen that calls take so long";
  EXPECT_LE(idle_after_trials(8), 0.3) << "eight, who see what a queue makes look the same";
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

TEST(IdleLatency, AStartUnderRefusalsIsNotTakenForIdle) {
  IdleLatency queued, calm;
  for (int i = 0; i < 320; ++i) {
    queued.add(i * 0.01, 0.6, true);
    calm.add(i * 0.01, 0.6, false);
  }
  EXPECT_LE(queued.ratio(), 0.16);
  EXPECT_FALSE(queued.is_reliable());
  EXPECT_DOUBLE_EQ(calm.ratio(), 0.3);  // never more: no queue is idle
  // While it is in doubt, it rises four times as fast: a slow tier would starve under what was guessed.
  for (int i = 320; i < 1800; ++i) queued.add(i * 0.01, 0.6, true);
  EXPECT_GT(queued.ratio(), 0.25);
}

TEST(Throughput, TheQuickMeasureFollowsAStepAndTheSteadyOneLags) {
  Throughput t;
  for (int i = 1; i <= 100; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_LT(t.steady_rate(0.1, 0.1), 100);
  EXPECT_GT(t.fast_rate(0.1, 0.1), 500);
  for (int i = 101; i <= 10000; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_NEAR(t.steady_rate(10, 0.1), 1000, 20);
}

TEST(Throughput, RemembersForAWhileWhatWasWorkedOnAtOnce) {
  Throughput t;
  for (int i = 1; i <= 60000; ++i) t.add(i * 0.001, 0.02, 0.1);
  EXPECT_NEAR(t.concurrency(60), 20, 1);
  EXPECT_NEAR(t.concurrency(120), 20 / std::exp(1), 1);
  Throughput unsure;
  for (int i = 1; i <= 1000; ++i) unsure.add(i * 0.001, 0, 0.1);
  EXPECT_EQ(unsure.concurrency(1), 0);
}

TEST(ConcurrencyLimit, IsWhatTheAimsAllowForTheAnswersThatCome) {
  Feed feed({class_with(1)});
  feed.run(30, 1000, 0.02);
  EXPECT_NEAR(feed.room.idle_latency(), 0.02, 0.001);
  EXPECT_NEAR(feed.room.allowed_queueing(), 0.245, 0.002);  // a quarter of what the aim leaves
  const double by_little = 1000 * 0.265;
  EXPECT_GT(feed.all(), by_little);
  EXPECT_LT(feed.all(), 1.25 * by_little);
}

// Where a late answer is worth something, calls may wait somewhat longer than where it is worth nothing.
TEST(ConcurrencyLimit, WhatALateAnswerIsWorthAddsToTheAim) {
  RequestClass c = class_with(1);  // which is given up after 2 s
  c.late_value = 0.4;
  Feed late({c}), never({class_with(1)});
  late.run(30, 1000, 0.02);
  never.run(30, 1000, 0.02);
  EXPECT_NEAR(late.room.allowed_queueing(), 0.25 * (1.2 - 0.02), 0.002);
  EXPECT_NEAR(never.room.allowed_queueing(), 0.25 * (1 - 0.02), 0.002);
  // What calls take under refusals is guessed by the same measure.
  c.late_value = 1;
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15 * 1.5, 1e-9);
  c.client_timeout = std::numeric_limits<double>::infinity();
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15, 1e-9) << "no end, no part of it";
}

TEST(ConcurrencyLimit, TheLeastPatientClassSaysHowLongAllMayWait) {
  Feed feed({class_with(0.1), class_with(10)});
  feed.run(20, 500, 0.05, 1);
  EXPECT_GT(feed.room.allowed_queueing(), 2) << "nobody else is there";
  for (int i = 0; i < 100; ++i) {
    feed.run(0.1, 500, 0.05, 1);
    feed.run(0.1, 500, 0.01, 0);
  }
  EXPECT_LT(feed.room.allowed_queueing(), 0.026);
  EXPECT_NEAR(feed.room.idle_latency(), 0.03, 0.005) << "by the mix";
}

TEST(ConcurrencyLimit, AClassThatHardlyComesDoesNotSay) {
  Feed feed({class_with(0.1), class_with(10)});
  for (int i = 0; i < 20; ++i) {
    feed.run(1, 500, 0.05, 1);
    feed.run(0.002, 500, 0.01, 0);
  }
  EXPECT_GT(feed.room.allowed_queueing(), 2);
}

TEST(ConcurrencyLimit, GrowsWithinAFewAnswersWhereTheyMeetNoQueueAndNotBehindOne) {
  Feed quick({class_with(1)}), queued({class_with(1)});
  quick.run(30, 100, 0.02);
  queued.run(30, 100, 0.02);
  // Ten times the answers, for a tenth of a second.
  quick.run(0.1, 1000, 0.02);
  queued.run(0.1, 1000, 0.2);
  EXPECT_GT(quick.all(), 1.5 * queued.all());
  EXPECT_DOUBLE_EQ(quick.room.unqueued(), 1);
  EXPECT_DOUBLE_EQ(queued.room.unqueued(), 0);
}

// Danger: where a dependency makes all calls slow, answers get fewer, room with them, and so on down.
TEST(ConcurrencyLimit, DoesNotFallUnderWhatWasWorkedOnAtOnce) {
  Feed feed({class_with(0.1)});
  feed.run(30, 1000, 0.02);
  feed.run(5, 10, 0.09);  // 20 calls were at work; now answers of a hundredth as many come
  EXPECT_GT(feed.all(), 15);
}

TEST(ConcurrencyLimit, StartsWithSomeCallsAServerOverAllCopies) {
  const ConcurrencyLimit room({class_with(1)});
  const Throughput none;
  EXPECT_DOUBLE_EQ(room.server_limit(0, none, 0, 1), 8);
  EXPECT_DOUBLE_EQ(room.server_limit(0, none, 0, 8), 1);
  EXPECT_NEAR(room.server_limit(100, none, 0, 1), 2, 1e-9);
  EXPECT_GT(room.tier_limit(0, 10, 0, 1), 80);
}

TEST(ConcurrencyLimit, AimsOfNothingAndWithoutEndAreTakenForWithinBounds) {
  Feed feed({class_with(0), class_with(std::numeric_limits<double>::infinity())});
  feed.run(5, 100, 0.01, 0);
  feed.run(5, 100, 0.01, 1);
  EXPECT_TRUE(std::isfinite(feed.all()));
  EXPECT_GT(feed.all(), 1);
}

// Guards against a list that is told again, as some are every second, and makes all that trials found
// forgotten. Where crossing zones has a price, the order of servers is another one than that by which they
// are compared.
TEST(ConcurrencyLimit, OnlyOtherServersMakeItForgetWhatCrowds) {
  Settings s = basic_settings();
  s.cross_zone_cost = 0.1;
  s.max_retry_after = 0;
  Copy copy(s);
  EndpointUpdate list;
  for (int i = 0; i < 6; ++i) list.endpoints.push_back(server(i, i % 2));
  copy.at(0, list);
  // Servers that do twice as much with fewer calls: 100 in flight give 500 answers a second, 40 give 1,000.
  std::vector<std::string> out;
  std::size_t next = 0;
  double owed = 0;
  int asked = 0;
  while (copy.now < 20 && std::isinf(copy.balancer.concurrency_limit(copy.now).probed_bound)) {
    copy.now += 0.001;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "r" + std::to_string(++asked);
      if (!all<Send>(copy.request(id)).empty()) out.push_back(id);
    }
    const double in_flight = static_cast<double>(out.size() - next);
    const double rate = in_flight > 60 ? 500 : std::min(1000.0, 25 * in_flight + 1);
    for (owed += rate * 0.001; owed >= 1 && next < out.size(); owed -= 1) {
      copy.end(out[next], Outcome::kSuccess, 0, in_flight / rate);
      ++next;
    }
  }
  const double bound = copy.balancer.concurrency_limit(copy.now).probed_bound;
  ASSERT_TRUE(std::isfinite(bound)) << "the trial that the test is about never came";
  copy.at(copy.now, list);
  EXPECT_TRUE(std::isfinite(copy.balancer.concurrency_limit(copy.now).probed_bound));
  list.endpoints.pop_back();
  copy.at(copy.now, list);
  EXPECT_TRUE(std::isinf(copy.balancer.concurrency_limit(copy.now).probed_bound));
}

}  // namespace
}  // namespace thymewood
