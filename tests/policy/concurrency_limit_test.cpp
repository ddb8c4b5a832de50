// The learned concurrency limit, piece by piece.
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

// Responses of a class at a steady rate, with the requests in flight that go with them.
struct Feed {
  explicit Feed(const std::vector<RequestClass>& classes) : limit(classes) {}
  ConcurrencyLimit limit;
  Throughput server;
  double now = 0;
  void run(double seconds, double rate, double elapsed, std::size_t c = 0) {
    for (const double end = now + seconds; now < end;) {
      now += 1 / rate;
      limit.record_success(now, c, elapsed, rate * elapsed, elapsed, server);
      limit.record_latency(now, c, elapsed);
    }
  }
  double all() const { return limit.tier_limit(now, 1, 0, 1); }
};

// The queue at a server that many replicas use is as long when one of them has half as many requests there.
TEST(ConcurrencyLimit, TakesNoProofFromOneReplicaOfMany) {
  const auto idle_latency_after_probes = [](double replicas_per_server) {
    ConcurrencyLimit limit({class_with(1)});
    Throughput server;
    double now = 0, owed = 0;
    while (now < 12) {
      now += 0.001;
      const double in_flight = std::min(200.0, limit.probed_bound(now));
      limit.record_rejection(now, in_flight, true, replicas_per_server);
      for (owed += in_flight / 0.4 * 0.001; owed >= 1; owed -= 1) {
        limit.record_success(now, 0, 0.4, in_flight, 0.4, server);
        limit.record_latency(now, 0, 0.4);
      }
    }
    return limit.idle_latency();
  };
  EXPECT_NEAR(idle_latency_after_probes(1), 0.4, 0.01)
      << "alone, it has seen that requests take so long without a queue";
  EXPECT_LE(idle_latency_after_probes(8), 0.3) << "with eight, what a queue makes looks the same";
}

TEST(ConcurrencyLimit, FollowsLittlesLawWithTheAllowedQueueing) {
  Feed feed({class_with(1)});
  feed.run(30, 1000, 0.02);
  EXPECT_NEAR(feed.limit.idle_latency(), 0.02, 0.001);
  EXPECT_NEAR(feed.limit.allowed_queueing(), 0.245, 0.002);  // a quarter of what the objective leaves
  const double by_little = 1000 * 0.265;
  EXPECT_GT(feed.all(), by_little);
  EXPECT_LT(feed.all(), 1.25 * by_little);
}

TEST(ConcurrencyLimit, AllowsLongerQueueingWhereLateAnswersHaveValue) {
  RequestClass c = class_with(1);  // with a client timeout of 2 s
  c.late_value = 0.4;
  Feed late({c}), never({class_with(1)});
  late.run(30, 1000, 0.02);
  never.run(30, 1000, 0.02);
  EXPECT_NEAR(late.limit.allowed_queueing(), 0.25 * (1.2 - 0.02), 0.002);
  EXPECT_NEAR(never.limit.allowed_queueing(), 0.25 * (1 - 0.02), 0.002);
  // The initial guess of the idle latency goes by the same objective.
  c.late_value = 1;
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15 * 1.5, 1e-9);
  c.client_timeout = std::numeric_limits<double>::infinity();
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15, 1e-9)
      << "without a client timeout nothing is added";
}

TEST(ConcurrencyLimit, BoundsQueueingByTheStrictestClass) {
  Feed feed({class_with(0.1), class_with(10)});
  feed.run(20, 500, 0.05, 1);
  EXPECT_GT(feed.limit.allowed_queueing(), 2) << "no other class is there";
  for (int i = 0; i < 100; ++i) {
    feed.run(0.1, 500, 0.05, 1);
    feed.run(0.1, 500, 0.01, 0);
  }
  EXPECT_LT(feed.limit.allowed_queueing(), 0.026);
  EXPECT_NEAR(feed.limit.idle_latency(), 0.03, 0.005) << "by the mix";
}

TEST(ConcurrencyLimit, IgnoresRareClassesInTheQueueingBound) {
  Feed feed({class_with(0.1), class_with(10)});
  for (int i = 0; i < 20; ++i) {
    feed.run(1, 500, 0.05, 1);
    feed.run(0.002, 500, 0.01, 0);
  }
  EXPECT_GT(feed.limit.allowed_queueing(), 2);
}

TEST(ConcurrencyLimit, GrowsSoonOnlyWhereResponsesMeetNoQueue) {
  Feed quick({class_with(1)}), queued({class_with(1)});
  quick.run(30, 100, 0.02);
  queued.run(30, 100, 0.02);
  // Ten times the answers, for a tenth of a second.
  quick.run(0.1, 1000, 0.02);
  queued.run(0.1, 1000, 0.2);
  EXPECT_GT(quick.all(), 1.5 * queued.all());
  EXPECT_DOUBLE_EQ(quick.limit.unqueued(), 1);
  EXPECT_DOUBLE_EQ(queued.limit.unqueued(), 0);
}

// Where a dependency slows all requests, responses get fewer, the limit with them, and so on down.
TEST(ConcurrencyLimit, DoesNotFallBelowThePeakConcurrency) {
  Feed feed({class_with(0.1)});
  feed.run(30, 1000, 0.02);
  feed.run(5, 10, 0.09);  // 20 requests were processed at once; now a hundredth as many responses come
  EXPECT_GT(feed.all(), 15);
}

TEST(ConcurrencyLimit, SplitsTheInitialLimitBetweenReplicas) {
  const ConcurrencyLimit limit({class_with(1)});
  const Throughput none;
  EXPECT_DOUBLE_EQ(limit.server_limit(0, none, 0, 1), 8);
  EXPECT_DOUBLE_EQ(limit.server_limit(0, none, 0, 8), 1);
  EXPECT_NEAR(limit.server_limit(100, none, 0, 1), 2, 1e-9);
  EXPECT_GT(limit.tier_limit(0, 10, 0, 1), 80);
}

TEST(ConcurrencyLimit, ClampsZeroAndInfiniteObjectives) {
  Feed feed({class_with(0), class_with(std::numeric_limits<double>::infinity())});
  feed.run(5, 100, 0.01, 0);
  feed.run(5, 100, 0.01, 1);
  EXPECT_TRUE(std::isfinite(feed.all()));
  EXPECT_GT(feed.all(), 1);
}

// A list that is delivered again without changes resets nothing, also where cross-zone cost changes the order
// of servers.
TEST(ConcurrencyLimit, KeepsTheProbedBoundUntilServersChange) {
  Settings s = basic_settings();
  s.cross_zone_cost = 0.1;
  s.max_retry_after = 0;
  Replica replica(s);
  EndpointUpdate list;
  for (int i = 0; i < 6; ++i) list.endpoints.push_back(server(i, i % 2));
  replica.at(0, list);
  // Servers that do twice as much with fewer requests: 100 in flight give 500 answers a second, 40 give
  // 1,000.
  std::vector<std::string> out;
  std::size_t next = 0;
  double owed = 0;
  int sent_count = 0;
  while (replica.now < 20 && std::isinf(replica.balancer.concurrency_limit(replica.now).probed_bound)) {
    replica.now += 0.001;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "r" + std::to_string(++sent_count);
      if (!all<Send>(replica.request(id)).empty()) out.push_back(id);
    }
    const double in_flight = static_cast<double>(out.size() - next);
    const double rate = in_flight > 60 ? 500 : std::min(1000.0, 25 * in_flight + 1);
    for (owed += rate * 0.001; owed >= 1 && next < out.size(); owed -= 1) {
      replica.end(out[next], Outcome::kSuccess, 0, in_flight / rate);
      ++next;
    }
  }
  const double bound = replica.balancer.concurrency_limit(replica.now).probed_bound;
  ASSERT_TRUE(std::isfinite(bound)) << "no probe has put a bound on the limit";
  replica.at(replica.now, list);
  EXPECT_TRUE(std::isfinite(replica.balancer.concurrency_limit(replica.now).probed_bound));
  list.endpoints.pop_back();
  replica.at(replica.now, list);
  EXPECT_TRUE(std::isinf(replica.balancer.concurrency_limit(replica.now).probed_bound));
}

}  // namespace
}  // namespace thymewood
