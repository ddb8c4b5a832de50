// The four rules, each on its own.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "balancer_harness.h"

namespace thymewood {
namespace {

std::size_t finals(const std::vector<Action>& actions) {
  return all<Reject>(actions).size() + all<Fail>(actions).size();
}

constexpr Outcome kFailures[] = {Outcome::kError,         Outcome::kRejected, Outcome::kTimedOut,
                                 Outcome::kConnectFailed, Outcome::kReset,    Outcome::kCancelled,
                                 Outcome::kNotSent,       Outcome::kUnknown};

EndpointUpdate two_cells() {
  EndpointUpdate m;
  for (int i = 0; i < 8; ++i) m.endpoints.push_back(server(i, i % 2, i / 2));
  return m;
}

// Every effect and scope against every failure: what may be sent again, where, and what may be refused.
TEST(NoDoubleEffect, RepeatMatrix) {
  const std::pair<Idempotency, DedupScope> kinds[] = {{Idempotency::kIdempotent, DedupScope::kCell},
                                                      {Idempotency::kIdempotentWithKey, DedupScope::kAll},
                                                      {Idempotency::kIdempotentWithKey, DedupScope::kZone},
                                                      {Idempotency::kIdempotentWithKey, DedupScope::kCell},
                                                      {Idempotency::kNotIdempotent, DedupScope::kCell}};
  std::map<std::string, Endpoint> told;
  for (const Endpoint& s : two_cells().endpoints) told[s.address] = s;
  for (const auto& [idempotency, scope] : kinds) {
    for (const Outcome first : kFailures) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Copy copy(basic_settings(class_of(idempotency, scope)), seed);
        copy.at(0, two_cells());
        std::optional<Endpoint> may_have_run;
        std::string id = "r";
        auto actions = copy.request(id);
        for (int attempt = 0; attempt < 10; ++attempt) {
          const auto sends = all<Send>(actions);
          if (sends.empty()) {
            EXPECT_EQ(finals(actions), 1U);
            if (!all<Reject>(actions).empty() && may_have_run && idempotency != Idempotency::kIdempotent) {
              EXPECT_TRUE(idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kAll);
            }
            break;
          }
          ASSERT_EQ(sends.size(), 1U);
          const Endpoint& s = told[sends[0].server];
          if (may_have_run) {
            EXPECT_NE(idempotency, Idempotency::kNotIdempotent);
            if (idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kZone) {
              EXPECT_EQ(s.zone, may_have_run->zone);
            }
            if (idempotency == Idempotency::kIdempotentWithKey && scope == DedupScope::kCell) {
              EXPECT_EQ(s.cell, may_have_run->cell);
            }
          }
          const Outcome outcome = attempt == 0 ? first : Outcome::kConnectFailed;
          if (!may_have_run && !proves_unrun(outcome)) may_have_run = s;
          copy.now += 0.05;
          actions = copy.end(id, outcome, attempt);
          ASSERT_LT(attempt, 9);
        }
      }
    }
  }
}

TEST(NoDoubleEffect, NothingIsRepeatedAfterTheServersForget) {
  RequestClass c = class_of(Idempotency::kIdempotentWithKey, DedupScope::kAll);
  c.dedup_window = 0.5;
  Copy copy(basic_settings(c));
  copy.at(0, members(4));
  ASSERT_EQ(all<Send>(copy.request("r")).size(), 1U);
  copy.now = 0.6;
  EXPECT_TRUE(all<Send>(copy.end("r", Outcome::kError)).empty());
}

// Orders in which an outcome, the deadline and the client's leaving can meet: one final answer, none after.
TEST(NoneLost, OneFinalAnswerUnderEveryOrder) {
  for (const Outcome outcome : kFailures) {
    for (const bool gone_first : {false, true}) {
      Settings s = basic_settings(class_of(Idempotency::kNotIdempotent));
      s.max_attempts = 1;
      Copy copy(s);
      copy.at(0, members(3));
      ASSERT_EQ(all<Send>(copy.request("r")).size(), 1U);
      copy.now = 1;
      std::vector<Action> after;
      if (gone_first) {
        after = copy.at(1, RequestAbandoned{"r"});
        EXPECT_EQ(finals(after), 0U);
        EXPECT_EQ(all<Cancel>(after).size(), 1U);
        after = copy.end("r", outcome);
        EXPECT_EQ(finals(after), 0U);
      } else {
        after = copy.end("r", outcome);
        EXPECT_EQ(finals(after), 1U);
        EXPECT_TRUE(copy.at(1, RequestAbandoned{"r"}).empty());
      }
      EXPECT_TRUE(all<Send>(after).empty());
      EXPECT_TRUE(copy.end("r", outcome).empty()) << "an outcome twice";
    }
  }
}

TEST(NoneLost, AnOutcomeThatEndedTheRequestNeedsNoAnswer) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  copy.request("r");
  EXPECT_TRUE(copy.end("r", Outcome::kSuccess).empty());
  EXPECT_TRUE(copy.at(0, RequestAbandoned{"r"}).empty());
}

TEST(NoneLost, ATimeOutNeverPassesTheClientsOwn) {
  RequestClass c = class_of(Idempotency::kNotIdempotent);
  c.late_value = 0.5;
  Copy copy(basic_settings(c));
  copy.at(0, members(3));
  Request r;
  r.id = "r";
  r.time_left = 0.7;
  const auto sends = all<Send>(copy.at(0, r));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LE(sends[0].timeout, 0.7);
  EXPECT_GT(sends[0].timeout, 0);
}

TEST(NoneLost, WithoutServersARequestIsRefused) {
  Copy nothing_known(basic_settings());
  EXPECT_EQ(all<Reject>(nothing_known.request("a")).size(), 1U);
  Copy draining(basic_settings());
  EndpointUpdate m = members(3);
  for (Endpoint& s : m.endpoints) s.state = EndpointState::kDraining;
  draining.at(0, m);
  EXPECT_EQ(all<Reject>(draining.request("a")).size(), 1U);
}

TEST(NoneLost, NoMoreAttemptsThanAllowed) {
  Settings s = basic_settings();
  s.max_attempts = 3;
  Copy copy(s);
  copy.at(0, members(8));
  auto actions = copy.request("r");
  int sends = 0;
  while (!all<Send>(actions).empty()) actions = copy.end("r", Outcome::kRejected, sends++);
  EXPECT_LE(sends, 3);
  EXPECT_EQ(finals(actions), 1U);
}

std::set<std::string> servers_used(Copy& copy, int calls, const std::string& prefix) {
  std::set<std::string> used;
  for (int i = 0; i < calls; ++i) {
    const std::string id = prefix + std::to_string(i);
    for (const Send& send : all<Send>(copy.request(id))) used.insert(send.server);
    copy.end(id, Outcome::kSuccess);
  }
  return used;
}

TEST(Drains, NothingNewOnceTold) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Copy copy(basic_settings());
    copy.at(0, members(3));
    EXPECT_EQ(servers_used(copy, 50, "a").size(), 3U);
    EndpointUpdate change;
    change.form = EndpointUpdate::Form::kDelta;
    change.endpoints = {server(1)};
    change.endpoints[0].state = state;
    copy.at(1, change);
    EXPECT_EQ(servers_used(copy, 50, "b"), (std::set<std::string>{"s0", "s2"}));
    change.endpoints[0].state = EndpointState::kReady;
    copy.at(2, change);
    EXPECT_EQ(servers_used(copy, 50, "c").size(), 3U);
  }
}

TEST(Drains, AServerMissingFromAFullListIsGone) {
  Copy copy(basic_settings());
  copy.at(0, members(3));
  copy.at(1, members(2));
  EXPECT_EQ(servers_used(copy, 50, "a"), (std::set<std::string>{"s0", "s1"}));
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  copy.at(2, failed);
  EXPECT_EQ(servers_used(copy, 50, "b"), (std::set<std::string>{"s0", "s1"}));
}

TEST(Watch, IsAskedForAtTheStartAndAgainAfterFailures) {
  Settings s = basic_settings();
  s.uses_watch = true;
  s.poll_interval = 10;
  Copy copy(s);
  EXPECT_EQ(all<WatchEndpoints>(copy.at(0, Started{})).size(), 1U);
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  double now = 0;
  for (int i = 0; i < 12; ++i) {
    const auto timers = all<SetTimer>(copy.at(now, failed));
    ASSERT_EQ(timers.size(), 1U);
    EXPECT_GT(timers[0].at, now);
    EXPECT_LE(timers[0].at, now + 5) << "within the time after which it counts as told";
    now = timers[0].at;
    EXPECT_EQ(all<WatchEndpoints>(copy.at(now, TimerFired{timers[0].token})).size(), 1U);
  }
}

TEST(Watch, IsNotAskedForWhereChangesArriveByThemselves) {
  Copy copy(basic_settings());
  EXPECT_TRUE(copy.at(0, Started{}).empty());
  EndpointUpdate failed;
  failed.form = EndpointUpdate::Form::kFailed;
  EXPECT_TRUE(copy.at(0, failed).empty());
}

// Several copies, one server that has just started: together they stay within what it can take.
TEST(ColdServer, TheCopiesTogetherKeepTheBudget) {
  constexpr int kCopies = 10;
  constexpr int kServers = 10;
  constexpr double kRate = 20;  // a copy; a server's part is 20 a second over all copies
  Settings s = basic_settings();
  s.replica_count = kCopies;
  s.slow_start_min_capacity = 0.14;
  s.slow_start_window = 24;
  std::vector<double> sends;
  for (int c = 0; c < kCopies; ++c) {
    s.replica_index = c;
    Copy copy(s, static_cast<std::uint64_t>(c) + 1);
    copy.at(100, members(kServers));
    for (int i = 0; i < static_cast<int>(40 * kRate); ++i) {
      const double now = 100 + i / kRate;
      if (i == static_cast<int>(10 * kRate)) {
        EndpointUpdate restart;
        restart.form = EndpointUpdate::Form::kDelta;
        restart.endpoints = {server(0)};
        restart.endpoints[0].started_at = 109;
        copy.at(now, restart);
      }
      copy.now = now;
      const std::string id = std::to_string(i);
      for (const Send& send : all<Send>(copy.request(id))) {
        if (send.server == "s0" && now >= 110) sends.push_back(now);
      }
      copy.end(id, Outcome::kSuccess);
    }
  }
  const double share = kCopies * kRate / kServers;
  for (int step = 0; step < 48; ++step) {
    const double t = 110 + 0.5 * step;
    const double able = share * (0.14 + 0.86 * (t - 109) / 24);
    const auto in_window =
        std::count_if(sends.begin(), sends.end(), [t](double at) { return at >= t && at < t + 2; });
    EXPECT_LE(static_cast<double>(in_window), 3 * able * 2) << "at " << t;
  }
  EXPECT_GT(sends.size(), 50U) << "a cold server must get some work, or it never warms";
}

TEST(ColdServer, AFleetThatIsAllColdStillServes) {
  Settings s = basic_settings();
  s.slow_start_min_capacity = 0.2;
  s.slow_start_window = 10;
  s.tenants = {{100.0}};
  Copy copy(s);
  EndpointUpdate m = members(4);
  for (Endpoint& one : m.endpoints) one.started_at = 99.5;
  copy.at(100, m);
  int sent = 0;
  for (int i = 0; i < 500; ++i) {
    copy.now = 100 + i * 0.01;
    const std::string id = std::to_string(i);
    sent += static_cast<int>(all<Send>(copy.request(id)).size());
    copy.end(id, Outcome::kSuccess);
  }
  EXPECT_GT(sent, 50);
  EXPECT_LT(sent, 400);
}

}  // namespace
}  // namespace thymewood
