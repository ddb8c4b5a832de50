// Servers that have just started: what all nodes together send one of them stays within its budget over every
// window of the settings' length, however many nodes there are, whatever fails beside it, also where nodes
// start while it is cold, know another number of nodes than there are, and where it starts twice in a row. In
// virtual time, over a thousand seeds.
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
  double slow_start_min_capacity, slow_start_window;  // of the settings
  double multiple, window;                            // x what it can do at that moment, s
};
constexpr Deployment kDeployments[] = {{"usual", 0.32, 9, 4, 1},
                                       {"long_window", 0.3, 6, 2.5, 3},
                                       {"strict", 0.4, 8, 2, 1.5},
                                       {"cold", 0.14, 24, 3, 0.8}};
constexpr int kNodeCounts[] = {1, 2, 3, 12, 60, 300};
constexpr int kSeedsEach = 42;  // x 4 deployments x 6 counts: 1,008

constexpr int kServers = 10;
constexpr double kCapacity = 20;                                // calls a second that a warm server can do
constexpr double kLoad = 0.8;                                   // of all capacity
constexpr double kFirstStart = 4, kSecondStart = 7, kEnd = 13;  // s

// The protocol's allowance for chance.
double allowed(double mean) {
  constexpr double kFew = 30;
  return mean < kFew ? mean + 3 * std::sqrt(mean) + 3 : mean + 2 * std::sqrt(mean) + 2;
}

class ColdDay {
 public:
  ColdDay(const Deployment& deployment, int nodes, std::uint64_t seed)
      : deployment_(deployment), dice_(seed), seed_(seed) {
    settings_ = basic_settings();
    settings_.replica_count = nodes;
    settings_.slow_start_min_capacity = deployment.slow_start_min_capacity;
    settings_.slow_start_window = deployment.slow_start_window;
    settings_.tenants = {{kServers * kCapacity}};
    // Some nodes believe that there are half as many, or twice.
    for (int i = 0; i < nodes; ++i) nodes_.push_back(start_node(i, 0));
    started_twice_ = unit() < 0.5;
    bad_servers_ = static_cast<int>(dice_() % kServers);
  }

  // The largest number of sends in a window, in parts of what is allowed there.
  double play() {
    std::vector<double> told(nodes_.size()), told_again(nodes_.size());
    for (double& t : told) t = kFirstStart + 0.3 + unit();
    for (double& t : told_again) t = kSecondStart + 0.3 + unit();
    const std::size_t reborn = dice_() % nodes_.size();
    bool is_reborn = false;
    const double rate = kLoad * kServers * kCapacity;
    for (double now = 0; now < kEnd; now += -std::log(1 - unit()) / rate) {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (now >= told[i]) tell(i, now, kFirstStart, told[i]);
        if (started_twice_ && now >= told_again[i]) tell(i, now, kSecondStart, told_again[i]);
      }
      if (!is_reborn && now > kFirstStart + 2) {
        is_reborn = true;
        nodes_[reborn] = start_node(static_cast<int>(reborn), now);
      }
      request(dice_() % nodes_.size(), now);
    }
    return worst();
  }

 private:
  double unit() { return std::uniform_real_distribution<>(0, 1)(dice_); }

  std::unique_ptr<Copy> start_node(int number, double now) {
    Settings s = settings_;
    s.replica_index = number;
    const int wrong = static_cast<int>(dice_() % 4);
    if (wrong == 1) s.replica_count = std::max(number + 1, s.replica_count / 2);
    if (wrong == 2) s.replica_count *= 2;
    auto out = std::make_unique<Copy>(s, seed_ * 1000 + static_cast<std::uint64_t>(number) + 1);
    EndpointUpdate all = members(kServers);
    if (now > kFirstStart) all.endpoints[0].started_at = kFirstStart;
    if (started_twice_ && now > kSecondStart) all.endpoints[0].started_at = kSecondStart;
    out->at(now, all);
    return out;
  }

  void tell(std::size_t node, double now, double started, double& when) {
    when = kEnd + 1;
    EndpointUpdate change;
    change.form = EndpointUpdate::Form::kDelta;
    change.endpoints = {server(0)};
    change.endpoints[0].started_at = started;
    nodes_[node]->at(now, change);
  }

  // Of the others some turn calls away, and some fail, so that calls come off them: up to all nine.
  void request(std::size_t node, double now) {
    Copy& copy = *nodes_[node];
    copy.now = now;
    const std::string id = std::to_string(++asked_);
    auto sends = all<Send>(copy.request(id));
    for (int attempt = 0; !sends.empty(); ++attempt) {
      const std::string to = sends[0].server;
      if (to == "s0") sent_.push_back(now);
      const int number = std::stoi(to.substr(1));
      const bool bad = number > 0 && number <= bad_servers_ && now > kFirstStart;
      const Outcome outcome = !bad              ? Outcome::kSuccess
                              : number % 2 == 0 ? Outcome::kError
                                                : Outcome::kRejected;
      sends = all<Send>(copy.end(id, outcome, attempt, 0.05));
    }
  }

  double worst() const {
    double out = 0;
    const double start = started_twice_ ? kSecondStart : kFirstStart;
    for (std::size_t first = 0; first < sent_.size(); ++first) {
      if (sent_[first] < start + 1.5) continue;  // until then some nodes have not been told
      const auto end = std::lower_bound(sent_.begin(), sent_.end(), sent_[first] + deployment_.window);
      const double age = sent_[first] - start;
      if (age + deployment_.window > deployment_.slow_start_window) break;  // a warm one may be sent all
      const double warmth =
          std::min(1.0, deployment_.slow_start_min_capacity +
                            (1 - deployment_.slow_start_min_capacity) * age / deployment_.slow_start_window);
      const double mean = deployment_.multiple * kCapacity * warmth * deployment_.window;
      const auto count = static_cast<double>(end - sent_.begin()) - static_cast<double>(first);
      out = std::max(out, count / allowed(mean));
    }
    return out;
  }

  Deployment deployment_;
  std::mt19937_64 dice_;
  std::uint64_t seed_;
  Settings settings_;
  std::vector<std::unique_ptr<Copy>> nodes_;
  std::vector<double> sent_;
  int asked_ = 0;
  int bad_servers_ = 0;
  bool started_twice_ = false;
};

class SlowStart : public testing::TestWithParam<int> {};

TEST_P(SlowStart, TheNodesTogetherKeepTheBudgetOfAColdServer) {
  for (const Deployment& deployment : kDeployments) {
    double worst = 0;
    for (int seed = 1; seed <= kSeedsEach; ++seed) {
      const double part = ColdDay(deployment, GetParam(), static_cast<std::uint64_t>(seed)).play();
      EXPECT_LE(part, 1) << deployment.name << ", seed " << seed;
      worst = std::max(worst, part);
    }
    EXPECT_GT(worst, 0) << "it gets some work, or it never warms";
  }
}
INSTANTIATE_TEST_SUITE_P(Nodes, SlowStart, testing::ValuesIn(kNodeCounts));

}  // namespace
}  // namespace thymewood
