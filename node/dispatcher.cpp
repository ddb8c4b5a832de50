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

// s. An older list is refreshed before the next send: after a pause of the process a drain may have been sent
// but not read. Settings may allow no time for a notification, and the protocol adds 50 ms.
constexpr double kMaxListAge = 0.02;
// s; mean backoff of a broken watch where lists are pushed. The local agent's list counts as notified whether
// or not a watch is open, and the agent responds at once.
constexpr double kPushReconnectBackoff = 0.05;
// s; for the agent's first list, which counts as notified from the start. The agent responds at once, unless
// discovery is down, and then there is no newer list than the known one.
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
      busy_retry_after_(settings.max_retry_after / 2),
      jitter_(static_cast<std::minstd_rand::result_type>(seed)) {
  for (const RequestClass& request_class : settings.classes)
    idempotency_by_class_.push_back(request_class.idempotency);
}

bool Dispatcher::can_serve() const {
  return ready_servers_ > 0 && !is_awaiting_first_list_ && !(isolation_ && isolation_->is_isolated());
}

// ---------------------------------------------------------------- start

void Dispatcher::start(const EndpointList& known) {
  if (!known.endpoints.empty()) on_endpoints(known);
  // A change that discovery has from now on counts as notified no sooner than one that an open watch missed.
  on_list_stale(clock_.now());
  post_event(Started{});
  if (uses_watch_) return;
  is_awaiting_first_list_ = true;
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(kFirstListTimeout));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) on_first_list();
  });
  endpoint_watch_.watch();
}

// The first list has come, or is not waited for any longer.
void Dispatcher::on_first_list() {
  if (!std::exchange(is_awaiting_first_list_, false)) return;
  for (Request& event : std::exchange(deferred_requests_, {})) {
    const PendingRequest* const request = requests_.find_unanswered(event.id);
    if (request == nullptr) continue;
    event.time_left = std::max(0.0, request->attempts_end - clock_.now());
    post_event(std::move(event));
  }
  for (const std::function<void()>& callback : std::exchange(first_list_callbacks_, {})) callback();
}

// ---------------------------------------------------------------- requests

void Dispatcher::submit(Request event, std::shared_ptr<const HttpRequest> message, ResponseHandler handler) {
  const double now = clock_.now();
  event.time_left = std::min(event.time_left, latest_response_ - now);
  if (event.time_left <= 0 || requests_.size() >= max_pending_requests_ ||
      (isolation_ && isolation_->should_reject(now))) {
    return handler.on_response({FinalResponse::Kind::kRejected, busy_retry_after_, {}});
  }
  PendingRequest& request =
      requests_.add(event.id, std::move(message), std::move(handler), now, event.time_left);
  request.can_repeat = event.request_class < idempotency_by_class_.size() &&
                       idempotency_by_class_[event.request_class] != Idempotency::kNotIdempotent;
  // Deferred here and not in the listen queue, a request is still answered before its client's timeout.
  if (is_awaiting_first_list_) return deferred_requests_.push_back(std::move(event));
  event.time_left = std::max(0.0, request.attempts_end - now);
  post_event(std::move(event));
}

void Dispatcher::limit_deadlines(double latest) {
  latest_response_ = latest;
  requests_.limit_deadlines(latest);
}

void Dispatcher::on_client_disconnected(const std::string& id) {
  PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return;
  requests_.abandon(*request);
  post_event(RequestAbandoned{id});
  requests_.remove_if_settled(id);
}

// The balancer has kept the request for too long, or its timers come late. An attempt that may not be
// cancelled ends by its own timeout.
void Dispatcher::on_deadline(const std::string& id) {
  PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return;
  log_info("request_overdue").with("id", id);
  const bool was_sent = !request->attempts.empty();
  requests_.respond(*request, {was_sent ? FinalResponse::Kind::kFailed : FinalResponse::Kind::kRejected,
                               was_sent ? 0 : busy_retry_after_,
                               {}});
  requests_.withdraw_attempts(*request);
  post_event(RequestAbandoned{id});
  requests_.remove_if_settled(id);
}

// ---------------------------------------------------------------- endpoints and replicas

void Dispatcher::set_ready(const std::string& server, bool is_ready) {
  bool& was_ready = is_ready_[server];
  ready_servers_ += is_ready ? 1 : 0;
  ready_servers_ -= was_ready ? 1 : 0;
  was_ready = is_ready;
}

void Dispatcher::on_endpoints(const EndpointList& update) {
  EndpointUpdate event;
  event.form = update.is_full ? EndpointUpdate::Form::kFull : EndpointUpdate::Form::kDelta;
  for (const ListedEndpoint& listed : update.endpoints) {
    const Endpoint& endpoint = listed.endpoint;
    const bool is_ready = endpoint.state == EndpointState::kReady;
    log_debug("server_listed").with("server", endpoint.address).with("status", log_name(endpoint.state));
    set_ready(endpoint.address, is_ready);
    if (endpoint.state == EndpointState::kRemoved) {
      upstream_.remove_endpoint(endpoint.address);
      is_ready_.erase(endpoint.address);
    } else {
      upstream_.update_endpoint(endpoint.address, listed.socket_address, endpoint.started_at, is_ready);
    }
    event.endpoints.push_back(endpoint);
  }
  if (update.is_full) remove_unlisted(update);
  post_event(std::move(event));
  on_first_list();
}

// A server that a complete list lacks is removed.
void Dispatcher::remove_unlisted(const EndpointList& list) {
  std::unordered_set<std::string> listed;
  for (const ListedEndpoint& entry : list.endpoints) listed.insert(entry.endpoint.address);
  for (auto at = is_ready_.begin(); at != is_ready_.end();) {
    if (listed.contains(at->first)) {
      ++at;
      continue;
    }
    ready_servers_ -= at->second ? 1 : 0;
    upstream_.remove_endpoint(at->first);
    at = is_ready_.erase(at);
  }
}

void Dispatcher::on_list_current() {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kCurrent});
}

void Dispatcher::on_list_stale(double as_of) {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kStale, as_of});
}

void Dispatcher::on_discovery_moved() {
  post_event(EndpointListFreshness{EndpointListFreshness::State::kMoved});
}

void Dispatcher::on_watch_failed(const WatchFailure& failure) {
  post_event(EndpointUpdate{EndpointUpdate::Form::kFailed, {}, failure});
  if (uses_watch_) return;
  // Where lists are pushed the balancer requests no watch: staying connected is left to the node.
  const double backoff = kPushReconnectBackoff * std::uniform_real_distribution<>(0.5, 1.5)(jitter_);
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(backoff));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) endpoint_watch_.watch();
  });
}

void Dispatcher::on_replica_set(const membership::ReplicaSetView& view) {
  if (isolation_) isolation_->on_connectivity(view.connectivity);
  post_event(ReplicaSetChanged{view.rank, view.live_count, view.max_count, view.is_settling});
}

// ---------------------------------------------------------------- events to actions

// The balancer is not reentrant: an event that an action brings about at once waits for its turn.
void Dispatcher::post_event(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(is_dispatching_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    // An exception that got out of here would leave is_dispatching_ set for good.
    try {
      dispatch(next);
    } catch (const std::exception& problem) {
      log_warning("event_failed").with("problem", problem.what());
    }
  }
  is_dispatching_ = false;
}

void Dispatcher::dispatch(const Event& event) {
  std::vector<Action> actions;
  bool has_failed = false;
  try {
    balancer_.handle(clock_.now(), event, actions);
  } catch (const std::exception& problem) {
    // The deadline of each request still applies.
    has_failed = true;
    log_warning("policy_failed").with("problem", problem.what());
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  // A new request that the balancer failed on, and that no attempt was sent for, fails at once.
  const Request* const new_request = has_failed ? std::get_if<Request>(&event) : nullptr;
  if (new_request == nullptr) return;
  const PendingRequest* const pending = requests_.find(new_request->id);
  if (pending != nullptr && !pending->has_open_attempt()) perform(Fail{new_request->id});
}

void Dispatcher::on_attempt_ended(const std::string& id, int attempt, double sent_at, Upstream::End&& end) {
  PendingRequest* const request = requests_.find(id);
  if (request == nullptr) return;
  request->is_attempt_open[static_cast<std::size_t>(attempt)] = false;
  log_debug("attempt_ended")
      .with("id", id)
      .with("attempt", attempt)
      .with("outcome", log_name(end.outcome))
      .with("elapsed", clock_.now() - sent_at);
  // An attempt that was cancelled or never sent says nothing about its server.
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
  // While this process was paused the response was complete but unread: that is not the server's time.
  event.elapsed = std::max(0.0, clock_.now() - sent_at - end.unread);
  event.request_complete = request->is_answered();
  post_event(std::move(event));
  requests_.remove_if_settled(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::perform(const Send& action) {
  PendingRequest* const request = requests_.find(action.id);
  if (request == nullptr) return;
  const int attempt = static_cast<int>(request->attempts.size());
  const double now = clock_.now();
  const double time_left = request->attempts_end - now;
  double timeout = action.timeout == 0 ? time_left : std::min(action.timeout, time_left);
  if (request->is_answered()) timeout = 0;  // ends as not sent
  request->is_attempt_open.push_back(true);
  const double send_by = std::min(timeout, action.send_by - now);
  log_debug("attempt_started")
      .with("id", action.id)
      .with("attempt", attempt)
      .with("server", action.server)
      .with("timeout", timeout);
  request->attempts.push_back(upstream_.start(action.server, request->message, {timeout, send_by},
                                              request->can_repeat,
                                              {[this, id = action.id] { return may_send(id); },
                                               [this, id = action.id, attempt, now](Upstream::End&& end) {
                                                 on_attempt_ended(id, attempt, now, std::move(end));
                                               }}));
}

// Asked right before the first byte of an attempt, which may be long after its start. A refreshed list may
// retire the attempt's server.
bool Dispatcher::may_send(const std::string& id) {
  const double now = clock_.now();
  refresh_list(now);
  const PendingRequest* const request = requests_.find_unanswered(id);
  if (request == nullptr) return false;
  if (now - request->received_at < kLateRead) return true;
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
  requests_.remove_if_settled(action.id);
}

void Dispatcher::perform(const Fail& action) {
  PendingRequest* const request = requests_.find_unanswered(action.id);
  if (request == nullptr) return;
  log_debug("request_failed").with("id", action.id).with("attempts", std::uint64_t{request->attempts.size()});
  requests_.respond(*request, {FinalResponse::Kind::kFailed, 0, {}});
  requests_.remove_if_settled(action.id);
}

void Dispatcher::perform(const Cancel& action) {
  const PendingRequest* const request = requests_.find(action.id);
  if (request == nullptr || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < request->attempts.size()) upstream_.cancel(request->attempts[attempt]);
}

void Dispatcher::perform(const SetTimer& action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, clock_.at(action.at));
  timer->async_wait([this, timer, token = action.token](error_code cancelled) {
    if (!cancelled) post_event(TimerFired{token});
  });
}

void Dispatcher::perform(const WatchEndpoints&) { endpoint_watch_.watch(); }

void Dispatcher::perform(const SheddingReport& action) {
  log_info("requests_shed")
      .with("over_tenant_limit", action.over_tenant_limit)
      .with("no_capacity", action.no_capacity)
      .with("too_little_time", action.too_little_time);
}

}  // namespace thymewood::node
