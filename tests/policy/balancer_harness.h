// Test fixtures of the policy tests: settings, endpoint lists, and a replica that keeps its current time and
// returns the actions of each event.
#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "thymewood/balancer.h"

namespace thymewood {

inline RequestClass make_request_class(Idempotency idempotency, DedupScope scope = DedupScope::kCell) {
  RequestClass c;
  c.latency_objective = 2;
  c.client_timeout = 6;
  c.idempotency = idempotency;
  c.dedup_scope = scope;
  c.dedup_window = 4;
  return c;
}

inline Settings basic_settings(RequestClass c = make_request_class(Idempotency::kIdempotent)) {
  Settings s;
  s.classes = {c};
  s.max_attempts = 4;
  s.can_cancel = true;
  s.max_retry_after = 2;
  return s;
}

inline Endpoint make_endpoint(int n, int zone = 0, int cell = 0) {
  Endpoint endpoint;
  endpoint.address = "s" + std::to_string(n);
  endpoint.zone = zone;
  endpoint.cell = cell;
  return endpoint;
}

inline EndpointUpdate make_endpoint_list(int count) {
  EndpointUpdate update;
  for (int i = 0; i < count; ++i) update.endpoints.push_back(make_endpoint(i));
  return update;
}

// Follows the specified table of outcomes and shares no code with the policy's proves_not_processed().
inline bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

struct Replica {
  explicit Replica(const Settings& settings, std::uint64_t seed = 1) : balancer(settings, seed) {}

  std::vector<Action> handle_at(double time, const Event& event) {
    now = time;
    std::vector<Action> out;
    balancer.handle(now, event, out);
    return out;
  }
  std::vector<Action> request(const std::string& id, std::size_t tenant = 0, std::size_t request_class = 0) {
    Request r;
    r.id = id;
    r.tenant = tenant;
    r.request_class = request_class;
    r.time_left = 6;
    return handle_at(now, r);
  }
  std::vector<Action> end_attempt(const std::string& id, Outcome outcome, int attempt = 0,
                                  double elapsed = 0.1) {
    return handle_at(now, AttemptResult{id, attempt, outcome, elapsed, outcome == Outcome::kSuccess});
  }

  Balancer balancer;
  double now = 0;
};

template <typename T>
std::vector<T> actions_of_type(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& a : actions) {
    if (const T* t = std::get_if<T>(&a)) out.push_back(*t);
  }
  return out;
}

inline std::size_t final_answers(const std::vector<Action>& actions) {
  return actions_of_type<Reject>(actions).size() + actions_of_type<Fail>(actions).size();
}

inline constexpr Outcome kFailures[] = {Outcome::kError,         Outcome::kRejected, Outcome::kTimedOut,
                                        Outcome::kConnectFailed, Outcome::kReset,    Outcome::kCancelled,
                                        Outcome::kNotSent,       Outcome::kUnknown};

// The tenant's quota is higher than any test's request rate, so that the tenant limiter denies nothing.
inline Settings settings_with_ample_quota() {
  Settings s = basic_settings();
  s.tenants = {{1000.0}};
  return s;
}

// Sends one request and ends each of its attempts with the outcome that `outcome_of` returns for its server,
// until no attempt follows. Returns the servers of the attempts in order. Successes take 50 ms, other
// outcomes 1 ms.
template <typename OutcomeOf>
std::vector<std::string> run_attempts(Replica& replica, const std::string& id, const OutcomeOf& outcome_of) {
  std::vector<std::string> servers_used;
  for (auto sends = actions_of_type<Send>(replica.request(id)); !sends.empty();) {
    servers_used.push_back(sends[0].server);
    const Outcome outcome = outcome_of(servers_used.back());
    sends = actions_of_type<Send>(replica.end_attempt(id, outcome, static_cast<int>(servers_used.size()) - 1,
                                                      outcome == Outcome::kSuccess ? 0.05 : 0.001));
  }
  return servers_used;
}

}  // namespace thymewood
