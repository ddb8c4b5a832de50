// Event handlers of the Balancer. They define the order of the steps; the policy modules make the decisions
// and own the state.
#include "thymewood/balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "capacity.h"
#include "concurrency_limit.h"
#include "endpoint_lease.h"
#include "idempotency.h"
#include "latency_statistics.h"
#include "pending_requests.h"
#include "random.h"
#include "retry_policy.h"
#include "server_selector.h"
#include "server_table.h"
#include "shedding_statistics.h"
#include "slow_start.h"
#include "subset.h"
#include "tenant_limiter.h"
#include "watch_backoff.h"

namespace thymewood {
namespace {

// Tokens of the timers for the next call to discovery.
constexpr std::uint64_t kWatchTimer = 0, kListTimer = 1;

// Fraction of the requests that are sent although they have too little time left. If all were shed, no
// response would be measured, and a mean latency learned under load could never fall.
constexpr double kTooLittleTimeSampleRate = 0.05;
// Fraction of the latency objective. Only faster responses raise a tenant's limit: slower ones already
// indicate queueing, although they still meet the objective.
constexpr double kFastResponseFraction = 0.6;
// Fractions of the longest Retry-After that clients honor.
constexpr double kMinRetryAfterFraction = 0.375, kRetryAfterJitterFraction = 0.25;
// In seconds. How much earlier replicas count as notified of a change made before discovery's address changed
// than of a change made after that.
constexpr double kDiscoveryMoveLeaseReduction = 2;
// A response must reach the client this many steps of the clock (Settings::clock_granularity) before the
// latency objective or the client timeout of its class, whichever is sooner.
constexpr double kDeadlineMarginSteps = 2;

// Appends the class and the tenant that are used for requests whose class or tenant index is out of range: a
// class that is not idempotent and has no latency objective, and a tenant without a quota.
Settings with_fallback_class_and_tenant(Settings settings) {
  validate(settings);
  settings.classes.emplace_back();
  settings.classes.back().client_timeout = std::numeric_limits<double>::infinity();
  settings.classes.back().latency_objective = std::numeric_limits<double>::infinity();
  settings.tenants.emplace_back();
  return settings;
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(with_fallback_class_and_tenant(settings)),
        random_(seed),
        latency_(settings_.classes),
        limit_(settings_.classes),
        subset_(settings_),
        slow_start_(settings_.slow_start_min_capacity, settings_.slow_start_window),
        lease_(settings_.endpoint_lease, settings_.endpoint_outage_lease),
        watch_backoff_(settings_.poll_interval, settings_.endpoint_outage_lease) {
    for (const Tenant& tenant : settings_.tenants) tenants_.emplace_back(tenant, settings_);
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  std::size_t known_endpoints() const { return servers_.known_count(); }

  TenantLimitView tenant(double now, std::size_t tenant) const {
    return tenants_[std::min(tenant, tenants_.size() - 1)].view(now);
  }

  ConcurrencyLimitView concurrency_limit(double now) const {
    return {limit_.idle_latency(), limit_.response_rate(now), static_cast<double>(servers_.in_flight()),
            capacity_.tier_limit(now), limit_.probed_bound(now)};
  }

 private:
  // ---- lifecycle and discovery

  void on(const Started&) {
    if (settings_.uses_watch) emit(WatchEndpoints{});
  }

  void on(const TimerFired& timer) {
    if (!settings_.uses_watch) return;
    if (timer.token == kWatchTimer) emit(WatchEndpoints{});
    if (timer.token == kListTimer) emit(ListEndpoints{});
  }

  void on(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kFailed) {
      return on_watch_failed(update.failure);
    }
    watch_backoff_.reset();
    servers_.apply(now_, update, random_);
    rebuild_subset();
  }

  void on_watch_failed(const std::optional<WatchFailure>& failure) {
    schedule(watch_backoff_.next_call(failure, lease_.list_valid_until() - now_, random_));
    if (!failure || !failure->had_responded) lease_.on_call_unanswered(now_);
  }

  void on(const EndpointsListed& listed) {
    lease_.mark_list_stale(listed.current_until);
    schedule(
        watch_backoff_.next_call_after_list(listed.wait_time, lease_.list_valid_until() - now_, random_));
  }

  void schedule(const WatchBackoff::NextCall& next) {
    if (!settings_.uses_watch) return;
    emit(SetTimer{now_ + next.delay, next.call == DiscoveryCall::kList ? kListTimer : kWatchTimer});
  }

  void on(const EndpointListFreshness& freshness) {
    switch (freshness.state) {
      case EndpointListFreshness::State::kCurrent:
        watch_backoff_.reset();
        return lease_.mark_list_current();
      case EndpointListFreshness::State::kStale:
        return lease_.mark_list_stale(freshness.current_until);
      case EndpointListFreshness::State::kCallUnanswered:
        return lease_.on_call_unanswered(now_);
      case EndpointListFreshness::State::kDiscoveryMoved:
        watch_backoff_.reset();
        return lease_.on_discovery_moved(now_, kDiscoveryMoveLeaseReduction);
    }
  }

  void on(const ReplicaSetChanged& replicas) {
    if (replicas.rank < 0 || replicas.rank >= replicas.live_count) return;
    const double quota_factor = static_cast<double>(subset_.replica_count()) / replicas.live_count;
    for (TenantLimiter& tenant : tenants_) tenant.scale_quota(quota_factor);
    subset_.set_replicas(replicas);
    rebuild_subset();
  }

  void rebuild_subset() {
    if (subset_.rebuild(servers_)) limit_.reset_probe();
  }

  // ---- requests

  void on(const Request& incoming) {
    if (pending_.contains(incoming.id)) return;  // a repeated id must not get a second final answer
    const std::size_t tenant = std::min(incoming.tenant, tenants_.size() - 1);
    const bool within_quota = tenants_[tenant].is_within_quota(now_);
    if (!tenants_[tenant].admit(now_, random_)) return shed(incoming.id, SheddingReason::kOverTenantLimit);
    const std::size_t request_class = std::min(incoming.request_class, settings_.classes.size() - 1);
    if (has_too_little_time(request_class, incoming.time_left))
      return shed(incoming.id, SheddingReason::kTooLittleTime);
    slow_start_.record_admission(now_);

    PendingRequest& request = pending_.add(incoming.id);
    request.tenant = tenant;
    request.request_class = request_class;
    request.response_deadline = response_deadline(incoming, settings_.classes[request_class]);
    request.within_quota = within_quota;
    if (send(incoming.id, request, false)) return;

    limit_.record_rejection(now_, servers_.in_flight(), settings_.tier == 0, subset_.replicas_per_server());
    tenants_[tenant].record_overload();
    record_shed(SheddingReason::kNoCapacity);
    reject_or_fail(incoming.id, request);
    pending_.remove(incoming.id);
  }

  void on(const ResponseStarted& response) {
    if (PendingRequest* request = pending_.find(response.id)) request->streaming = true;
  }

  void on(const AttemptResult& result) {
    PendingRequest* request = pending_.find(result.id);
    if (request == nullptr) return;
    if (result.attempt < 0 || static_cast<std::size_t>(result.attempt) >= request->attempts.size()) return;
    Attempt& attempt = request->attempts[static_cast<std::size_t>(result.attempt)];
    if (!attempt.in_flight) return;
    attempt.in_flight = false;
    attempt.may_have_run = !proves_not_processed(result.outcome);
    servers_.attempt_ended(attempt.server, attempt.sent_at);
    update_statistics(*request, attempt, result);
    if (result.request_complete && !request->finished) {
      request->finished = true;
      cancel_attempts(result.id, *request);
    }
    if (!request->finished && !request->any_in_flight()) retry_or_finish(*request, result);
    if (request->finished && !request->any_in_flight()) remove_request(result.id);
  }

  void on(const RequestAbandoned& abandoned) {
    PendingRequest* request = pending_.find(abandoned.id);
    if (request == nullptr) return;
    if (!request->finished) cancel_attempts(abandoned.id, *request);
    request->finished = true;
    if (!request->any_in_flight()) remove_request(abandoned.id);
  }

  // ---- attempts and final answers

  // Whether the client times out sooner than requests of its class usually complete. Sending such a request
  // would waste work, and a request that must not run twice would then fail permanently, whereas the client
  // can retry a rejected one. Tiers other than tier 0 send all requests, since a rejection would waste the
  // work of the lower-numbered tiers.
  bool has_too_little_time(std::size_t request_class, double time_left) {
    return settings_.tier == 0 && latency_.usually_exceeds(request_class, time_left) &&
           random_.unit() >= kTooLittleTimeSampleRate;
  }

  // The time at which a response to the request has lost all of its value.
  double response_deadline(const Request& request, const RequestClass& c) const {
    if (c.late_value > 0) return now_ + request.time_left;
    const double latency_objective = std::min(
        c.latency_objective + c.latency_objective_per_work * request.work.value_or(0), c.client_timeout);
    return now_ + std::min(request.time_left,
                           latency_objective - kDeadlineMarginSteps * settings_.clock_granularity);
  }

  // Sends one more attempt if there is time left and a usable server. Returns whether it did.
  [[nodiscard]] bool send(const std::string& id, PendingRequest& request, bool consumes_budget) {
    const double timeout = retries_.attempt_timeout(now_, request);
    if (!(timeout > 0)) return false;
    const std::optional<std::size_t> selected = selector_.select(now_, request);
    if (!selected) return false;
    if (request.attempts.empty()) {
      retries_.on_first_attempt_sent();
    } else {
      retries_.on_retry_sent(consumes_budget);
    }
    Server& server = servers_[*selected];
    slow_start_.consume_token(now_, server.endpoint, server.slow_start);
    servers_.attempt_started(*selected, now_);
    const double send_by = deduplicated_until(settings_.classes[request.request_class], request);
    request.attempts.push_back({*selected, now_, server.endpoint.zone, server.endpoint.cell});
    emit(Send{id, server.endpoint.address, timeout, send_by});
    return true;
  }

  void retry_or_finish(PendingRequest& request, const AttemptResult& result) {
    const bool consumes_budget = RetryPolicy::consumes_budget(result);
    if (retries_.allows_retry(now_, request, consumes_budget) && send(result.id, request, consumes_budget))
      return;
    reject_or_fail(result.id, request);
  }

  // Rejects the request if the client can safely retry it, and fails it otherwise.
  void reject_or_fail(const std::string& id, PendingRequest& request) {
    request.finished = true;
    if (is_client_retry_safe(settings_.classes[request.request_class], request)) {
      emit(Reject{id, retry_after()});
    } else {
      emit(Fail{id});
    }
  }

  void shed(const std::string& id, SheddingReason reason) {
    emit(Reject{id, retry_after()});
    record_shed(reason);
  }

  void record_shed(SheddingReason reason) {
    if (const auto report = shedding_.record(now_, reason)) emit(*report);
  }

  // In seconds. Randomized, since clients that were rejected together would otherwise retry together.
  double retry_after() {
    return settings_.max_retry_after * (kMinRetryAfterFraction + kRetryAfterJitterFraction * random_.unit());
  }

  void cancel_attempts(const std::string& id, const PendingRequest& request) {
    if (!settings_.can_cancel || request.streaming) return;
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
      if (request.attempts[i].in_flight) emit(Cancel{id, static_cast<int>(i)});
    }
  }

  void remove_request(const std::string& id) {
    const PendingRequest removed = pending_.remove(id);
    for (const Attempt& attempt : removed.attempts) servers_.release_reference(attempt.server);
  }

  // ---- statistics of attempt results

  void update_statistics(const PendingRequest& request, const Attempt& attempt, const AttemptResult& result) {
    if (result.outcome == Outcome::kCancelled || result.outcome == Outcome::kNotSent) return;
    const double class_mean = latency_.mean(request.request_class);
    // If the first attempt times out in less than the mean latency, the client's timeout was short, and the
    // server need not be slow. Retries count in any case, since the balancer chose their timeout.
    if (result.outcome == Outcome::kTimedOut && result.attempt == 0 && result.elapsed < class_mean) return;
    Server& server = servers_[attempt.server];
    const bool was_ejected = server.outlier.is_ejected(now_);
    update_server_health(server, attempt, result, class_mean);
    update_latency(server, request.request_class, result, class_mean);
    update_tenant_limit(request, result, was_ejected);
  }

  void update_server_health(Server& server, const Attempt& attempt, const AttemptResult& result,
                            double class_mean) {
    const bool success = result.outcome == Outcome::kSuccess;
    if (success) {
      server.last_answered_sent_at = std::max(server.last_answered_sent_at, attempt.sent_at);
      server.saturated_until = 0;
    }
    if (result.outcome == Outcome::kRejected) {
      server.saturated_until = now_ + class_mean / (server.in_flight + 1);
    } else {
      server.outlier.record(now_, success);
    }
  }

  void update_latency(Server& server, std::size_t request_class, const AttemptResult& result,
                      double class_mean) {
    const bool success = result.outcome == Outcome::kSuccess;
    if (!success && result.outcome != Outcome::kTimedOut) return;
    if (success)
      limit_.record_success(now_, request_class, result.elapsed, servers_.in_flight(),
                            latency_.overall_mean(), server.throughput);
    server.latency.record(now_, class_mean > 0 ? result.elapsed / class_mean : 1);
    latency_.record(now_, request_class, result.elapsed);
    limit_.record_latency(now_, request_class, result.elapsed);
  }

  // Fast responses raise a tenant's limit, signs of overload lower it. Errors are no such sign, since they
  // occur at any load; nor are failures of a server that was already ejected, since they say nothing about
  // the load of the tier.
  void update_tenant_limit(const PendingRequest& request, const AttemptResult& result, bool was_ejected) {
    TenantLimiter& tenant = tenants_[request.tenant];
    if (result.outcome == Outcome::kSuccess) {
      const double latency_objective = settings_.classes[request.request_class].latency_objective;
      if (result.elapsed < kFastResponseFraction * latency_objective)
        tenant.record_success(now_, limit_.unqueued());
      return;
    }
    const bool is_overload = result.outcome == Outcome::kRejected || result.outcome == Outcome::kTimedOut ||
                             result.outcome == Outcome::kConnectFailed;
    if (is_overload && !was_ejected) tenant.record_overload();
  }

  template <typename ActionType>
  void emit(ActionType action) {
    actions_->push_back(std::move(action));
  }

  const Settings settings_;
  Random random_;
  double now_ = 0;                          // time of the event that is being handled
  std::vector<Action>* actions_ = nullptr;  // output of that event

  PendingRequests pending_;
  ServerTable servers_;
  LatencyStatistics latency_;
  ConcurrencyLimit limit_;
  Subset subset_;
  SlowStart slow_start_;
  EndpointLease lease_;
  WatchBackoff watch_backoff_;
  Capacity capacity_{settings_, limit_, servers_, subset_};
  RetryPolicy retries_{settings_, latency_};
  ServerSelector selector_{{settings_, subset_, capacity_, slow_start_, lease_, latency_}, servers_, random_};
  std::vector<TenantLimiter> tenants_;
  SheddingStatistics shedding_;
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t Balancer::known_endpoints() const { return impl_->known_endpoints(); }

TenantLimitView Balancer::tenant(double now, std::size_t tenant) const { return impl_->tenant(now, tenant); }

ConcurrencyLimitView Balancer::concurrency_limit(double now) const { return impl_->concurrency_limit(now); }

}  // namespace thymewood
