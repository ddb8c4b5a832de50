#include "server_checkers.h"

#include <algorithm>

namespace thymewood::fleet {
namespace {

using What = Record::What;

// The zone or cell of a server.
int location_of(const std::vector<int>& locations, const Actor& server) {
  const auto at = static_cast<std::size_t>(server.number);
  return at < locations.size() ? locations[at] : 0;
}

bool may_rerun_anywhere(const RequestClass& c) {
  return c.idempotency == Idempotency::kIdempotent ||
         (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
}

}  // namespace

void DoubleEffectChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kRequestSent) requests_[r.id].request_class = r.request_class;
    if (r.what != What::kServerReceived && r.what != What::kResponse) continue;
    const auto found = requests_.find(r.id);
    if (found == requests_.end()) {
      verdict_.missing_input.push_back(r.id + " reached " + bench::name_of(r.by) + ", but no client sent it");
      continue;
    }
    Request& request = found->second;
    const RequestClass& c = rules_.classes.at(static_cast<std::size_t>(request.request_class));
    if (r.what == What::kResponse) {
      on_response(r, c, request);
    } else {
      on_received(r, c, request);
    }
  }
}

void DoubleEffectChecker::on_response(const Record& response, const RequestClass& c, Request& request) {
  request.answered = std::min(request.answered, response.t);
  const bool rejected = response.status == 429 || response.status == 503;
  if (rejected && !may_rerun_anywhere(c) && !request.runs.empty())
    report(response, "was rejected although it may have run");
}

void DoubleEffectChecker::on_received(const Record& attempt, const RequestClass& c, Request& request) {
  ++verdict_.attempts_received;
  if (attempt.last_byte_sent_at > request.answered + slack_) report(attempt, "was sent after its response");
  if (!attempt.flag) return;  // rejected without having run
  for (const Run& earlier : request.runs) check_rerun(attempt, earlier, c);
  request.runs.push_back({attempt.last_byte_sent_at > 0 ? attempt.last_byte_sent_at : attempt.t, attempt.by});
}

void DoubleEffectChecker::check_rerun(const Record& attempt, const Run& earlier, const RequestClass& c) {
  if (c.idempotency == Idempotency::kNotIdempotent) return report(attempt, "ran twice");
  if (c.idempotency != Idempotency::kIdempotentWithKey) return;
  if (attempt.last_byte_sent_at > earlier.at + c.dedup_window + slack_) {
    report(attempt, "was sent again after its deduplication window");
  } else if (!in_same_scope(earlier.server, attempt.by, c.dedup_scope)) {
    report(attempt, "was sent again to a server outside the scope of its key");
  }
}

bool DoubleEffectChecker::in_same_scope(const Actor& a, const Actor& b, DedupScope scope) const {
  if (scope == DedupScope::kAll) return true;
  const bool backend = b.kind == ActorKind::kBackend;
  const std::vector<int>& locations = scope == DedupScope::kCell
                                          ? (backend ? rules_.backend_cells : rules_.server_cells)
                                          : (backend ? rules_.backend_zones : rules_.server_zones);
  return location_of(locations, a) == location_of(locations, b);
}

void DoubleEffectChecker::report(const Record& at, const std::string& what) {
  verdict_.violations.push_back({"no-double-effect", at.id + " " + what, at.t});
}

void DrainChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kNotified && r.flag) not_ready_since_.erase({r.by, r.to});
    if (r.what == What::kNotified && !r.flag) not_ready_since_.try_emplace({r.by, r.to}, r.t);
    // A restarted node knows only the endpoint list that it is started with.
    if (r.what == What::kDown || r.what == What::kCrash)
      std::erase_if(not_ready_since_, [&](const auto& entry) { return entry.first.first == r.by; });
    if (r.what == What::kServerReceived) on_received(r);
  }
}

void DrainChecker::on_received(const Record& attempt) {
  const auto found = not_ready_since_.find({attempt.to, attempt.by});
  if (found == not_ready_since_.end() || attempt.last_byte_sent_at <= found->second + grace_) return;
  verdict_.violations.push_back({"drains-kept",
                                 attempt.id + " was sent by " + bench::name_of(attempt.to) + " to " +
                                     bench::name_of(attempt.by) + " " +
                                     std::to_string(attempt.last_byte_sent_at - found->second) +
                                     " s after the notification that the server is not ready",
                                 attempt.t});
}

void ColdServerChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kServerReceived) on_received(r);
  }
}

void ColdServerChecker::on_received(const Record& attempt) {
  RecentArrivals& recent = recent_[attempt.by];
  if (attempt.cold_capacity <= 0) {
    recent = {};
    return;
  }
  recent.arrivals.push_back({attempt.t, attempt.work});
  recent.work += attempt.work;
  while (recent.arrivals.front().at <= attempt.t - rules_.fall_s) {
    recent.work -= recent.arrivals.front().work;
    recent.arrivals.pop_front();
  }
  // A single request is no overload: it may be larger than what a cold server can do in a second.
  if (recent.arrivals.size() < 2 ||
      recent.work <= rules_.fall_multiple * attempt.cold_capacity * rules_.fall_s)
    return;
  if (std::exchange(recent.reported, true)) return;
  verdict_.violations.push_back({"cold-servers",
                                 bench::name_of(attempt.by) + " received " + std::to_string(recent.work) +
                                     " s of work from all nodes within a second while its capacity was " +
                                     std::to_string(attempt.cold_capacity),
                                 attempt.t});
}

}  // namespace thymewood::fleet
