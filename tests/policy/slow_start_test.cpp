// Slow start: the requests that all nodes together send to a server that has just started must stay within
// its budget in every window of the given length. Covers different numbers of nodes, failures of other
// servers, nodes that start in the meantime or are configured with a wrong number of nodes, and a server that
// starts twice. Runs in virtual time with over a thousand seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>

#include "balancer_harness.h"

namespace thymewood {
namespace {

struct Deployment {
  const char* name;
  double slow_start_min_capacity, slow_start_window;  // see Settings
  double budget_factor, window;                       // times the capacity at that moment; s
};
constexpr Deployment kDeployments[] = {{"default", 0.32, 9, 4, 1},
                                       {"long_window", 0.3, 6, 2.5, 3},
                                       {"strict", 0.4, 8, 2, 1.5},
                                       {"low_start", 0.14, 24, 3, 0.8}};
constexpr int kNodeCounts[] = {1, 2, 3, 12, 60, 300};
constexpr int kSeedsPerCase = 42;  // x 4 deployments x 6 node counts: 1,008

constexpr int kServers = 10;
constexpr double kCapacity = 20;  // requests per second of a server past its slow start
constexpr double kLoad = 0.8;     // fraction of the total capacity
constexpr double kFirstStart = 4, kSecondStart = 7, kEnd = 13;  // s

// The maximum count for a mean, with the random variation that the protocol allows.
double allowed_count(double mean) {
  constexpr double kSmallMean = 30;
  return mean < kSmallMean ? mean + 3 * std::sqrt(mean) + 3 : mean + 2 * std::sqrt(mean) + 2;
}

class SlowStartRun {
 public:
  SlowStartRun(const Deployment& deployment, int nodes, std::uint64_t seed)
      : deployment_(deployment), rng_(seed), seed_(seed) {
    settings_ = basic_settings();
    settings_.replica_count = nodes;
    settings_.slow_start_min_capacity = deployment.slow_start_min_capacity;
    settings_.slow_start_window = deployment.slow_start_window;
    settings_.tenants = {{kServers * kCapacity}};
    // Some nodes are configured with half as many nodes, or with twice as many.
    for (int i = 0; i < nodes; ++i) nodes_.push_back(start_node(i, 0));
    started_twice_ = unit() < 0.5;
    failing_servers_ = static_cast<int>(rng_() % kServers);
  }

  // Returns the maximum, over all windows, of the number of sends divided by the allowed number.
  double run() {
    std::vector<double> notified_at(nodes_.size()), notified_again_at(nodes_.size());
    for (double& t : notified_at) t = kFirstStart + 0.3 + unit();
    for (double& t : notified_again_at) t = kSecondStart + 0.3 + unit();
    const std::size_t restarted = rng_() % nodes_.size();
    bool has_restarted = false;
    const double rate = kLoad * kServers * kCapacity;
    for (double now = 0; now < kEnd; now += -std::log(1 - unit()) / rate) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (now >= notified_at[i]) notify(i, now, kFirstStart, notified_at[i]);
        if (started_twice_ && now >= notified_again_at[i]) notify(i, now, kSecondStart, notified_again_at[i]);
      }
      if (!has_restarted && now > kFirstStart + 2) {
        has_restarted = true;
        nodes_[restarted] = start_node(static_cast<int>(restarted), now);
      }
      request(rng_() % nodes_.size(), now);
    }
    return max_ratio();
  }

 private:
  double unit() { return std::uniform_real_distribution<>(0, 1)(rng_); }

  std::unique_ptr<Replica> start_node(int number, double now) {
    Settings s = settings_;
    s.replica_index = number;
    const int replica_count_error = static_cast<int>(rng_() % 4);
    if (replica_count_error == 1) s.replica_count = std::max(number + 1, s.replica_count / 2);
    if (replica_count_error == 2) s.replica_count *= 2;
    auto replica = std::make_unique<Replica>(s, seed_ * 1000 + static_cast<std::uint64_t>(number) + 1);
    EndpointUpdate update = make_endpoint_list(kServers);
    if (now > kFirstStart) update.endpoints[0].started_at = kFirstStart;
    if (started_twice_ && now > kSecondStart) update.endpoints[0].started_at = kSecondStart;
    replica->handle_at(now, update);
    return replica;
  }

  void notify(std::size_t node, double now, double started, double& notify_at) {
    notify_at = kEnd + 1;
    EndpointUpdate update;
    update.form = EndpointUpdate::Form::kDelta;
    update.endpoints = {make_endpoint(0)};
    update.endpoints[0].started_at = started;
    nodes_[node]->handle_at(now, update);
  }

  // Up to nine of the other servers reject or fail requests, so that these are retried elsewhere.
  void request(std::size_t node, double now) {
    Replica& replica = *nodes_[node];
    replica.now = now;
    const std::string id = std::to_string(++requests_);
    auto sends = actions_of_type<Send>(replica.request(id));
    for (int attempt = 0; !sends.empty(); ++attempt) {
      const std::string address = sends[0].server;
      if (address == "s0") sent_.push_back(now);
      const int number = std::stoi(address.substr(1));
      const bool is_failing = number > 0 && number <= failing_servers_ && now > kFirstStart;
      const Outcome outcome = !is_failing       ? Outcome::kSuccess
                              : number % 2 == 0 ? Outcome::kError
                                                : Outcome::kRejected;
      sends = actions_of_type<Send>(replica.end_attempt(id, outcome, attempt, 0.05));
    }
  }

  double max_ratio() const {
    double ratio = 0;
    const double start = started_twice_ ? kSecondStart : kFirstStart;
    for (std::size_t begin = 0; begin < sent_.size(); ++begin) {
      if (sent_[begin] < start + 1.5) continue;  // until then, some nodes may not have been notified
      const auto end = std::lower_bound(sent_.begin(), sent_.end(), sent_[begin] + deployment_.window);
      const double age = sent_[begin] - start;
      if (age + deployment_.window > deployment_.slow_start_window)
        break;  // after slow start there is no limit
      const double capacity =
          std::min(1.0, deployment_.slow_start_min_capacity +
                            (1 - deployment_.slow_start_min_capacity) * age / deployment_.slow_start_window);
      const double mean = deployment_.budget_factor * kCapacity * capacity * deployment_.window;
      const auto count = static_cast<double>(end - sent_.begin()) - static_cast<double>(begin);
      ratio = std::max(ratio, count / allowed_count(mean));
    }
    return ratio;
  }

  Deployment deployment_;
  std::mt19937_64 rng_;
  std::uint64_t seed_;
  Settings settings_;
  std::vector<std::unique_ptr<Replica>> nodes_;
  std::vector<double> sent_;
  int requests_ = 0;
  int failing_servers_ = 0;
  bool started_twice_ = false;
};

class SlowStart : public testing::TestWithParam<int> {};

TEST_P(SlowStart, AllNodesTogetherStayWithinTheBudget) {
  for (const Deployment& deployment : kDeployments) {
    double max_ratio = 0;
    for (int seed = 1; seed <= kSeedsPerCase; ++seed) {
      const double ratio = SlowStartRun(deployment, GetParam(), static_cast<std::uint64_t>(seed)).run();
      EXPECT_LE(ratio, 1) << deployment.name << ", seed " << seed;
      max_ratio = std::max(max_ratio, ratio);
    }
    EXPECT_GT(max_ratio, 0) << "the server receives some requests";
  }
}
INSTANTIATE_TEST_SUITE_P(Nodes, SlowStart, testing::ValuesIn(kNodeCounts));

// Several replicas together stay within the capacity of a server that has just started.
TEST(SlowStartBudget, IsKeptByAllReplicasTogether) {
  constexpr int kReplicas = 10;
  // Requests per second and replica; each server's share is 20 per second over all replicas.
  constexpr double kRate = 20;
  Settings s = basic_settings();
  s.replica_count = kReplicas;
  s.slow_start_min_capacity = 0.14;
  s.slow_start_window = 24;
  std::vector<double> sends;
  for (int index = 0; index < kReplicas; ++index) {
    s.replica_index = index;
    Replica replica(s, static_cast<std::uint64_t>(index) + 1);
    replica.handle_at(100, make_endpoint_list(kServers));
    for (int i = 0; i < static_cast<int>(40 * kRate); ++i) {
      const double now = 100 + i / kRate;
      if (i == static_cast<int>(10 * kRate)) {
        EndpointUpdate restart;
        restart.form = EndpointUpdate::Form::kDelta;
        restart.endpoints = {make_endpoint(0)};
        restart.endpoints[0].started_at = 109;
        replica.handle_at(now, restart);
      }
      replica.now = now;
      const std::string id = std::to_string(i);
      for (const Send& send : actions_of_type<Send>(replica.request(id))) {
        if (send.server == "s0" && now >= 110) sends.push_back(now);
      }
      replica.end_attempt(id, Outcome::kSuccess);
    }
  }
  const double rate_per_server = kReplicas * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double capacity = rate_per_server * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window =
        std::count_if(sends.begin(), sends.end(), [t](double at) { return at >= t && at < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * capacity * 2) << "at " << t;
  }
  EXPECT_GT(sends.size(), 50U) << "a server that is warming up receives some requests";
}

TEST(SlowStartBudget, StillServesWhereAllServersAreWarmingUp) {
  Settings s = basic_settings();
  s.slow_start_min_capacity = 0.2;
  s.slow_start_window = 10;
  s.tenants = {{100.0}};
  Replica replica(s);
  EndpointUpdate update = make_endpoint_list(4);
  for (Endpoint& endpoint : update.endpoints) endpoint.started_at = 99.5;
  replica.handle_at(100, update);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    sent += static_cast<int>(actions_of_type<Send>(replica.request(id)).size());
    replica.end_attempt(id, Outcome::kSuccess);
  }
  EXPECT_GT(sent, 50);
  EXPECT_LT(sent, 400);
}

}  // namespace
}  // namespace thymewood
