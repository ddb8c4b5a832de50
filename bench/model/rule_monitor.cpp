#include "rule_monitor.h"

#include <algorithm>
#include <utility>

namespace thymewood::bench {
namespace {

constexpr double kRounding = 1e-9;  // s; sums of doubles that should be equal

std::uint64_t pair_of(int replica, std::size_t server) {
  return (static_cast<std::uint64_t>(replica) << 32) | static_cast<std::uint64_t>(server);
}

}  // namespace

RuleMonitor::RuleMonitor(const Limits& limits, std::vector<RequestClass> classes, std::vector<Place> servers)
    : limits_(limits), classes_(std::move(classes)), places_(std::move(servers)), arrivals_(places_.size()) {}

void RuleMonitor::endpoint_notified(double now, int replica, std::size_t server, bool wanted) {
  if (wanted) {
    not_ready_since_.erase(pair_of(replica, server));
  } else {
    not_ready_since_.try_emplace(pair_of(replica, server), now);  // the first notification counts
  }
}

void RuleMonitor::taken(double, const std::string& id, std::size_t request_class, double deadline) {
  open_[id] = {request_class, deadline, true, {}};
}

void RuleMonitor::answered(double now, const std::string& id, Final how) {
  const auto at = open_.find(id);
  if (at == open_.end() || !at->second.owed) return report(now, "one-final-answer", id + " has two answers");
  Taken& request = at->second;
  request.owed = false;
  if (now > request.deadline + limits_.slack + kRounding)
    report(now, "one-final-answer", id + " was answered after its client had left");
  const RequestClass& c = classes_[request.request_class];
  const bool harmless =
      c.idempotency == Idempotency::kIdempotent ||
      (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
  const bool may_have_run =
      std::any_of(request.sends.begin(), request.sends.end(), [](const Sent& s) { return s.may_have_run; });
  if (how == Final::kRejected && !harmless && may_have_run)
    report(now, "no-double-effect", id + " was refused though it may have run");
  forget_if_over(id);
}

void RuleMonitor::gone(const std::string& id) {
  const auto at = open_.find(id);
  if (at == open_.end()) return;
  at->second.owed = false;
  forget_if_over(id);
}

void RuleMonitor::sent(double now, const std::string& id, int replica, std::size_t server) {
  const auto unwanted = not_ready_since_.find(pair_of(replica, server));
  if (unwanted != not_ready_since_.end() && now > unwanted->second + limits_.drain_grace + limits_.slack)
    report(now, "drains-kept",
           id + " went to server " + std::to_string(server) + ", which wants nothing new");
  const auto at = open_.find(id);
  if (at == open_.end()) return report(now, "one-final-answer", id + " was sent after all was over");
  if (!at->second.owed) report(now, "one-final-answer", id + " was sent after its answer");
  check_repeat(now, id, at->second, server);
  at->second.sends.push_back({server, now});
}

void RuleMonitor::check_repeat(double now, const std::string& id, const Taken& request, std::size_t server) {
  const RequestClass& c = classes_[request.request_class];
  if (c.idempotency == Idempotency::kIdempotent) return;
  for (const Sent& s : request.sends) {
    if (!s.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) {
      report(now, "no-double-effect", id + " was sent again and may have run before");
    } else if (now > s.at + c.dedup_window + limits_.slack + kRounding) {
      report(now, "no-double-effect", id + " was sent again when its key may be forgotten");
    } else if ((c.dedup_scope == DedupScope::kZone && places_[s.server].zone != places_[server].zone) ||
               (c.dedup_scope == DedupScope::kCell && places_[s.server].cell != places_[server].cell)) {
      report(now, "no-double-effect", id + " was sent again to where its key is not known");
    }
  }
}

void RuleMonitor::ended(const std::string& id, std::size_t attempt, bool may_have_run) {
  const auto at = open_.find(id);
  if (at == open_.end() || attempt >= at->second.sends.size()) return;
  at->second.sends[attempt].may_have_run = may_have_run;
  at->second.sends[attempt].open = false;
  forget_if_over(id);
}

void RuleMonitor::came(double now, std::size_t server, double work, double rate) {
  Arrivals& a = arrivals_[server];
  if (rate <= 0) {
    a = {};
    return;
  }
  a.late.emplace_back(now, work);
  a.sum += work;
  while (a.late.front().first <= now - limits_.fall_s) {
    a.sum -= a.late.front().second;
    a.late.pop_front();
  }
  // One request may be larger than a cold server's second: with it alone there is nothing to blame.
  const bool over = a.late.size() > 1 && a.sum > limits_.fall_multiple * rate * limits_.fall_s;
  if (over && !a.fallen) report(now, "cold-servers", "server " + std::to_string(server) + " was pushed over");
  a.fallen = a.fallen || over;
}

void RuleMonitor::finish(double now) {
  for (const auto& [id, request] : open_) {
    if (request.owed && now > request.deadline + limits_.slack)
      report(now, "one-final-answer", id + " was never answered");
  }
}

void RuleMonitor::forget_if_over(const std::string& id) {
  const auto at = open_.find(id);
  const std::vector<Sent>& sends = at->second.sends;
  if (at->second.owed || std::any_of(sends.begin(), sends.end(), [](const Sent& s) { return s.open; }))
    return;
  open_.erase(at);
}

void RuleMonitor::report(double now, const char* rule, const std::string& what) {
  ++count_;
  if (breaks_.size() >= limits_.max_texts) return;
  breaks_.push_back(std::string(rule) + ": " + what + ", at " + std::to_string(now) + " s");
}

}  // namespace thymewood::bench
