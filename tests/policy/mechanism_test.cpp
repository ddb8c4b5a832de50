// The mechanism on its own: suppression, limits, subsets, the pick.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Suppression, FollowsTheWorkedFigures) {
  EXPECT_NEAR(suppression_factor(10, 14, 14), 0.286, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 11.67, 12), 0.167, 0.0005);
  EXPECT_NEAR(suppression_factor(10, 13.33, 15), 0.333, 0.0005);
}

TEST(Suppression, TakesTheHigherRateAndStaysInRange) {
  EXPECT_DOUBLE_EQ(suppression_factor(10, 20, 5), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 20), 0.5);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 5, 5), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(10, 0, 0), 0);
  EXPECT_DOUBLE_EQ(suppression_factor(std::numeric_limits<double>::infinity(), 5, 5), 0);
}

Settings one_tenant(double quota) {
  Settings s = basic_settings();
  s.tenants = {{quota}};
  return s;
}

// Calls at a steady rate, each answered at once; returns how many were admitted.
int offer(Copy& copy, double from, double seconds, double rate, const std::string& prefix,
          Outcome outcome = Outcome::kSuccess) {
  int admitted = 0;
  const int calls = static_cast<int>(seconds * rate);
  for (int i = 0; i < calls; ++i) {
    copy.now = from + i / rate;
    const std::string id = prefix + std::to_string(i);
    if (all<Send>(copy.request(id)).empty()) continue;
    ++admitted;
    const auto after = copy.end(id, outcome);
    for (const Send& again : all<Send>(after)) copy.end(again.id, Outcome::kSuccess, 1);
  }
  return admitted;
}

TEST(Admission, BelowTheLimitEverythingGoes) {
  Copy copy(one_tenant(100));
  copy.at(0, members(4));
  EXPECT_EQ(offer(copy, 0, 10, 50, "a"), 500);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(copy.now, 0).suppression_factor, 0);
}

TEST(Admission, AboveTheLimitTheRestIsDeniedSmoothly) {
  Settings s = one_tenant(10);
  s.over_quota_weight = 0;  // the limit stays where it starts
  Copy copy(s);
  copy.at(0, members(4));
  const double limit = copy.balancer.tenant(0, 0).rate_limit;
  const int admitted = offer(copy, 0, 8, 4 * limit, "a");
  const TenantLimitView view = copy.balancer.tenant(copy.now, 0);
  EXPECT_GT(admitted, 0.8 * limit * 8);
  EXPECT_LT(admitted, 1.6 * limit * 8);
  EXPECT_NEAR(view.suppression_factor, 1 - view.rate_limit / (4 * limit), 0.05);
  EXPECT_GT(view.declined, 0);
}

// Guards against tenants cut down to a part of their share by servers that fail at any load.
TEST(Admission, ErrorsAndSpoiltAnswersCutNoLimit) {
  for (const Outcome outcome : {Outcome::kError, Outcome::kUnknown, Outcome::kReset}) {
    Copy copy(one_tenant(10));
    copy.at(0, members(4));
    const double limit = copy.balancer.tenant(0, 0).rate_limit;
    offer(copy, 0, 4, 5, "a", outcome);
    EXPECT_GE(copy.balancer.tenant(copy.now, 0).rate_limit, limit);
  }
}

TEST(Admission, ALimitNeverFallsBelowTheAllowance) {
  Copy copy(one_tenant(10));
  copy.at(0, members(4));
  offer(copy, 0, 20, 9, "a", Outcome::kRejected);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(copy.now, 0).rate_limit, 10);
}

// Guards against a tenant within its share that finds no server, since one far over its own holds all the
// room.
TEST(Admission, WithinItsShareATenantFindsRoomWhereAnotherHoldsIt) {
  Settings s = basic_settings();
  s.tenants = {{2.0}, {2.0}};
  s.over_quota_weight = 0.05;
  Copy copy(s);
  copy.at(0, members(6));
  copy.now = 300;  // nothing of the start's room is left
  const auto sent = [&](const std::string& prefix, std::size_t tenant, int calls) {
    std::size_t out = 0;
    for (int i = 0; i < calls; ++i) out += all<Send>(copy.request(prefix + std::to_string(i), tenant)).size();
    return out;
  };
  EXPECT_GT(sent("flood", 0, 60), 8U) << "its share of the window, and more";
  EXPECT_EQ(sent("more", 0, 3), 0U) << "all the room is taken";
  EXPECT_GT(sent("within", 1, 3), 0U);
}

TEST(Admission, AtTheHardLimitAllAreDenied) {
  Copy copy(one_tenant(10));
  copy.at(0, members(4));
  const double limit = copy.balancer.tenant(0, 0).rate_limit;
  const double flood = 400 * limit;
  int late_admissions = 0;
  for (int i = 0; i < static_cast<int>(flood); ++i) {
    copy.now = i / flood;
    const bool sent = !all<Send>(copy.request("r" + std::to_string(i))).empty();
    if (i > flood * 0.9 && sent) ++late_admissions;
  }
  EXPECT_EQ(late_admissions, 0);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(copy.now, 0).suppression_factor, 1);
}

TEST(Admission, TheWindowExpires) {
  Copy copy(one_tenant(10));
  copy.at(0, members(4));
  for (int i = 0; i < 500; ++i) copy.request("r" + std::to_string(i));
  EXPECT_GT(copy.balancer.tenant(0, 0).suppression_factor, 0.5);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(3.85, 0).total, 500);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(4.15, 0).total, 0);
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(4.15, 0).suppression_factor, 0);
}

// The factor is kept for 100 ms: a flood within that time is met with the factor from before it.
TEST(Admission, TheFactorIsCached) {
  Settings s = one_tenant(100);
  s.over_quota_weight = 0;
  Copy copy(s);
  copy.at(0, members(4));
  const double limit = copy.balancer.tenant(0, 0).rate_limit;
  const int soft = static_cast<int>(std::ceil(4 * limit));  // the window's seconds
  const auto pour = [&](double time, int calls, const std::string& prefix) {
    int admitted = 0;
    for (int i = 0; i < calls; ++i) {
      copy.now = time;
      const std::string id = prefix + std::to_string(i);
      if (all<Send>(copy.request(id)).empty()) continue;
      ++admitted;
      copy.end(id, Outcome::kSuccess);
    }
    return admitted;
  };
  EXPECT_EQ(pour(0, soft, "fill"), soft);
  EXPECT_NEAR(pour(0.01, 1000, "cached"), 250, 60);  // the factor from when the flood began: three quarters
  const double factor = copy.balancer.tenant(0.12, 0).suppression_factor;
  EXPECT_GT(factor, 0.85);
  EXPECT_NEAR(pour(0.12, 1000, "fresh"), 1000 * (1 - factor), 40);
}

TEST(Admission, ADenialIsARefusalUnsent) {
  Copy copy(one_tenant(10));
  copy.at(0, members(4));
  int refused = 0;
  for (int i = 0; i < 900; ++i) {
    copy.now = 0.001 * i;
    const auto actions = copy.request("r" + std::to_string(i));
    EXPECT_EQ(all<Reject>(actions).size() + all<Send>(actions).size(), 1U);
    refused += static_cast<int>(all<Reject>(actions).size());
    if (!all<Send>(actions).empty()) copy.end("r" + std::to_string(i), Outcome::kSuccess);
  }
  EXPECT_GT(refused, 300);
  EXPECT_EQ(copy.balancer.tenant(copy.now, 0).declined, refused);
}

// Danger: callers that are refused together and told the same come back together.
TEST(Admission, RefusedCallersAreToldDifferentTimes) {
  Copy copy(one_tenant(10));  // without servers all are refused
  double least = 9, most = 0, sum = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto refusals = all<Reject>(copy.request("r" + std::to_string(i)));
    ASSERT_EQ(refusals.size(), 1U);
    least = std::min(least, refusals[0].retry_after);
    most = std::max(most, refusals[0].retry_after);
    sum += refusals[0].retry_after;
  }
  EXPECT_GE(least, 0.75) << "of 2 s that the settings allow";
  EXPECT_LE(most, 1.25);
  EXPECT_GT(most - least, 0.45);
  EXPECT_NEAR(sum / 1000, 1, 0.03);
  Settings s = basic_settings();
  s.max_retry_after = 0;
  Copy untold(s);
  EXPECT_EQ(all<Reject>(untold.request("r"))[0].retry_after, 0) << "where clients follow none";
}

TEST(Limit, RisesWhileCallsFinishInTime) {
  Copy copy(one_tenant(10));
  copy.at(0, members(4));
  const double before = copy.balancer.tenant(0, 0).rate_limit;
  offer(copy, 0, 10, before * 0.9, "a");
  EXPECT_GT(copy.balancer.tenant(copy.now, 0).rate_limit, before);
  EXPECT_LT(copy.balancer.tenant(copy.now, 0).rate_limit, before * 2);
}

TEST(Limit, DropsWhenCallsFailButKeepsAFloor) {
  Copy copy(one_tenant(100));
  copy.at(0, members(4));
  offer(copy, 0, 40, 120, "up");
  const double before = copy.balancer.tenant(copy.now, 0).rate_limit;
  ASSERT_GT(before, 130);
  offer(copy, 40, 5, before, "a", Outcome::kRejected);
  EXPECT_LT(copy.balancer.tenant(copy.now, 0).rate_limit, before);
  offer(copy, 45, 60, 50, "b", Outcome::kRejected);
  EXPECT_GE(copy.balancer.tenant(copy.now, 0).rate_limit, 25) << "a quarter of the part of the allowance";
}

// Danger: calls that end within a feedback delay were sent under the old limit and say nothing of the new
// one.
TEST(Limit, ASecondOfFailuresTakesAPartOfIt) {
  Copy copy(one_tenant(100));
  copy.at(0, members(4));
  const double before = copy.balancer.tenant(copy.now, 0).rate_limit;
  offer(copy, 0, 1, before, "a", Outcome::kRejected);
  const double after = copy.balancer.tenant(copy.now, 0).rate_limit;
  EXPECT_LT(after, before * 0.9);
  EXPECT_GT(after, before * 0.5);
}

// Danger: where everything turns slow together, cutting all tenants to the same floor leaves servers idle.
TEST(Limit, SlowAnswersHoldItAndOnlyFailuresCutIt) {
  Copy copy(one_tenant(100));
  copy.at(0, members(4));
  const double before = copy.balancer.tenant(0, 0).rate_limit;
  for (int i = 0; i < 500; ++i) {
    copy.now = i * 0.01;
    const std::string id = std::to_string(i);
    if (!all<Send>(copy.request(id)).empty()) copy.end(id, Outcome::kSuccess, 0, 1.8);
  }
  EXPECT_DOUBLE_EQ(copy.balancer.tenant(copy.now, 0).rate_limit, before);
}

TEST(Subset, CoversEvenly) {
  for (std::size_t copies = 1; copies <= 40; ++copies) {
    for (std::size_t servers = 1; servers <= 45; servers += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(servers, 0);
        for (std::size_t i = 0; i < copies; ++i) {
          const auto subset = subset_of(i, copies, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t at : subset) ++uses[at];
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        // Starts of one copy or of evenly spread ones: no server is used by over one copy more than another.
        EXPECT_LE(*most - *least, 1) << copies << " copies, " << servers << " servers, size " << size;
      }
    }
  }
}

TEST(Subset, MovesLittleWhenOneServerLeaves) {
  for (const int copies : {3, 7, 12}) {
    for (int index = 0; index < copies; ++index) {
      Settings s = basic_settings();
      s.replica_index = index;
      s.replica_count = copies;
      const auto used = [&](bool without_one) {
        Copy copy(s);
        EndpointUpdate m = members(24);
        if (without_one) m.endpoints.erase(m.endpoints.begin() + 5);
        copy.at(0, m);
        std::set<std::string> out;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const Send& send : all<Send>(copy.request(id))) out.insert(send.server);
          copy.end(id, Outcome::kSuccess);
        }
        return out;
      };
      const auto before = used(false);
      const auto after = used(true);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(kept));
      EXPECT_GE(kept.size() + 2, before.size());
    }
  }
}

// Danger: with a subset of fixed size a lone copy would leave most of a large tier without work.
TEST(Subset, FewCopiesStillReachEveryServer) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings s = basic_settings();
    s.replica_index = index;
    s.replica_count = 2;
    Copy copy(s);
    copy.at(0, members(40));
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : all<Send>(copy.request(std::to_string(i)))) used.insert(send.server);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}

TEST(Pick, PrefersTheLessBusy) {
  Settings s = basic_settings();
  Copy copy(s);
  copy.at(0, members(2));
  std::map<std::string, int> held;
  for (int i = 0; i < 10; ++i) {
    for (const Send& send : all<Send>(copy.request(std::to_string(i)))) ++held[send.server];
  }
  EXPECT_EQ(held["s0"], 5);
  EXPECT_EQ(held["s1"], 5);
}

// Danger: with about one call in flight at each copy, calls in flight tie and a slow server keeps its share.
TEST(Pick, ASlowServerIsSetBackThoughNothingIsInFlight) {
  Copy copy(basic_settings());
  copy.at(0, members(4));
  std::map<std::string, int> used;
  for (int i = 0; i < 400; ++i) {
    copy.now = i * 0.1;
    const std::string id = std::to_string(i);
    for (const Send& send : all<Send>(copy.request(id))) {
      if (i >= 100) ++used[send.server];
      copy.end(id, Outcome::kSuccess, 0, send.server == "s1" ? 0.9 : 0.3);
    }
  }
  EXPECT_LT(used["s1"], used["s0"] / 2);
  EXPECT_GT(used["s1"], 0) << "or it would never be found well again";
}

// Danger: a server that has stopped answering looks like the others until its first call times out.
TEST(Pick, TheAgeOfAnOpenCallCountsAgainstAServer) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Copy copy(basic_settings(), seed);
    copy.at(0, members(2));
    for (int i = 0; i < 40; ++i) {
      copy.now = i * 0.1;
      copy.request(std::to_string(i));
      copy.end(std::to_string(i), Outcome::kSuccess, 0, 0.2);
    }
    const std::string silent = all<Send>(copy.request("old"))[0].server;
    copy.now += 1;  // five usual answer times
    for (int i = 0; i < 3; ++i) {
      EXPECT_NE(all<Send>(copy.request("new" + std::to_string(i)))[0].server, silent)
          << "young calls weigh less than one old one";
    }
  }
}

// Danger: a zone with more traffic than its own servers carry queues for ever while its neighbour idles.
TEST(Pick, ACrowdedZoneSpillsOverAndAnIdleOneStaysAtHome) {
  const auto away = [](double answer_at_home, double price = 0.01) {
    Settings s = basic_settings();
    s.cross_zone_cost = price;
    Copy copy(s);
    EndpointUpdate m;
    for (int i = 0; i < 8; ++i) m.endpoints.push_back(server(i, i % 2));
    copy.at(0, m);
    int out = 0;
    std::multimap<int, std::pair<std::string, double>> open;  // by the step in which each ends
    for (int i = 0; i < 600; ++i) {
      copy.now = i * 0.05;
      for (auto it = open.begin(); it != open.end() && it->first <= i; it = open.erase(it)) {
        copy.end(it->second.first, Outcome::kSuccess, 0, it->second.second);
      }
      const std::string id = std::to_string(i);
      for (const Send& send : all<Send>(copy.request(id))) {
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
  EXPECT_LT(away(0.2, 0.04), away(0.2, 0.001) / 2) << "a dear crossing must be worth more";
}

// Seconds for a call, sent and answered, among so many servers.
double cost_of_a_call(int servers) {
  Copy copy(basic_settings());
  copy.at(0, members(servers));
  double best = 1;
  for (int round = 0; round < 5; ++round) {  // the best of some, for a machine that does other things too
    constexpr int kCalls = 2000;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < kCalls; ++i) {
      copy.now += 0.01;
      copy.request("r");
      copy.end("r", Outcome::kSuccess, 0, 0.005);
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    best = std::min(best, took.count() / kCalls);
  }
  return best;
}

// Danger: to look at each server for each call makes a thousand of them cost fifty times what ten do.
TEST(Pick, ACallCostsHardlyMoreAmongAThousandServersThanAmongTen) {
  EXPECT_LT(cost_of_a_call(1000), 8 * cost_of_a_call(10)) << "about the same; a wide margin";
}

// Among many, the only one that may be used is found all the same: here the other server of a cell of two,
// where a keyed request that may have run may go again.
TEST(Pick, TheOnlyUsableServerAmongManyIsFound) {
  EndpointUpdate many;
  for (int i = 0; i < 400; ++i) many.endpoints.push_back(server(i, 0, i / 2));
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Copy copy(basic_settings(class_of(Idempotency::kIdempotentWithKey, DedupScope::kCell)), seed);
    copy.at(0, many);
    const auto first = all<Send>(copy.request("r"));
    ASSERT_EQ(first.size(), 1U);
    const auto again = all<Send>(copy.end("r", Outcome::kReset));
    ASSERT_EQ(again.size(), 1U) << "seed " << seed;
    EXPECT_EQ(std::stoi(again[0].server.substr(1)) ^ 1, std::stoi(first[0].server.substr(1)));
  }
}

TEST(Pick, TheSameSeedAndEventsGiveTheSameActions) {
  const auto run = [] {
    Copy copy(basic_settings(), 99);
    copy.at(5, members(12));
    std::string out;
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : all<Send>(copy.request(std::to_string(i)))) out += send.server + " ";
    }
    return out;
  };
  EXPECT_EQ(run(), run());
}

TEST(Settings, UnusableOnesAreNamed) {
  const auto message = [](auto change) {
    Settings s = basic_settings();
    s.tenants = {{1.0}};
    change(s);
    try {
      const Balancer b(s, 1);
    } catch (const std::invalid_argument& problem) {
      return std::string(problem.what());
    }
    return std::string("accepted");
  };
  const auto names = [&](auto change, const char* field) {
    EXPECT_NE(message(change).find(field), std::string::npos) << field << ": " << message(change);
  };
  names([](Settings& s) { s.replica_count = 0; }, "replica_count");
  names([](Settings& s) { s.replica_index = 1; }, "replica_index");
  names([](Settings& s) { s.replica_index = -1; }, "replica_index");
  names([](Settings& s) { s.clock_granularity = -1; }, "clock_granularity");
  names([](Settings& s) { s.tier = -1; }, "tier");
  names([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
  names([](Settings& s) { s.max_retry_after = -1; }, "max_retry_after");
  names([](Settings& s) { s.poll_interval = -1; }, "poll_interval");
  names([](Settings& s) { s.slow_start_window = -1; }, "slow_start_window");
  names([](Settings& s) { s.over_quota_weight = -1; }, "over_quota_weight");
  names([](Settings& s) { s.slow_start_min_capacity = 1.5; }, "slow_start_min_capacity");
  names([](Settings& s) { s.classes[0].idempotency = static_cast<Idempotency>(9); }, "idempotency");
  names([](Settings& s) { s.classes[0].dedup_scope = static_cast<DedupScope>(9); }, "dedup_scope");
  names([](Settings& s) { s.classes[0].latency_objective = -1; }, "latency_objective");
  names([](Settings& s) { s.classes[0].client_timeout = -1; }, "client_timeout");
  names([](Settings& s) { s.classes[0].dedup_window = -1; }, "dedup_window");
  names([](Settings& s) { s.tenants[0].quota = -1; }, "quota");
  names([](Settings& s) { s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN(); },
        "latency_objective");
  names([](Settings& s) { s.classes[0].latency_objective_per_work = -1; }, "latency_objective_per_work");
  EXPECT_EQ(message([](Settings&) {}), "accepted");
}

TEST(Settings, NoAmountMayBeNanOrInfinite) {
  using Change = double& (*)(Settings&);
  const std::pair<Change, const char*> amounts[] = {
      {[](Settings& s) -> double& { return s.clock_granularity; }, "clock_granularity"},
      {[](Settings& s) -> double& { return s.max_retry_after; }, "max_retry_after"},
      {[](Settings& s) -> double& { return s.poll_interval; }, "poll_interval"},
      {[](Settings& s) -> double& { return s.slow_start_window; }, "slow_start_window"},
      {[](Settings& s) -> double& { return s.slow_start_min_capacity; }, "slow_start_min_capacity"},
      {[](Settings& s) -> double& { return s.over_quota_weight; }, "over_quota_weight"},
      {[](Settings& s) -> double& { return s.cross_zone_cost; }, "cross_zone_cost"},
      {[](Settings& s) -> double& { return s.classes[0].latency_objective; }, "latency_objective"},
      {[](Settings& s) -> double& { return s.classes[0].latency_objective_per_work; },
       "latency_objective_per_work"},
      {[](Settings& s) -> double& { return s.classes[0].client_timeout; }, "client_timeout"},
      {[](Settings& s) -> double& { return s.classes[0].late_value; }, "late_value"},
      {[](Settings& s) -> double& { return s.classes[0].dedup_window; }, "dedup_window"},
      {[](Settings& s) -> double& { return *s.tenants[0].quota; }, "quota"}};
  for (const auto& [field, name] : amounts) {
    for (const double value : {std::nan(""), HUGE_VAL, -HUGE_VAL, -1.0}) {
      Settings s = basic_settings();
      s.tenants = {{1.0}};
      field(s) = value;
      try {
        const Balancer b(s, 1);
        ADD_FAILURE() << name << " accepted " << value;
      } catch (const std::invalid_argument& problem) {
        EXPECT_NE(std::string(problem.what()).find(name), std::string::npos) << problem.what();
      }
    }
  }
}

TEST(Settings, ARequestIdThatIsStillOpenIsIgnored) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  ASSERT_EQ(all<Send>(copy.request("r")).size(), 1U);
  EXPECT_TRUE(copy.request("r").empty());
  EXPECT_TRUE(copy.end("r", Outcome::kSuccess).empty());
}

TEST(Settings, NumbersOutOfRangeAreHarmless) {
  Copy copy(basic_settings());
  copy.at(0, members(2));
  EXPECT_EQ(all<Send>(copy.request("a", 77, 88)).size(), 1U);
  EXPECT_TRUE(copy.end("a", Outcome::kSuccess, 9).empty());
  EXPECT_TRUE(copy.end("a", Outcome::kSuccess, -1).empty());
  EXPECT_TRUE(copy.end("never", Outcome::kSuccess).empty());
  EXPECT_TRUE(copy.at(0, TimerFired{12345}).empty());
  EXPECT_TRUE(copy.at(0, RequestAbandoned{"never"}).empty());
  EXPECT_GE(copy.balancer.tenant(0, 1234).rate_limit, 0);
}

// Guards against a list that grows with every server there ever was: on a long day all of them are replaced
// again and again, and each change of the list walks it.
TEST(LongDay, ServersThatAreGoneAreForgottenOnceNoRequestNamesThem) {
  Copy copy(basic_settings());
  constexpr int kListed = 5, kDay = 1000;
  copy.at(0, members(kListed));
  const auto sent = all<Send>(copy.request("held"));
  ASSERT_EQ(sent.size(), 1U);
  for (int i = kListed; i < kDay; ++i) {
    EndpointUpdate change;
    change.form = i % 7 == 0 ? EndpointUpdate::Form::kFull : EndpointUpdate::Form::kDelta;
    if (change.form == EndpointUpdate::Form::kFull) {
      for (int at = i - kListed + 1; at < i; ++at) change.endpoints.push_back(server(at));
    } else {
      change.endpoints.push_back(server(i - kListed));
      change.endpoints.back().state = EndpointState::kRemoved;
    }
    change.endpoints.push_back(server(i));
    copy.at(i, change);
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(all<Send>(copy.request(id)).size(), 1U);
    copy.end(id, Outcome::kSuccess);
  }
  EXPECT_EQ(copy.balancer.known_endpoints(), kListed + 1U)
      << "those listed, and the one that the open request names";
  copy.end("held", Outcome::kSuccess);
  EXPECT_EQ(copy.balancer.known_endpoints(), static_cast<std::size_t>(kListed));
}

}  // namespace
}  // namespace thymewood
