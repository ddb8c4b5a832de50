#include "dispatcher.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <unordered_set>
#include <utility>
#include <variant>

#include "event_log.h"
#include "log_names.h"
#include "socket_arrival.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// In seconds. An older list is refreshed before an attempt is sent: after the process was paused, a drain
// notification may have arrived but not been read. Settings may allow no notification delay at all, and the
// protocol adds a tolerance of 50 ms.
constexpr double kMaxListAge = 0.02;
// In seconds; mean reconnect backoff after a failed watch if lists are pushed. The local agent's list counts
// as notified whether or not a watch is open, and the agent responds immediately.
constexpr double kPushReconnectBackoff = 0.05;
// In seconds; timeout for the local agent's first list, which counts as notified from startup. The agent
// responds immediately unless discovery is down, in which case no list newer than the known one exists.
constexpr double kFirstListTimeout = 1.0;

}  // namespace

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
                       std::size_t max_pending_requests, Upstream& upstream, EndpointWatch& endpoint_watch)
    : io_(io),
      clock_(clock),
      balancer_(settings, seed),
      upstream_(upstream),
      endpoint_watch_(endpoint_watch),
      requests_(io, clock, upstream, [this](const std::string& id) { on_deadline(id); }),
      uses_watch_(settings.uses_watch),
      max_pending_requests_(max_pending_requests),
      default_retry_after_(settings.max_retry_after / 2),
      jitter_(static_cast<std::minstd_rand::result_type>(seed)) {
  for (const RequestClass& request_class : settings.classes)
    idempotency_by_class_.push_back(request_class.idempotency);
}

bool Dispatcher::can_serve() const {
  return ready_servers_ > 0 && !is_awaiting_first_list_ && !(isolation_ && isolation_->is_isolated());
}

// ---------------------------------------------------------------- startup

void Dispatcher::start(const EndpointList& known) {
  if (!known.endpoints.empty()) on_endpoints(known);
  // No watch is open yet: a change at discovery from now on counts as notified no earlier than one missed by
  // a watch that fails now.
  on_list_stale(clock_.now());
  post_event(Started{});
  if (uses_watch_) return;
  is_awaiting_first_list_ = true;
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::to_duration(kFirstListTimeout));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) on_first_list();
  });
  endpoint_watch_.watch();
}

// The first list has arrived or its timeout has expired.
void Dispatcher::on_first_list() {
  if (!std::exchange(is_awaiting_first_list_, false)) return;
  for (Request& event : std::exchange(deferred_requests_, {})) {
    const PendingRequest* const request = requests_.find_unanswered(event.id);
    if (request == nullptr) continue;
    event.time_left = std::max(0.0, request->attempts_deadline - clock_.now());
    post_event(std::move(event));
  }
  for (const std::function<void()>& callback : std::exchange(first_list_callbacks_, {})) callback();
}

// ---------------------------------------------------------------- requests

void Dispatcher::submit(Request event, std::shared_ptr<const HttpRequest> message, ResponseHandler handler) {
  const double now = clock_.now();
  event.time_left = std::min(event.time_left, max_deadline_ - now);
  if (event.time_left <= 0 || requests_.size() >= max_pending_requests_ ||
      (isolation_ && isolation_->should_reject(now))) {
    return handler.on_response({FinalResponse::Kind::kRejected, default_retry_after_, {}});
  }
  PendingRequest& request =
      requests_.add(event.id, std::move(message), std::move(handler), now, event.time_left);
  const Idempotency idempotency = event.request_class < idempotency_by_class_.size()
                                      ? idempotency_by_class_[event.request_class]
                                      : Idempotency::kNotIdempotent;
  request.is_retryable = idempotency != Idempotency::kNotIdempotent;
  request.may_run_twice = idempotency == Idempotency::kIdempotent;
  // Deferring the request here rather than in the listen backlog ensures that it is answered before its
  // client's timeout.
  if (is_awaiting_first_list_) return deferred_requests_.push_back(std::move(event));
  event.time_left = std::max(0.0, request.attempts_deadline - now);
  post_event(std::move(event));
}

bool Dispatcher::is_duplicate(const std::string& id) {
  return requests_.contains(id) || abandoned_ids_.contains(id, clock_.now());
}

void Dispatcher::limit_deadlines(double max_deadline) {
  max_deadline_ = max_deadline;
  requests_.limit_deadlines(max_deadline);
}

void Dispatcher::on_client_disconnected(const std::string& id) {
  PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return;
  if (!request->may_run_twice && !request->attempts.empty()) abandoned_ids_.add(id, clock_.now());
  requests_.abandon(*request);
  post_event(RequestAbandoned{id});
  requests_.remove_if_complete(id);
}

// The balancer did not complete the request in time, or its timers fired late. Attempts that may not be
// cancelled end at their own timeouts.
void Dispatcher::on_deadline(const std::string& id) {
  PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return;
  log_info("request_overdue").with("id", id);
  const bool was_sent = !request->attempts.empty();
  requests_.respond(*request, {was_sent ? FinalResponse::Kind::kFailed : FinalResponse::Kind::kRejected,
                               was_sent ? 0 : default_retry_after_,
                               {}});
  requests_.cancel_unsent_attempts(*request);
  post_event(RequestAbandoned{id});
  requests_.remove_if_complete(id);
}

// ---------------------------------------------------------------- endpoints and replicas

void Dispatcher::set_ready(const std::string& server, bool is_ready) {
  bool& was_ready = ready_by_server_[server];
  ready_servers_ += is_ready ? 1 : 0;
  ready_servers_ -= was_ready ? 1 : 0;
  was_ready = is_ready;
}

void Dispatcher::on_endpoints(const EndpointList& listed) {
  const EndpointList update = address_owners_.resolve(listed);
  EndpointUpdate event;
  event.form = update.is_full ? EndpointUpdate::Form::kFull : EndpointUpdate::Form::kDelta;
  for (const ListedEndpoint& entry : update.endpoints) {
    const Endpoint& endpoint = entry.endpoint;
    const bool is_ready = endpoint.state == EndpointState::kReady;
    log_debug("server_listed").with("server", endpoint.address).with("status", log_name(endpoint.state));
    set_ready(endpoint.address, is_ready);
    if (endpoint.state == EndpointState::kRemoved) {
      upstream_.remove_endpoint(endpoint.address);
      ready_by_server_.erase(endpoint.address);
    } else {
      upstream_.update_endpoint(endpoint.address, entry.socket_address, endpoint.started_at, is_ready);
    }
    event.endpoints.push_back(endpoint);
  }
  if (update.is_full) remove_unlisted(update);
  post_event(std::move(event));
  on_first_list();
}

// Removes the servers that are missing from a full list.
void Dispatcher::remove_unlisted(const EndpointList& list) {
  std::unordered_set<std::string> listed;
  for (const ListedEndpoint& entry : list.endpoints) listed.insert(entry.endpoint.address);
  for (auto it = ready_by_server_.begin(); it != ready_by_server_.end();) {
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    ready_servers_ -= it->second ? 1 : 0;
    upstream_.remove_endpoint(it->first);
    it = ready_by_server_.erase(it);
  }
}

void Dispatcher::on_list_current() {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kCurrent});
}

void Dispatcher::on_list_stale(double as_of) {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kStale, as_of});
}

void Dispatcher::on_call_unanswered() {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kCallUnanswered});
}

void Dispatcher::on_endpoints_listed(double as_of, double wait_time) {
  post_event(EndpointsListed{as_of, wait_time});
}

void Dispatcher::on_discovery_moved() {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kDiscoveryMoved});
}

void Dispatcher::on_watch_failed(const WatchFailure& failure) {
  post_event(EndpointUpdate{EndpointUpdate::Form::kFailed, {}, failure});
  if (uses_watch_) return;
  // If lists are pushed, the balancer never requests a watch, so the node reconnects by itself.
  const double backoff = kPushReconnectBackoff * std::uniform_real_distribution<>(0.5, 1.5)(jitter_);
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::to_duration(backoff));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) endpoint_watch_.watch();
  });
}

void Dispatcher::on_replica_set(const membership::ReplicaSetView& view) {
  if (isolation_) isolation_->on_connectivity(view.connectivity);
  post_event(ReplicaSetChanged{view.rank, view.live_count, view.max_count, view.is_settling});
}

// ---------------------------------------------------------------- events to actions

// The balancer is not reentrant: an event posted while an action is performed is queued.
void Dispatcher::post_event(Event event) {
  queued_events_.push_back(std::move(event));
  if (std::exchange(is_dispatching_, true)) return;
  while (!queued_events_.empty()) {
    const Event next = std::move(queued_events_.front());
    queued_events_.pop_front();
    // An escaping exception would leave is_dispatching_ set permanently.
    try {
      dispatch(next);
    } catch (const std::exception& error) {
      log_warning("event_failed").with("problem", error.what());
    }
  }
  is_dispatching_ = false;
}

void Dispatcher::dispatch(const Event& event) {
  std::vector<Action> actions;
  bool has_failed = false;
  try {
    balancer_.handle(clock_.now(), event, actions);
  } catch (const std::exception& error) {
    // The deadline of each pending request still applies.
    has_failed = true;
    log_warning("policy_failed").with("problem", error.what());
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  // Fails a new request immediately if the balancer threw an exception while handling it and no attempt is
  // open.
  const Request* const new_request = has_failed ? std::get_if<Request>(&event) : nullptr;
  if (new_request == nullptr) return;
  const PendingRequest* const pending = requests_.find(new_request->id);
  if (pending != nullptr && !pending->has_open_attempt()) perform(Fail{new_request->id});
}

void Dispatcher::on_attempt_ended(const std::string& id, int attempt, double sent_at,
                                  Upstream::Result&& end) {
  PendingRequest* const request = requests_.find(id);
  if (request == nullptr) return;
  request->is_attempt_open[static_cast<std::size_t>(attempt)] = false;
  log_debug("attempt_ended")
      .with("id", id)
      .with("attempt", attempt)
      .with("outcome", log_name(end.outcome))
      .with("elapsed", clock_.now() - sent_at);
  // A cancelled or unsent attempt gives no information about its server.
  const bool concerns_server = end.outcome != Outcome::kCancelled && end.outcome != Outcome::kNotSent;
  if (isolation_ && concerns_server)
    isolation_->on_attempt_ended(clock_.now(),
                                 end.outcome != Outcome::kConnectFailed && end.outcome != Outcome::kTimedOut);
  if (end.outcome == Outcome::kSuccess && !request->is_answered()) {
    requests_.respond(*request, {FinalResponse::Kind::kFromServer, 0, std::move(end.response)});
  }
  AttemptResult event;
  event.id = id;
  event.attempt = attempt;
  event.outcome = end.outcome;
  // Excludes the time that a complete response stayed unread while this process was paused.
  event.elapsed = std::max(0.0, clock_.now() - sent_at - end.unread_time);
  event.request_complete = request->is_answered();
  post_event(std::move(event));
  requests_.remove_if_complete(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::perform(const Send& action) {
  PendingRequest* const request = requests_.find(action.id);
  if (request == nullptr) return;
  const int attempt = static_cast<int>(request->attempts.size());
  const double now = clock_.now();
  const double time_left = request->attempts_deadline - now;
  double timeout = action.timeout == 0 ? time_left : std::min(action.timeout, time_left);
  if (request->is_answered()) timeout = 0;  // ends with Outcome::kNotSent
  request->is_attempt_open.push_back(true);
  const double send_by = std::min(timeout, action.send_by - now);
  log_debug("attempt_started")
      .with("id", action.id)
      .with("attempt", attempt)
      .with("server", action.server)
      .with("timeout", timeout);
  request->attempts.push_back(upstream_.start(action.server, request->message, {timeout, send_by},
                                              request->is_retryable,
                                              {[this, id = action.id] { return may_send(id); },
                                               [this, id = action.id, attempt, now](Upstream::Result&& end) {
                                                 on_attempt_ended(id, attempt, now, std::move(end));
                                               }}));
}

// Called right before the first byte of an attempt is sent, which can be long after its start. Refreshing the
// list can remove or drain the attempt's server.
bool Dispatcher::may_send(const std::string& id) {
  const double now = clock_.now();
  refresh_list(now);
  const PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return false;
  if (now - request->received_at < kLateReadThreshold) return true;
  const auto is_client_waiting = request->is_client_waiting;
  return (*is_client_waiting)();
}

void Dispatcher::refresh_list(double now) {
  if (now - list_refreshed_at_ < kMaxListAge) return;
  list_refreshed_at_ = now;
  endpoint_watch_.refresh();
}

void Dispatcher::perform(const Reject& action) {
  PendingRequest* const request = requests_.find_unanswered(action.id);
  if (request == nullptr) return;
  log_debug("request_refused")
      .with("id", action.id)
      .with("attempts", std::uint64_t{request->attempts.size()})
      .with("retry_after", action.retry_after);
  requests_.respond(*request, {FinalResponse::Kind::kRejected, action.retry_after, {}});
  requests_.remove_if_complete(action.id);
}

void Dispatcher::perform(const Fail& action) {
  PendingRequest* const request = requests_.find_unanswered(action.id);
  if (request == nullptr) return;
  log_debug("request_failed").with("id", action.id).with("attempts", std::uint64_t{request->attempts.size()});
  requests_.respond(*request, {FinalResponse::Kind::kFailed, 0, {}});
  requests_.remove_if_complete(action.id);
}

void Dispatcher::perform(const Cancel& action) {
  const PendingRequest* const request = requests_.find(action.id);
  if (request == nullptr || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < request->attempts.size()) upstream_.cancel(request->attempts[attempt]);
}

void Dispatcher::perform(const SetTimer& action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, clock_.to_time_point(action.at));
  timer->async_wait([this, timer, token = action.token](error_code cancelled) {
    if (!cancelled) post_event(TimerFired{token});
  });
}

void Dispatcher::perform(const WatchEndpoints&) { endpoint_watch_.watch(); }

void Dispatcher::perform(const ListEndpoints&) { endpoint_watch_.list(); }

void Dispatcher::perform(const SheddingReport& action) {
  log_info("requests_shed")
      .with("over_tenant_limit", action.over_tenant_limit)
      .with("no_capacity", action.no_capacity)
      .with("too_little_time", action.too_little_time);
}

}  // namespace thymewood::node
