#include "rule_monitor.h"

#include <algorithm>
#include <utility>

namespace thymewood::bench {
namespace {

constexpr double kRoundingTolerance = 1e-9;  // s; rounding error of sums of doubles that should be equal

std::uint64_t replica_server_key(int replica, std::size_t server) {
  return (static_cast<std::uint64_t>(replica) << 32) | static_cast<std::uint64_t>(server);
}

}  // namespace

RuleMonitor::RuleMonitor(const Limits& limits, std::vector<RequestClass> classes, std::vector<Place> servers)
    : limits_(limits),
      classes_(std::move(classes)),
      locations_(std::move(servers)),
      recent_work_(locations_.size()) {}

void RuleMonitor::endpoint_notified(double now, int replica, std::size_t server, bool ready) {
  if (ready) {
    not_ready_since_.erase(replica_server_key(replica, server));
  } else {
    not_ready_since_.try_emplace(replica_server_key(replica, server),
                                 now);  // later notifications don't extend the grace period
  }
}

void RuleMonitor::taken(double, const std::string& id, std::size_t request_class, double deadline) {
  open_requests_[id] = {request_class, deadline, true, {}};
}

void RuleMonitor::answered(double now, const std::string& id, Final outcome) {
  const auto at = open_requests_.find(id);
  if (at == open_requests_.end() || !at->second.awaiting_answer)
    return report(now, "one-final-answer", id + " has two answers");
  OpenRequest& request = at->second;
  request.awaiting_answer = false;
  if (now > request.deadline + limits_.slack + kRoundingTolerance)
    report(now, "one-final-answer", id + " was answered after its client's deadline");
  const RequestClass& c = classes_[request.request_class];
  const bool safe_to_repeat =
      c.idempotency == Idempotency::kIdempotent ||
      (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
  const bool may_have_run = std::any_of(request.attempts.begin(), request.attempts.end(),
                                        [](const Attempt& s) { return s.may_have_run; });
  if (outcome == Final::kRejected && !safe_to_repeat && may_have_run)
    report(now, "no-double-effect", id + " was rejected although it may have run");
  erase_if_finished(id);
}

void RuleMonitor::gone(const std::string& id) {
  const auto at = open_requests_.find(id);
  if (at == open_requests_.end()) return;
  at->second.awaiting_answer = false;
  erase_if_finished(id);
}

void RuleMonitor::sent(double now, const std::string& id, int replica, std::size_t server) {
  const auto not_ready = not_ready_since_.find(replica_server_key(replica, server));
  if (not_ready != not_ready_since_.end() && now > not_ready->second + limits_.drain_grace + limits_.slack)
    report(now, "drains-kept",
           id + " went to server " + std::to_string(server) + ", which accepts no new requests");
  const auto at = open_requests_.find(id);
  if (at == open_requests_.end())
    return report(now, "one-final-answer", id + " was sent after it was complete");
  if (!at->second.awaiting_answer) report(now, "one-final-answer", id + " was sent after its answer");
  check_resend(now, id, at->second, server);
  at->second.attempts.push_back({server, now});
}

void RuleMonitor::check_resend(double now, const std::string& id, const OpenRequest& request,
                               std::size_t server) {
  const RequestClass& c = classes_[request.request_class];
  if (c.idempotency == Idempotency::kIdempotent) return;
  for (const Attempt& s : request.attempts) {
    if (!s.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) {
      report(now, "no-double-effect", id + " was sent again although an earlier attempt may have run");
    } else if (now > s.at + c.dedup_window + limits_.slack + kRoundingTolerance) {
      report(now, "no-double-effect", id + " was sent again after its deduplication window");
    } else if ((c.dedup_scope == DedupScope::kZone && locations_[s.server].zone != locations_[server].zone) ||
               (c.dedup_scope == DedupScope::kCell && locations_[s.server].cell != locations_[server].cell)) {
      report(now, "no-double-effect", id + " was sent again to a server outside the scope of its key");
    }
  }
}

void RuleMonitor::ended(const std::string& id, std::size_t attempt, bool may_have_run) {
  const auto at = open_requests_.find(id);
  if (at == open_requests_.end() || attempt >= at->second.attempts.size()) return;
  at->second.attempts[attempt].may_have_run = may_have_run;
  at->second.attempts[attempt].open = false;
  erase_if_finished(id);
}

void RuleMonitor::came(double now, std::size_t server, double work, double rate) {
  RecentWork& a = recent_work_[server];
  if (rate <= 0) {
    a = {};
    return;
  }
  a.arrivals.emplace_back(now, work);
  a.total_work += work;
  while (a.arrivals.front().first <= now - limits_.overload_window) {
    a.total_work -= a.arrivals.front().second;
    a.arrivals.pop_front();
  }
  // A single request may exceed what a cold server can do in the window, so one alone is no violation.
  const bool over =
      a.arrivals.size() > 1 && a.total_work > limits_.overload_factor * rate * limits_.overload_window;
  if (over && !a.overload_reported)
    report(now, "cold-servers", "server " + std::to_string(server) + " was overloaded while cold");
  a.overload_reported = a.overload_reported || over;
}

void RuleMonitor::finish(double now) {
  for (const auto& [id, request] : open_requests_) {
    if (request.awaiting_answer && now > request.deadline + limits_.slack)
      report(now, "one-final-answer", id + " was never answered");
  }
}

void RuleMonitor::erase_if_finished(const std::string& id) {
  const auto at = open_requests_.find(id);
  const std::vector<Attempt>& attempts = at->second.attempts;
  if (at->second.awaiting_answer ||
      std::any_of(attempts.begin(), attempts.end(), [](const Attempt& s) { return s.open; }))
    return;
  open_requests_.erase(at);
}

void RuleMonitor::report(double now, const char* rule, const std::string& message) {
  ++violation_count_;
  if (violations_.size() >= limits_.max_retained_texts) return;
  violations_.push_back(std::string(rule) + ": " + message + ", at " + std::to_string(now) + " s");
}

}  // namespace thymewood::bench
