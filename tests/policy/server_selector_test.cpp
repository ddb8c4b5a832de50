// Tests which of the usable servers is selected for a request.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(ServerSelector, PrefersTheLessLoadedServer) {
  Settings s = basic_settings();
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(2));
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 10; ++i) {
    for (const Send& send : actions_of_type<Send>(replica.request(std::to_string(i))))
      ++in_flight[send.server];
  }
  EXPECT_EQ(in_flight["s0"], 5);
  EXPECT_EQ(in_flight["s1"], 5);
}

// With about one request in flight at each replica, the numbers of requests in flight tie, so latency must
// decide.
TEST(ServerSelector, SendsLessToASlowServerAtLowLoad) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.1;
    const std::string id = std::to_string(i);
    for (const Send& send : actions_of_type<Send>(replica.request(id))) {
      if (i >= 100) ++used[send.server];
      replica.end_attempt(id, Outcome::kSuccess, 0, send.server == "s1" ? 0.9 : 0.3);
    }
  }
  EXPECT_LT(used["s1"], used["s0"] / 2);
  EXPECT_GT(used["s1"], 0) << "otherwise its recovery would go unnoticed";
}

// By its response latency alone, a server that has stopped responding looks like the others until its first
// request times out.
TEST(ServerSelector, AvoidsAServerWithAnOldUnansweredRequest) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Replica replica(basic_settings(), seed);
    replica.handle_at(0, make_endpoint_list(2));
    for (int i = 0; i < 40; ++i) {
      replica.now = i * 0.1;
      replica.request(std::to_string(i));
      replica.end_attempt(std::to_string(i), Outcome::kSuccess, 0, 0.2);
    }
    const std::string unresponsive = actions_of_type<Send>(replica.request("old"))[0].server;
    replica.now += 1;  // five mean latencies
    for (int i = 0; i < 3; ++i) {
      EXPECT_NE(actions_of_type<Send>(replica.request("new" + std::to_string(i)))[0].server, unresponsive)
          << "several recent requests weigh less than one old one";
    }
  }
}

// Without cross-zone requests, a zone with more traffic than its servers can process would queue requests
// while the servers of the neighboring zone are idle.
TEST(ServerSelector, CrossesZonesOnlyWhenTheLocalZoneIsBusy) {
  const auto count_cross_zone_requests = [](double local_latency, double cross_zone_cost = 0.01) {
    Settings s = basic_settings();
    s.cross_zone_cost = cross_zone_cost;
    Replica replica(s);
    EndpointUpdate update;
    for (int i = 0; i < 8; ++i) update.endpoints.push_back(make_endpoint(i, i % 2));
    replica.handle_at(0, update);
    int cross_zone_requests = 0;
    // Keyed by the step in which the request ends.
    std::multimap<int, std::pair<std::string, double>> open_requests;
    for (int i = 0; i < 600; ++i) {
      replica.now = i * 0.05;
      for (auto it = open_requests.begin(); it != open_requests.end() && it->first <= i;
           it = open_requests.erase(it)) {
        replica.end_attempt(it->second.first, Outcome::kSuccess, 0, it->second.second);
      }
      const std::string id = std::to_string(i);
      for (const Send& send : actions_of_type<Send>(replica.request(id))) {
        const bool is_local = (send.server.back() - '0') % 2 == 0;
        const double latency = is_local ? local_latency : 0.1;
        cross_zone_requests += is_local ? 0 : 1;
        open_requests.insert({i + static_cast<int>(latency / 0.05), {id, latency}});
      }
    }
    return cross_zone_requests;
  };
  EXPECT_LT(count_cross_zone_requests(0.05), 30);
  EXPECT_GT(count_cross_zone_requests(1.0), 120);
  EXPECT_LT(count_cross_zone_requests(0.2, 0.04), count_cross_zone_requests(0.2, 0.001) / 2)
      << "a higher cross-zone cost must weigh more";
}

// Returns the time to send a request and process its response with this number of servers, in seconds.
double seconds_per_request(int servers) {
  Replica replica(basic_settings());
  replica.handle_at(0, make_endpoint_list(servers));
  double best = 1;
  for (int round = 0; round < 5; ++round) {  // minimum of several rounds, since the machine may be busy
    constexpr int kRequests = 2000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequests; ++i) {
      replica.now += 0.01;
      replica.request("r");
      replica.end_attempt("r", Outcome::kSuccess, 0, 0.005);
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    best = std::min(best, elapsed.count() / kRequests);
  }
  return best;
}

TEST(ServerSelector, CostsAboutTheSameWithAThousandServersAsWithTen) {
  EXPECT_LT(seconds_per_request(1000), 8 * seconds_per_request(10)) << "about the same, with a wide margin";
}

// Only the other server of the same two-server cell deduplicates a request that may have run, so only it can
// be used for the retry.
TEST(ServerSelector, FindsTheOnlyUsableServerAmongMany) {
  EndpointUpdate update;
  for (int i = 0; i < 400; ++i) update.endpoints.push_back(make_endpoint(i, 0, i / 2));
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Replica replica(basic_settings(make_request_class(Idempotency::kIdempotentWithKey, DedupScope::kCell)),
                    seed);
    replica.handle_at(0, update);
    const auto first = actions_of_type<Send>(replica.request("r"));
    ASSERT_EQ(first.size(), 1U);
    const auto retry = actions_of_type<Send>(replica.end_attempt("r", Outcome::kReset));
    ASSERT_EQ(retry.size(), 1U) << "seed " << seed;
    EXPECT_EQ(std::stoi(retry[0].server.substr(1)) ^ 1, std::stoi(first[0].server.substr(1)));
  }
}

// All requests that a saturated server rejects go to the other servers, however many there are.
TEST(ServerSelector, SkipsASaturatedServerUntilARequestMayHaveEnded) {
  Settings s = settings_with_ample_quota();
  s.classes = {make_request_class(Idempotency::kNotIdempotent)};
  Replica replica(s);
  replica.handle_at(0, make_endpoint_list(4));
  long rejected = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.005;
    const auto servers_tried = run_attempts(replica, std::to_string(i), [](const std::string& server) {
      return server == "s0" ? Outcome::kRejected : Outcome::kSuccess;
    });
    ASSERT_FALSE(servers_tried.empty());
    EXPECT_NE(servers_tried.back(), "s0") << "three servers are idle";
    rejected += std::count(servers_tried.begin(), servers_tried.end(), "s0");
  }
  EXPECT_GE(rejected, 2) << "it receives requests again";
  EXPECT_LE(rejected, 25) << "within 1 s, at a latency of 50 ms; its even share would be 50 or more";
}

// Retries of rejected requests do not consume the retry budget, so they must be limited when all servers are
// saturated.
TEST(ServerSelector, SendsFewRequestsWhereAllServersAreSaturated) {
  Replica replica(settings_with_ample_quota());
  replica.handle_at(0, make_endpoint_list(4));
  std::size_t sent = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = i * 0.002;
    sent += run_attempts(replica, std::to_string(i), [](const std::string&) {
              return Outcome::kRejected;
            }).size();
  }
  EXPECT_LE(sent, 4U * 20) << "each server receives an occasional request, not one for each of the 500";
}

}  // namespace
}  // namespace thymewood
