// The rules under random events: long seeded sequences over many settings, checked by a model that is written
// from the protocol and shares nothing with the policy.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>

#include "balancer_harness.h"

namespace thymewood {
namespace {

struct SentAttempt {
  std::string server;
  double at = 0;
  bool in_flight = true;
  bool may_have_run = true;  // until an outcome proves that it did not
};

struct TrackedRequest {
  std::size_t request_class = 0;
  double due = 0;  // the client timeout
  std::vector<SentAttempt> sent;
  bool concluded = false;  // the request has its final answer, or its client has left
};

// Plays the host: it knows the events it has sent and the actions it was asked for.
class RuleChecker {
 public:
  RuleChecker(const Settings& settings, std::uint64_t seed)
      : settings_(settings), replica_(settings, seed), rng_(seed) {}

  void play(int steps) {
    notify({EndpointUpdate::Form::kFull, some_servers()});
    for (int i = 0; i < steps && !testing::Test::HasFailure(); ++i) {
      now_ += roll(20) == 0 ? 5.0 * fraction() : 0.02 * fraction();  // mostly steady, sometimes a jump
      expire();
      step(i);
    }
    now_ += 100;
    expire();
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.concluded) << id << " never got a final answer";
    }
  }

 private:
  int roll(int sides) { return static_cast<int>(rng_() % static_cast<unsigned>(sides)); }
  double fraction() { return static_cast<double>(roll(1000)) / 1000; }

  std::vector<Endpoint> some_servers() {
    std::vector<Endpoint> out;
    for (int i = 0; i < 12; ++i) {
      if (roll(4) == 0) continue;
      Endpoint s = server(i, i % 2, i / 3);
      if (roll(3) == 0) s.started_at = now_ - fraction();
      s.state = static_cast<EndpointState>(roll(5) < 3 ? 0 : roll(3));
      out.push_back(s);
    }
    return out;
  }

  void notify(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kFull) usable_.clear();
    for (const Endpoint& s : update.endpoints) {
      listed_[s.address] = s;
      usable_[s.address] = s.state == EndpointState::kReady;
    }
    check(replica_.at(now_, update));
  }

  // Ends what runs out of time: a time-out for each attempt in flight.
  void expire() {
    for (auto& [id, request] : requests_) {
      if (now_ < request.due) continue;
      for (std::size_t i = 0; i < request.sent.size(); ++i) {
        if (request.sent[i].in_flight) end(id, request, i, Outcome::kTimedOut);
      }
    }
  }

  void end(const std::string& id, TrackedRequest& request, std::size_t attempt, Outcome outcome) {
    SentAttempt& sent = request.sent[attempt];
    sent.in_flight = false;
    sent.may_have_run = !proves_not_run(outcome);
    if (outcome == Outcome::kSuccess) request.concluded = true;
    const AttemptResult result{id, static_cast<int>(attempt), outcome, now_ - sent.at, request.concluded};
    check(replica_.at(now_, result));
    if (roll(8) != 0) return;
    EXPECT_TRUE(replica_.at(now_, result).empty()) << "the same outcome twice";
  }

  void step(int i) {
    const int what = roll(10);
    if (what < 4) {
      const std::string id = "r" + std::to_string(i);
      TrackedRequest& request = requests_[id];
      request.request_class = static_cast<std::size_t>(roll(static_cast<int>(settings_.classes.size())));
      const double left = roll(30) == 0 ? 0 : 6 * fraction();
      request.due = now_ + left;
      Request r;
      r.id = id;
      r.request_class = request.request_class;
      r.tenant = static_cast<std::size_t>(roll(3));
      r.time_left = left;
      check(replica_.at(now_, r));
      EXPECT_TRUE(request.concluded || any_in_flight(request))
          << id << " is pending without an attempt in flight";
    } else if (what < 8) {
      end_some();
    } else if (what == 8 && !requests_.empty()) {
      auto it = requests_.lower_bound("r" + std::to_string(roll(std::max(1, i))));
      if (it == requests_.end() || it->second.concluded) return;
      it->second.concluded = true;  // the client left
      check(replica_.at(now_, RequestAbandoned{it->first}));
    } else if (roll(4) == 0) {
      const int form = roll(3);
      notify({static_cast<EndpointUpdate::Form>(form), form == 2 ? std::vector<Endpoint>() : some_servers()});
    } else {
      check(replica_.at(now_, TimerFired{static_cast<std::uint64_t>(roll(3))}));
    }
  }

  void end_some() {
    std::vector<std::pair<std::string, std::size_t>> open;
    for (const auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.sent.size(); ++i) {
        if (request.sent[i].in_flight) open.emplace_back(id, i);
      }
    }
    if (open.empty()) return;
    const auto& [id, attempt] = open[static_cast<std::size_t>(roll(static_cast<int>(open.size())))];
    end(id, requests_[id], attempt, roll(2) == 0 ? Outcome::kSuccess : static_cast<Outcome>(roll(9)));
  }

  static bool any_in_flight(const TrackedRequest& request) {
    for (const SentAttempt& sent : request.sent) {
      if (sent.in_flight) return true;
    }
    return false;
  }

  void check(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) check_send(*send);
      if (const auto* reject = std::get_if<Reject>(&action)) check_final(reject->id, true);
      if (const auto* fail = std::get_if<Fail>(&action)) check_final(fail->id, false);
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        EXPECT_TRUE(settings_.can_cancel);
        EXPECT_LT(static_cast<std::size_t>(cancel->attempt), requests_[cancel->id].sent.size());
      }
    }
  }

  void check_final(const std::string& id, bool rejected) {
    TrackedRequest& request = requests_.at(id);
    EXPECT_FALSE(request.concluded) << id << " got two final answers";
    request.concluded = true;
    const RequestClass& c = settings_.classes[request.request_class];
    const bool harmless =
        c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
    if (!rejected || harmless) return;
    for (const SentAttempt& sent : request.sent)
      EXPECT_FALSE(sent.may_have_run) << id << " rejected, but it may have run";
  }

  void check_send(const Send& send) {
    TrackedRequest& request = requests_.at(send.id);
    EXPECT_FALSE(request.concluded) << send.id << " sent after its final answer";
    EXPECT_TRUE(usable_[send.server]) << send.server << " is draining, removed or was never listed";
    EXPECT_GT(send.timeout, 0);
    EXPECT_LE(now_ + send.timeout, request.due + 1e-9) << "no time would be left for a final answer";
    EXPECT_LT(request.sent.size(), static_cast<std::size_t>(settings_.max_attempts));
    const RequestClass& c = settings_.classes[request.request_class];
    for (const SentAttempt& before : request.sent) {
      EXPECT_TRUE(settings_.can_hedge || !before.in_flight) << send.id << " has two attempts in flight";
      if (c.idempotency == Idempotency::kIdempotent || !before.may_have_run) continue;
      EXPECT_NE(c.idempotency, Idempotency::kNotIdempotent) << send.id << " may run twice";
      EXPECT_LE(now_, before.at + c.dedup_window) << send.id << " after the dedup window";
      const Endpoint& a = listed_[before.server];
      const Endpoint& b = listed_[send.server];
      EXPECT_TRUE(c.dedup_scope != DedupScope::kZone || a.zone == b.zone) << "another zone may repeat it";
      EXPECT_TRUE(c.dedup_scope != DedupScope::kCell || a.cell == b.cell) << "another cell may repeat it";
    }
    request.sent.push_back({send.server, now_});
  }

  Settings settings_;
  Replica replica_;
  std::mt19937 rng_;
  double now_ = 50;
  std::map<std::string, TrackedRequest> requests_;
  std::map<std::string, Endpoint> listed_;
  std::map<std::string, bool> usable_;
};

TEST(Property, RulesHoldUnderRandomEvents) {
  for (unsigned seed = 1; seed <= 120 && !HasFailure(); ++seed) {
    std::mt19937 rng(seed);
    const auto roll = [&](int sides) { return static_cast<int>(rng() % static_cast<unsigned>(sides)); };
    Settings s = basic_settings();
    s.classes = {class_of(Idempotency::kIdempotent),
                 class_of(Idempotency::kIdempotentWithKey, static_cast<DedupScope>(roll(3))),
                 class_of(Idempotency::kNotIdempotent)};
    for (RequestClass& c : s.classes) {
      c.late_value = roll(2) * 0.5;
      c.dedup_window = 0.5 + roll(8);
    }
    s.replica_count = 1 + roll(400);
    s.replica_index = roll(s.replica_count);
    s.tier = roll(3);
    s.max_attempts = 1 + roll(5);
    s.can_cancel = roll(2) == 0;
    s.uses_watch = roll(2) == 0;
    s.slow_start_min_capacity = 0.2;
    s.slow_start_window = roll(10);
    s.cross_zone_cost = roll(2) * 0.01;
    s.tenants = {{1.0 + roll(3000)}, {}};
    SCOPED_TRACE("seed " + std::to_string(seed));
    RuleChecker(s, seed).play(1500);
  }
}

}  // namespace
}  // namespace thymewood
