// Which of the usable servers a request is sent to.
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
  replica.at(0, endpoints(2));
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 10; ++i) {
    for (const Send& send : all<Send>(replica.request(std::to_string(i)))) ++in_flight[send.server];
  }
  EXPECT_EQ(in_flight["s0"], 5);
  EXPECT_EQ(in_flight["s1"], 5);
}

// With about one request in flight at each replica, counts of requests in flight tie.
TEST(ServerSelector, SendsLessToASlowServerAtLowLoad) {
  Replica replica(basic_settings());
  replica.at(0, endpoints(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    replica.now = i * 0.1;
    const std::string id = std::to_string(i);
    for (const Send& send : all<Send>(replica.request(id))) {
      if (i >= 100) ++used[send.server];
      replica.end(id, Outcome::kSuccess, 0, send.server == "s1" ? 0.9 : 0.3);
    }
  }
  EXPECT_LT(used["s1"], used["s0"] / 2);
  EXPECT_GT(used["s1"], 0) << "or its recovery would not be seen";
}

// A server that has stopped answering looks like the others until its first request times out.
TEST(ServerSelector, AvoidsAServerWithAnOldUnansweredRequest) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Replica replica(basic_settings(), seed);
    replica.at(0, endpoints(2));
    for (int i = 0; i < 40; ++i) {
      replica.now = i * 0.1;
      replica.request(std::to_string(i));
      replica.end(std::to_string(i), Outcome::kSuccess, 0, 0.2);
    }
    const std::string silent = all<Send>(replica.request("old"))[0].server;
    replica.now += 1;  // five mean latencies
    for (int i = 0; i < 3; ++i) {
      EXPECT_NE(all<Send>(replica.request("new" + std::to_string(i)))[0].server, silent)
          << "several recent requests weigh less than one old one";
    }
  }
}

// A zone with more traffic than its own servers can process would queue while its neighbour idles.
TEST(ServerSelector, CrossesZonesOnlyWhenTheLocalZoneIsBusy) {
  const auto away = [](double answer_at_home, double price = 0.01) {
    Settings s = basic_settings();
    s.cross_zone_cost = price;
    Replica replica(s);
    EndpointUpdate m;
    for (int i = 0; i < 8; ++i) m.endpoints.push_back(server(i, i % 2));
    replica.at(0, m);
    int out = 0;
    std::multimap<int, std::pair<std::string, double>> open;  // by the step in which each ends
    for (int i = 0; i < 600; ++i) {
      replica.now = i * 0.05;
      for (auto it = open.begin(); it != open.end() && it->first <= i; it = open.erase(it)) {
        replica.end(it->second.first, Outcome::kSuccess, 0, it->second.second);
      }
      const std::string id = std::to_string(i);
      for (const Send& send : all<Send>(replica.request(id))) {
        const bool home = (send.server.back() - '0') % 2 == 0;
        const double answer = home ? answer_at_home : 0.1;
        out += home ? 0 : 1;
        open.insert({i + static_cast<int>(answer / 0.05), {id, answer}});
      }
    }
    return out;
  };
  EXPECT_LT(away(0.05), 30);
  EXPECT_GT(away(1.0), 120);
  EXPECT_LT(away(0.2, 0.04), away(0.2, 0.001) / 2) << "a higher cross-zone cost must weigh more";
}

// Seconds to send a request and process its response among so many servers.
double seconds_per_request(int servers) {
  Replica replica(basic_settings());
  replica.at(0, endpoints(servers));
  double best = 1;
  for (int round = 0; round < 5; ++round) {  // the best of several, since the machine may be busy
    constexpr int kRequests = 2000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kRequests; ++i) {
      replica.now += 0.01;
      replica.request("r");
      replica.end("r", Outcome::kSuccess, 0, 0.005);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    best = std::min(best, took.count() / kRequests);
  }
  return best;
}

TEST(ServerSelector, CostsAboutTheSameWithAThousandServersAsWithTen) {
  EXPECT_LT(seconds_per_request(1000), 8 * seconds_per_request(10)) << "about the same; a wide margin";
}

// Here the other server of a cell of two, which alone deduplicates a request that may have run.
TEST(ServerSelector, FindsTheOnlyUsableServerAmongMany) {
  EndpointUpdate many;
  for (int i = 0; i < 400; ++i) many.endpoints.push_back(server(i, 0, i / 2));
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Replica replica(basic_settings(class_of(Idempotency::kIdempotentWithKey, DedupScope::kCell)), seed);
    replica.at(0, many);
    const auto first = all<Send>(replica.request("r"));
    ASSERT_EQ(first.size(), 1U);
    const auto again = all<Send>(replica.end("r", Outcome::kReset));
    ASSERT_EQ(again.size(), 1U) << "seed " << seed;
    EXPECT_EQ(std::stoi(again[0].server.substr(1)) ^ 1, std::stoi(first[0].server.substr(1)));
  }
}

// What a saturated server rejects goes to the others, however much it is.
TEST(ServerSelector, SkipsASaturatedServerUntilARequestMayHaveEnded) {
  Settings s = settings_with_ample_quota();
  s.classes = {class_of(Idempotency::kNotIdempotent)};
  Replica replica(s);
  replica.at(0, endpoints(4));
  long rejected = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.005;
    const auto tried = run_to_end(replica, std::to_string(i), [](const std::string& server) {
      return server == "s0" ? Outcome::kRejected : Outcome::kSuccess;
    });
    ASSERT_FALSE(tried.empty());
    EXPECT_NE(tried.back(), "s0") << "three servers are idle";
    rejected += std::count(tried.begin(), tried.end(), "s0");
  }
  EXPECT_GE(rejected, 2) << "it gets requests again";
  EXPECT_LE(rejected, 25) << "in 1 s, at 50 ms for an answer; its part would be 50 and more";
}

// Retries of rejected requests are free, and all servers may be saturated.
TEST(ServerSelector, SendsFewRequestsWhereAllServersAreSaturated) {
  Replica replica(settings_with_ample_quota());
  replica.at(0, endpoints(4));
  std::size_t sent = 0;
  for (int i = 0; i < 500; ++i) {
    replica.now = i * 0.002;
    sent +=
        run_to_end(replica, std::to_string(i), [](const std::string&) { return Outcome::kRejected; }).size();
  }
  EXPECT_LE(sent, 4U * 20) << "each gets a request now and then, not for each of 500";
}

}  // namespace
}  // namespace thymewood
