// The clients of a simulated run: open load, closed loops, floods and retries.
#include <algorithm>

#include "session.h"

namespace thymewood::bench {
namespace {

constexpr double kMinAttemptTime = 0.01;  // s; no attempt starts with less time left

}  // namespace

std::size_t Session::new_request() {
  const std::size_t at = requests_.allocate();
  RequestState& r = requests_[at];
  r.id = "r" + std::to_string(++last_request_id_);
  r.request_class = draw_by_share(random_, scenario_.classes);
  return at;
}

void Session::offer(std::size_t at) {
  RequestState& r = requests_[at];
  r.due = r.first_due = now_;
  ++open_requests_;
  count(r, &Second::offered, &Report::offered, &TenantPart::offered);
  push(now_ + one_way_delay(), Event::Kind::kAtNode, at);
}

int Session::draw_replica() {
  return static_cast<int>(random_.below(static_cast<std::size_t>(scenario_.replicas)));
}

void Session::begin_request(std::size_t client, int replica) {
  const std::size_t at = new_request();
  RequestState& r = requests_[at];
  r.tenant = draw_by_share(random_, scenario_.tenants);
  r.client = client;
  r.replica = replica;
  r.pinned = client != kNone;
  offer(at);
}

void Session::begin_flood(std::size_t which) {
  const Flood& flood = scenario_.floods[which];
  if (now_ > flood.at + flood.lasts || now_ > scenario_.seconds) return;
  const std::size_t at = new_request();
  RequestState& r = requests_[at];
  r.tenant = flood.tenant;
  r.replica = flood.replica >= 0 ? flood.replica : draw_replica();
  r.pinned = flood.replica >= 0;
  offer(at);
}

// The timeout of a client attempt: a share of the class's client timeout, limited to the time left of it.
double Session::attempt_timeout(const RequestState& r) const {
  const double all = scenario_.classes[r.request_class].settings.client_timeout;
  return std::min(scenario_.client_behavior.attempt_share * all, r.first_due + all - r.due);
}

// Schedules another client attempt for a request that was not served; returns false if there is none. Retries
// belong to the original request, so nothing is counted here.
bool Session::schedule_client_retry(const RequestState& r, double response_at, double advised) {
  if (r.client_attempts > scenario_.client_behavior.retries) return false;
  const double retry_at = response_at + std::max(scenario_.client_behavior.wait,
                                                 scenario_.client_behavior.honors_retry_after ? advised : 0);
  if (retry_at + kMinAttemptTime > r.first_due + scenario_.classes[r.request_class].settings.client_timeout)
    return false;
  const std::size_t at = pending_retries_.allocate();
  pending_retries_[at] = r;
  ++open_requests_;
  push(retry_at, Event::Kind::kClientRetries, at);
  return true;
}

void Session::begin_client_retry(std::size_t from) {
  const std::size_t at = requests_.allocate();
  RequestState& r = requests_[at];
  const RequestState previous = pending_retries_[from];
  pending_retries_.release(from);
  r.id = "r" + std::to_string(++last_request_id_);
  r.request_class = previous.request_class;
  r.tenant = previous.tenant;
  r.client = previous.client;
  r.pinned = previous.pinned;
  r.replica = previous.pinned ? previous.replica : draw_replica();
  r.due = now_;
  r.first_due = previous.first_due;
  r.client_attempts = previous.client_attempts + 1;
  push(now_ + one_way_delay(), Event::Kind::kAtNode, at);
}

void Session::complete_for_client(std::size_t at, Final result, double response_at, double retry_after) {
  const RequestState& r = requests_[at];
  if (result != Final::kServed && schedule_client_retry(r, response_at, retry_after)) return;
  if (result == Final::kServed) {
    count(r, &Second::served, &Report::served, &TenantPart::served);
    if (response_at <= r.first_due + scenario_.classes[r.request_class].settings.latency_objective)
      count(r, &Second::in_time, &Report::in_time, &TenantPart::in_time);
    if (scenario_.counts_at(r.first_due)) report_.latency.add(response_at - r.first_due);
  } else if (result == Final::kRejected) {
    count(r, &Second::rejected, &Report::rejected);
    if (r.attempts.empty()) count(r, &Second::shed, &Report::shed);
  } else {
    count(r, &Second::failed, &Report::failed);
  }
  if (r.client == kNone) return;
  const ClosedLoop& group = *closed_loop_clients_[r.client].group;
  const double advised = group.after_refusal < 0 ? retry_after : group.after_refusal;
  push(response_at + (result == Final::kRejected ? advised : group.think) +
           scenario_.net * kNetJitter * random_.unit(),
       Event::Kind::kClientSends, r.client);
}

void Session::count(const RequestState& r, double Second::*second, double Report::*all,
                    double TenantPart::*tenant) {
  const auto at = static_cast<std::size_t>(r.first_due);
  if (at < report_.seconds.size()) report_.seconds[at].*second += 1;
  if (!scenario_.counts_at(r.first_due)) return;
  report_.*all += 1;
  if (tenant != nullptr) report_.tenants[r.tenant].*tenant += 1;
}

}  // namespace thymewood::bench
