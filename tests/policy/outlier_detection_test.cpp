// Passive health checking: failing servers are ejected and later readmitted.
#include <gtest/gtest.h>

#include <map>

#include "balancer_harness.h"

namespace thymewood {
namespace {

// Sends requests; attempts at `outlier` end with `outcome` after `elapsed`, all others succeed. Returns the
// number of first attempts at each server.
std::map<std::string, int> run_requests(Replica& replica, const std::string& outlier, Outcome outcome,
                                        double from, double seconds, double rate, const std::string& prefix,
                                        double elapsed = 0.1) {
  std::map<std::string, int> first_attempts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = actions_of_type<Send>(replica.request(id));
    if (!sends.empty()) ++first_attempts[sends[0].server];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      const bool is_outlier = sends[0].server == outlier;
      sends = actions_of_type<Send>(replica.end_attempt(id, is_outlier ? outcome : Outcome::kSuccess, attempt,
                                                        is_outlier ? elapsed : 0.1));
    }
  }
  return first_attempts;
}

// A server that fails immediately has no requests in flight and therefore looks the least loaded.
TEST(OutlierDetector, EjectsAFastFailingServerAndReadmitsIt) {
  Replica replica(settings_with_ample_quota());
  replica.handle_at(0, make_endpoint_list(6));
  const auto ejected = run_requests(replica, "s2", Outcome::kError, 0, 10, 50, "a");
  EXPECT_LT(ejected.at("s2"), 25);
  const auto readmitted = run_requests(replica, "", Outcome::kSuccess, 10, 30, 50, "b");
  EXPECT_GT(readmitted.at("s2"), 100);
}

// If client timeouts are shorter than the usual latency, every server would look like an outlier.
TEST(OutlierDetector, IgnoresTimeoutsShorterThanTheLatency) {
  for (const bool shorter_than_latency : {true, false}) {
    Replica replica(settings_with_ample_quota());
    replica.handle_at(0, make_endpoint_list(4));
    run_requests(replica, "", Outcome::kSuccess, 0, 10, 50, "a");
    auto first_attempts =
        run_requests(replica, "s0", Outcome::kTimedOut, 10, 4, 50, "b", shorter_than_latency ? 0.09 : 0.5);
    EXPECT_EQ(first_attempts["s0"] + first_attempts["s1"] + first_attempts["s2"] + first_attempts["s3"], 200);
    if (shorter_than_latency) {
      EXPECT_GT(first_attempts["s0"], 30) << "the server is used like any other";
    } else {
      EXPECT_LT(first_attempts["s0"], 20) << "ejected";
    }
  }
}

TEST(OutlierDetector, EjectsNoServerWhenAllFail) {
  Replica replica(settings_with_ample_quota());
  replica.handle_at(0, make_endpoint_list(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = actions_of_type<Send>(replica.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = actions_of_type<Send>(replica.end_attempt(id, Outcome::kError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

}  // namespace
}  // namespace thymewood
