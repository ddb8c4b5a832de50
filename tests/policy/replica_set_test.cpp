// What the module makes of a fleet that has changed: its part of the servers and of an allowance moves, and
// nothing that a list or a rule forbids becomes allowed.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "balancer_harness.h"

namespace thymewood {
namespace {

constexpr int kServers = 40;

Settings of_copy(int copy, int count) {
  Settings s;
  s.replica_index = copy;
  s.replica_count = count;
  s.max_attempts = 2;
  RequestClass c;
  c.latency_objective = 1;
  c.client_timeout = 2;
  c.idempotency = Idempotency::kIdempotent;
  s.classes.push_back(c);
  return s;
}

EndpointUpdate list_of(int servers, EndpointState state = EndpointState::kReady) {
  EndpointUpdate out;
  for (int i = 0; i < servers; ++i) {
    Endpoint s;
    s.address = "s" + std::to_string(i);
    s.state = state;
    out.endpoints.push_back(s);
  }
  return out;
}

class Copy {
 public:
  Copy(const Settings& settings, int servers) : balancer_(settings, 7) {
    tell(list_of(servers));
    tell(Started{});
  }
  void tell(const Event& event) { actions_of(event); }
  // To which servers so many calls go, each answered at once.
  std::map<std::string, int> send(int calls) {
    std::map<std::string, int> out;
    for (int i = 0; i < calls; ++i) {
      now_ += 0.01;
      Request r;
      r.id = "r" + std::to_string(++asked_);
      r.time_left = 2;
      for (const Action& action : actions_of(r)) {
        const auto* sent = std::get_if<Send>(&action);
        if (sent == nullptr) continue;
        out[sent->server] += 1;
        const std::string id = sent->id;
        actions_of(AttemptResult{id, 0, Outcome::kSuccess, 0.005, true});
        break;
      }
    }
    return out;
  }
  TenantLimitView tenant() const { return balancer_.tenant(now_, 0); }

 private:
  std::vector<Action> actions_of(const Event& event) {
    std::vector<Action> out;
    balancer_.handle(now_, event, out);
    return out;
  }
  Balancer balancer_;
  double now_ = 1;
  int asked_ = 0;
};

std::set<std::string> names(const std::map<std::string, int>& sent) {
  std::set<std::string> out;
  for (const auto& [name, count] : sent) out.insert(name);
  return out;
}

TEST(ReplicaSetChanged, GivesAnotherPartOfTheServers) {
  Copy copy(of_copy(9, 20), kServers);
  const std::set<std::string> before = names(copy.send(400));
  EXPECT_EQ(before.size(), 5u);
  copy.tell(ReplicaSetChanged{3, 20, 20, false});
  const std::set<std::string> after = names(copy.send(400));
  EXPECT_EQ(after.size(), 5u);
  EXPECT_NE(before, after);
  copy.tell(ReplicaSetChanged{9, 20, 20, false});
  EXPECT_EQ(names(copy.send(400)), before);
}

TEST(ReplicaSetChanged, OfHalfTheCopiesCoversWhatTheOthersLeft) {
  std::set<std::string> told, live;
  for (int rank = 0; rank < 10; ++rank) {
    // Of twenty, the first ten died.
    Copy copy(of_copy(10 + rank, 20), kServers);
    for (const std::string& name : names(copy.send(400))) told.insert(name);
    copy.tell(ReplicaSetChanged{rank, 10, 20, false});
    for (const std::string& name : names(copy.send(800))) live.insert(name);
  }
  EXPECT_LT(told.size(), 30u) << "by the told count servers stay bare";
  EXPECT_EQ(live.size(), static_cast<std::size_t>(kServers));
}

TEST(ReplicaSetChanged, WhileItMovesPartsAreWider) {
  Copy copy(of_copy(2, 8), kServers);
  EXPECT_EQ(names(copy.send(2000)).size(), 10u) << "two copies a server";
  copy.tell(ReplicaSetChanged{2, 8, 8, true});
  EXPECT_EQ(names(copy.send(4000)).size(), 25u) << "five";
  copy.tell(ReplicaSetChanged{2, 8, 8, false});
  EXPECT_EQ(names(copy.send(2000)).size(), 10u);
}

TEST(ReplicaSetChanged, ThatCanNotBeChangesNothing) {
  Copy copy(of_copy(9, 20), kServers);
  const std::set<std::string> before = names(copy.send(400));
  for (const ReplicaSetChanged& wrong :
       {ReplicaSetChanged{-1, 5, 5, false}, ReplicaSetChanged{5, 5, 5, false},
        ReplicaSetChanged{0, 0, 0, false}})
    copy.tell(wrong);
  EXPECT_EQ(names(copy.send(400)), before);
}

TEST(ReplicaSetChanged, AddsNoServerAndLiftsNoDrain) {
  Copy copy(of_copy(1, 4), 6);
  EndpointUpdate drain;
  drain.form = EndpointUpdate::Form::kDelta;
  drain.endpoints = list_of(3, EndpointState::kDraining).endpoints;
  copy.tell(drain);
  copy.tell(ReplicaSetChanged{0, 1, 1, true});
  for (const std::string& name : names(copy.send(500)))
    EXPECT_TRUE(name == "s3" || name == "s4" || name == "s5") << name;
}

TEST(ReplicaSetChanged, MovesTheCopysPartOfAnAllowance) {
  Settings s = of_copy(0, 4);
  s.tenants.push_back({400.0});
  Copy copy(s, kServers);
  const double before = copy.tenant().rate_limit;
  ASSERT_GT(before, 0);
  copy.tell(ReplicaSetChanged{0, 2, 4, false});
  EXPECT_NEAR(copy.tenant().rate_limit, 2 * before, 1e-9) << "half of them live: twice the part";
  copy.tell(ReplicaSetChanged{0, 4, 4, false});
  EXPECT_NEAR(copy.tenant().rate_limit, before, 1e-9);
}

}  // namespace
}  // namespace thymewood
