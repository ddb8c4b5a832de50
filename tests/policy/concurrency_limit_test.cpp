// Unit tests of the adaptive concurrency limit.
#include "concurrency_limit.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <vector>

#include "balancer_harness.h"

namespace thymewood {
namespace {

RequestClass class_with(double latency_objective) {
  RequestClass c = make_request_class(Idempotency::kIdempotent);
  c.latency_objective = latency_objective;
  c.client_timeout = 2 * latency_objective;
  return c;
}

// Records responses of a class at a constant rate; the requests in flight follow from Little's law.
struct ResponseSimulation {
  explicit ResponseSimulation(const std::vector<RequestClass>& classes) : limit(classes) {}
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
  double tier_limit() const { return limit.tier_limit(now, 1, 0, 1); }
};

// If many replicas share a server, its queue hardly shortens when one of them halves its requests in flight,
// so an unchanged latency must not be taken for the absence of a queue.
TEST(ConcurrencyLimit, IgnoresUnqueuedResultsOfOneReplicaAmongMany) {
  const auto idle_latency_after_probes = [](double replicas_per_server) {
    ConcurrencyLimit limit({class_with(1)});
    Throughput server;
    double now = 0, pending_responses = 0;
    while (now < 12) {
      now += 0.001;
      const double in_flight = std::min(200.0, limit.probed_bound(now));
      limit.record_rejection(now, in_flight, true, replicas_per_server);
      for (pending_responses += in_flight / 0.4 * 0.001; pending_responses >= 1; pending_responses -= 1) {
        limit.record_success(now, 0, 0.4, in_flight, 0.4, server);
        limit.record_latency(now, 0, 0.4);
      }
    }
    return limit.idle_latency();
  };
  EXPECT_NEAR(idle_latency_after_probes(1), 0.4, 0.01)
      << "the only replica detects that this is the latency without a queue";
  EXPECT_LE(idle_latency_after_probes(8), 0.3) << "with eight replicas, a queue would give the same latency";
}

TEST(ConcurrencyLimit, FollowsLittlesLawWithTheAllowedQueueing) {
  ResponseSimulation simulation({class_with(1)});
  simulation.run(30, 1000, 0.02);
  EXPECT_NEAR(simulation.limit.idle_latency(), 0.02, 0.001);
  // A quarter of the objective less the idle latency.
  EXPECT_NEAR(simulation.limit.allowed_queueing(), 0.245, 0.002);
  const double little_limit = 1000 * 0.265;
  EXPECT_GT(simulation.tier_limit(), little_limit);
  EXPECT_LT(simulation.tier_limit(), 1.25 * little_limit);
}

TEST(ConcurrencyLimit, AllowsLongerQueueingIfLateResponsesHaveValue) {
  RequestClass c = class_with(1);  // with a client timeout of 2 s
  c.late_value = 0.4;
  ResponseSimulation with_late_value({c}), without_late_value({class_with(1)});
  with_late_value.run(30, 1000, 0.02);
  without_late_value.run(30, 1000, 0.02);
  EXPECT_NEAR(with_late_value.limit.allowed_queueing(), 0.25 * (1.2 - 0.02), 0.002);
  EXPECT_NEAR(without_late_value.limit.allowed_queueing(), 0.25 * (1 - 0.02), 0.002);
  // The initial idle latency is derived from the same objective.
  c.late_value = 1;
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15 * 1.5, 1e-9);
  c.client_timeout = std::numeric_limits<double>::infinity();
  EXPECT_NEAR(ConcurrencyLimit({c}).idle_latency(), 0.15, 1e-9)
      << "without a client timeout nothing is added";
}

TEST(ConcurrencyLimit, BoundsQueueingByTheStrictestClass) {
  ResponseSimulation simulation({class_with(0.1), class_with(10)});
  simulation.run(20, 500, 0.05, 1);
  EXPECT_GT(simulation.limit.allowed_queueing(), 2) << "no other class has requests";
  for (int i = 0; i < 100; ++i) {
    simulation.run(0.1, 500, 0.05, 1);
    simulation.run(0.1, 500, 0.01, 0);
  }
  EXPECT_LT(simulation.limit.allowed_queueing(), 0.026);
  EXPECT_NEAR(simulation.limit.idle_latency(), 0.03, 0.005) << "mean over the request mix";
}

TEST(ConcurrencyLimit, IgnoresRareClassesInTheQueueingBound) {
  ResponseSimulation simulation({class_with(0.1), class_with(10)});
  for (int i = 0; i < 20; ++i) {
    simulation.run(1, 500, 0.05, 1);
    simulation.run(0.002, 500, 0.01, 0);
  }
  EXPECT_GT(simulation.limit.allowed_queueing(), 2);
}

TEST(ConcurrencyLimit, GrowsQuicklyOnlyWithoutQueueing) {
  ResponseSimulation unqueued({class_with(1)}), queued({class_with(1)});
  unqueued.run(30, 100, 0.02);
  queued.run(30, 100, 0.02);
  // Ten times the response rate, for a tenth of a second.
  unqueued.run(0.1, 1000, 0.02);
  queued.run(0.1, 1000, 0.2);
  EXPECT_GT(unqueued.tier_limit(), 1.5 * queued.tier_limit());
  EXPECT_DOUBLE_EQ(unqueued.limit.unqueued(), 1);
  EXPECT_DOUBLE_EQ(queued.limit.unqueued(), 0);
}

// When a dependency slows down all requests, the response rate falls and the limit with it, which lowers the
// response rate further. The peak concurrency stops this feedback loop.
TEST(ConcurrencyLimit, DoesNotFallBelowThePeakConcurrency) {
  ResponseSimulation simulation({class_with(0.1)});
  simulation.run(30, 1000, 0.02);
  simulation.run(5, 10, 0.09);  // peak concurrency was 20; the response rate falls to a hundredth
  EXPECT_GT(simulation.tier_limit(), 15);
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
  ResponseSimulation simulation({class_with(0), class_with(std::numeric_limits<double>::infinity())});
  simulation.run(5, 100, 0.01, 0);
  simulation.run(5, 100, 0.01, 1);
  EXPECT_TRUE(std::isfinite(simulation.tier_limit()));
  EXPECT_GT(simulation.tier_limit(), 1);
}

// An endpoint list that is delivered again without changes must not reset the probe, even if the cross-zone
// cost changes the order of servers.
TEST(ConcurrencyLimit, KeepsTheProbedBoundUntilServersChange) {
  Settings s = basic_settings();
  s.cross_zone_cost = 0.1;
  s.max_retry_after = 0;
  Replica replica(s);
  EndpointUpdate update;
  for (int i = 0; i < 6; ++i) update.endpoints.push_back(make_endpoint(i, i % 2));
  replica.handle_at(0, update);
  // Servers with twice the throughput at lower concurrency: 500 responses per second with 100 requests in
  // flight, 1,000 with 40.
  std::vector<std::string> sent_ids;
  std::size_t next_to_end = 0;
  double pending_responses = 0;
  int sent_count = 0;
  while (replica.now < 20 && std::isinf(replica.balancer.concurrency_limit(replica.now).probed_bound)) {
    replica.now += 0.001;
    for (int i = 0; i < 3; ++i) {
      const std::string id = "r" + std::to_string(++sent_count);
      if (!actions_of_type<Send>(replica.request(id)).empty()) sent_ids.push_back(id);
    }
    const double in_flight = static_cast<double>(sent_ids.size() - next_to_end);
    const double rate = in_flight > 60 ? 500 : std::min(1000.0, 25 * in_flight + 1);
    for (pending_responses += rate * 0.001; pending_responses >= 1 && next_to_end < sent_ids.size();
         pending_responses -= 1) {
      replica.end_attempt(sent_ids[next_to_end], Outcome::kSuccess, 0, in_flight / rate);
      ++next_to_end;
    }
  }
  const double bound = replica.balancer.concurrency_limit(replica.now).probed_bound;
  ASSERT_TRUE(std::isfinite(bound)) << "no probe has bounded the limit";
  replica.handle_at(replica.now, update);
  EXPECT_TRUE(std::isfinite(replica.balancer.concurrency_limit(replica.now).probed_bound));
  update.endpoints.pop_back();
  replica.handle_at(replica.now, update);
  EXPECT_TRUE(std::isinf(replica.balancer.concurrency_limit(replica.now).probed_bound));
}

}  // namespace
}  // namespace thymewood
