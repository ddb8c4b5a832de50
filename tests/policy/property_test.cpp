// Checks the rules of the protocol under long, seeded random sequences of events with many settings. The
// model that checks them shares no code with the policy.
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
  bool may_have_run = true;  // false once an outcome proves that it did not run
};

struct TrackedRequest {
  std::size_t request_class = 0;
  double timeout_at = 0;  // time of the client timeout
  std::vector<SentAttempt> sent;
  bool finished = false;  // it has its final answer, or its client has disconnected
};

// Acts as the host: records the events that it passes to the balancer and the actions that it receives.
class RuleChecker {
 public:
  RuleChecker(const Settings& settings, std::uint64_t seed)
      : settings_(settings), replica_(settings, seed), rng_(seed) {}

  void run(int steps) {
    notify({EndpointUpdate::Form::kFull, random_endpoints()});
    for (int i = 0; i < steps && !testing::Test::HasFailure(); ++i) {
      // Mostly small steps, with an occasional long pause.
      now_ += random_below(20) == 0 ? 5.0 * random_fraction() : 0.02 * random_fraction();
      time_out_attempts();
      random_event(i);
    }
    now_ += 100;
    time_out_attempts();
    for (const auto& [id, request] : requests_) {
      EXPECT_TRUE(request.finished) << id << " has no final answer";
    }
  }

 private:
  int random_below(int bound) { return static_cast<int>(rng_() % static_cast<unsigned>(bound)); }
  double random_fraction() { return static_cast<double>(random_below(1000)) / 1000; }

  std::vector<Endpoint> random_endpoints() {
    std::vector<Endpoint> out;
    for (int i = 0; i < 12; ++i) {
      if (random_below(4) == 0) continue;
      Endpoint s = make_endpoint(i, i % 2, i / 3);
      if (random_below(3) == 0) s.started_at = now_ - random_fraction();
      s.state = static_cast<EndpointState>(random_below(5) < 3 ? 0 : random_below(3));
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
    check(replica_.handle_at(now_, update));
  }

  // Times out all attempts in flight of requests that have reached their client timeout.
  void time_out_attempts() {
    for (auto& [id, request] : requests_) {
      if (now_ < request.timeout_at) continue;
      for (std::size_t i = 0; i < request.sent.size(); ++i) {
        if (request.sent[i].in_flight) end(id, request, i, Outcome::kTimedOut);
      }
    }
  }

  void end(const std::string& id, TrackedRequest& request, std::size_t attempt, Outcome outcome) {
    SentAttempt& sent = request.sent[attempt];
    sent.in_flight = false;
    sent.may_have_run = !proves_not_run(outcome);
    if (outcome == Outcome::kSuccess) request.finished = true;
    const AttemptResult result{id, static_cast<int>(attempt), outcome, now_ - sent.at, request.finished};
    check(replica_.handle_at(now_, result));
    if (random_below(8) != 0) return;
    EXPECT_TRUE(replica_.handle_at(now_, result).empty()) << "a repeated outcome must have no effect";
  }

  void random_event(int i) {
    const int kind = random_below(10);
    if (kind < 4) {
      const std::string id = "r" + std::to_string(i);
      TrackedRequest& request = requests_[id];
      request.request_class =
          static_cast<std::size_t>(random_below(static_cast<int>(settings_.classes.size())));
      const double time_left = random_below(30) == 0 ? 0 : 6 * random_fraction();
      request.timeout_at = now_ + time_left;
      Request r;
      r.id = id;
      r.request_class = request.request_class;
      r.tenant = static_cast<std::size_t>(random_below(3));
      r.time_left = time_left;
      check(replica_.handle_at(now_, r));
      EXPECT_TRUE(request.finished || any_in_flight(request))
          << id << " is pending without an attempt in flight";
    } else if (kind < 8) {
      end_random_attempt();
    } else if (kind == 8 && !requests_.empty()) {
      auto it = requests_.lower_bound("r" + std::to_string(random_below(std::max(1, i))));
      if (it == requests_.end() || it->second.finished) return;
      it->second.finished = true;  // the client disconnected
      check(replica_.handle_at(now_, RequestAbandoned{it->first}));
    } else if (random_below(4) == 0) {
      const int form = random_below(3);
      notify({static_cast<EndpointUpdate::Form>(form),
              form == 2 ? std::vector<Endpoint>() : random_endpoints()});
    } else {
      check(replica_.handle_at(now_, TimerFired{static_cast<std::uint64_t>(random_below(3))}));
    }
  }

  void end_random_attempt() {
    std::vector<std::pair<std::string, std::size_t>> in_flight;
    for (const auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.sent.size(); ++i) {
        if (request.sent[i].in_flight) in_flight.emplace_back(id, i);
      }
    }
    if (in_flight.empty()) return;
    const auto& [id, attempt] =
        in_flight[static_cast<std::size_t>(random_below(static_cast<int>(in_flight.size())))];
    end(id, requests_[id], attempt,
        random_below(2) == 0 ? Outcome::kSuccess : static_cast<Outcome>(random_below(9)));
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
    EXPECT_FALSE(request.finished) << id << " has two final answers";
    request.finished = true;
    const RequestClass& c = settings_.classes[request.request_class];
    const bool client_retry_is_safe =
        c.idempotency == Idempotency::kIdempotent ||
        (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
    if (!rejected || client_retry_is_safe) return;
    for (const SentAttempt& sent : request.sent)
      EXPECT_FALSE(sent.may_have_run) << id << " was rejected, but an attempt may have run";
  }

  void check_send(const Send& send) {
    TrackedRequest& request = requests_.at(send.id);
    EXPECT_FALSE(request.finished) << send.id << " was sent after its final answer";
    EXPECT_TRUE(usable_[send.server]) << send.server << " is draining, removed or unknown";
    EXPECT_GT(send.timeout, 0);
    EXPECT_LE(now_ + send.timeout, request.timeout_at + 1e-9) << "the attempt outlasts the client timeout";
    EXPECT_LT(request.sent.size(), static_cast<std::size_t>(settings_.max_attempts));
    const RequestClass& c = settings_.classes[request.request_class];
    for (const SentAttempt& earlier : request.sent) {
      EXPECT_TRUE(settings_.can_hedge || !earlier.in_flight) << send.id << " has two attempts in flight";
      if (c.idempotency == Idempotency::kIdempotent || !earlier.may_have_run) continue;
      EXPECT_NE(c.idempotency, Idempotency::kNotIdempotent) << send.id << " may run twice";
      EXPECT_LE(now_, earlier.at + c.dedup_window) << send.id << " was sent after the dedup window";
      const Endpoint& earlier_endpoint = listed_[earlier.server];
      const Endpoint& endpoint = listed_[send.server];
      EXPECT_TRUE(c.dedup_scope != DedupScope::kZone || earlier_endpoint.zone == endpoint.zone)
          << "a server of another zone does not deduplicate it";
      EXPECT_TRUE(c.dedup_scope != DedupScope::kCell || earlier_endpoint.cell == endpoint.cell)
          << "a server of another cell does not deduplicate it";
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
    const auto random_below = [&](int bound) {
      return static_cast<int>(rng() % static_cast<unsigned>(bound));
    };
    Settings s = basic_settings();
    s.classes = {
        make_request_class(Idempotency::kIdempotent),
        make_request_class(Idempotency::kIdempotentWithKey, static_cast<DedupScope>(random_below(3))),
        make_request_class(Idempotency::kNotIdempotent)};
    for (RequestClass& c : s.classes) {
      c.late_value = random_below(2) * 0.5;
      c.dedup_window = 0.5 + random_below(8);
    }
    s.replica_count = 1 + random_below(400);
    s.replica_index = random_below(s.replica_count);
    s.tier = random_below(3);
    s.max_attempts = 1 + random_below(5);
    s.can_cancel = random_below(2) == 0;
    s.uses_watch = random_below(2) == 0;
    s.slow_start_min_capacity = 0.2;
    s.slow_start_window = random_below(10);
    s.cross_zone_cost = random_below(2) * 0.01;
    s.tenants = {{1.0 + random_below(3000)}, {}};
    SCOPED_TRACE("seed " + std::to_string(seed));
    RuleChecker(s, seed).run(1500);
  }
}

}  // namespace
}  // namespace thymewood
