// Passive health: servers that fail are ejected, and return.
#include <gtest/gtest.h>

#include <map>

#include "balancer_harness.h"

namespace thymewood {
namespace {

// Sends requests of which those to `outlier` end with `outcome`, after `elapsed`; counts the first attempts
// at each server.
std::map<std::string, int> play(Replica& replica, const std::string& outlier, Outcome outcome, double from,
                                double seconds, double rate, const std::string& prefix,
                                double elapsed = 0.1) {
  std::map<std::string, int> firsts;
  for (int i = 0; i < static_cast<int>(seconds * rate); ++i) {
    replica.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    auto sends = all<Send>(replica.request(id));
    if (!sends.empty()) ++firsts[sends[0].server];
    for (int attempt = 0; !sends.empty(); ++attempt) {
      const bool is_outlier = sends[0].server == outlier;
      sends = all<Send>(
          replica.end(id, is_outlier ? outcome : Outcome::kSuccess, attempt, is_outlier ? elapsed : 0.1));
    }
  }
  return firsts;
}

// A server that fails at once has nothing in flight and looks the least loaded of all.
TEST(OutlierDetector, EjectsAFastFailingServerAndReadmitsIt) {
  Replica replica(settings_with_ample_quota());
  replica.at(0, endpoints(6));
  const auto ejected = play(replica, "s2", Outcome::kError, 0, 10, 50, "a");
  EXPECT_LT(ejected.at("s2"), 25);
  const auto back = play(replica, "", Outcome::kSuccess, 10, 30, 50, "b");
  EXPECT_GT(back.at("s2"), 100);
}

// Where client timeouts are shorter than responses take, all servers in turn would look like outliers.
TEST(OutlierDetector, IgnoresTimeoutsShorterThanTheLatency) {
  for (const bool early : {true, false}) {
    Replica replica(settings_with_ample_quota());
    replica.at(0, endpoints(4));
    play(replica, "", Outcome::kSuccess, 0, 10, 50, "a");
    auto firsts = play(replica, "s0", Outcome::kTimedOut, 10, 4, 50, "b", early ? 0.09 : 0.5);
    EXPECT_EQ(firsts["s0"] + firsts["s1"] + firsts["s2"] + firsts["s3"], 200);
    if (early) {
      EXPECT_GT(firsts["s0"], 30) << "like any other";
    } else {
      EXPECT_LT(firsts["s0"], 20) << "ejected";
    }
  }
}

TEST(OutlierDetector, EjectsNoServerWhenAllFail) {
  Replica replica(settings_with_ample_quota());
  replica.at(0, endpoints(4));
  int sent = 0;
  for (int i = 0; i < 200; ++i) {
    replica.now = i * 0.02;
    const std::string id = std::to_string(i);
    auto sends = all<Send>(replica.request(id));
    sent += static_cast<int>(sends.size());
    for (int attempt = 0; !sends.empty(); ++attempt)
      sends = all<Send>(replica.end(id, Outcome::kError, attempt));
  }
  EXPECT_EQ(sent, 200);
}

}  // namespace
}  // namespace thymewood
