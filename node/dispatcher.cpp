#include "dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <exception>
#include <utility>
#include <variant>

#include "arrival.h"
#include "event_log.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// s. Attempts end this long before the client gives up: for the way that the request has come, a loop that
// runs late on a shared core, and the way of the answer. Danger: an answer that comes too late is a lost
// request; one that this margin cuts off is a late one at best.
constexpr double kMargin = 0.040;
// s. If by then, for whatever reason, there is no answer, the node fails the request itself.
constexpr double kGuardMargin = 0.020;
// Of the time that a client gives, at most: where it waits for 0.1 s, a margin of 0.04 s would be most of
// what is left for the server. The protocol allows an answer to be 0.05 s late.
constexpr double kMarginPart = 0.125;
// s. A list that was brought up to date longer ago is looked at again before the next send. Danger: a node
// that was stopped finds callers' requests and discovery's word side by side, and a drain that was told
// meanwhile counts.
// Settings may give no grace at all, and the protocol allows 50 ms beside it. Where nothing has come, a look
// is one system call.
constexpr double kListAge = 0.02;
// s; mean wait before a broken watch is made anew, where lists are pushed. Danger: what the agent on this
// machine has counts as told whether or not a watch is open, and a grace may be a fraction of a second. It
// answers at once and at no cost.
constexpr double kReconnect = 0.05;
// s; for the agent's first list. Danger: what it has counts as told from the first moment of a new process,
// which knows the list of the one before it. The agent answers at once, but not while discovery is down, and
// then no list is newer than the one that is known.
constexpr double kFirstList = 1.0;

const char* name_of(Outcome outcome) {
  switch (outcome) {
    case Outcome::kSuccess:
      return "delivered";
    case Outcome::kError:
      return "error";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kTimedOut:
      return "timed_out";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not_sent";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

const char* name_of(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return "up";
    case EndpointState::kDraining:
      return "draining";
    case EndpointState::kRemoved:
      break;
  }
  return "removed";
}

}  // namespace

bool Dispatcher::Held::any_open() const { return std::find(open.begin(), open.end(), true) != open.end(); }

Dispatcher::Dispatcher(asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
                       std::size_t max_open, Upstream& upstream, List list)
    : io_(io),
      clock_(clock),
      balancer_(settings, seed),
      must_watch_(settings.uses_watch),
      jitter_(static_cast<std::minstd_rand::result_type>(seed)),
      max_open_(max_open),
      busy_retry_after_(settings.max_retry_after / 2),
      upstream_(upstream),
      list_(std::move(list)) {
  for (const RequestClass& c : settings.classes) effects_.push_back(c.idempotency);
}

void Dispatcher::start(const Membership& known) {
  if (!known.members.empty()) members(known);
  // A change that discovery has from now on counts as notified no sooner than one that an open watch missed.
  list_stale(clock_.now());
  happen(Started{});
  if (must_watch_) return;
  awaits_list_ = true;
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(kFirstList));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) list_arrived();
  });
  list_.watch();
}

void Dispatcher::list_arrived() {
  if (!std::exchange(awaits_list_, false)) return;
  for (Request& request : std::exchange(deferred_, {})) {
    const auto at = held_.find(request.id);
    if (at == held_.end() || at->second.over()) continue;
    request.time_left = std::max(0.0, at->second.until - clock_.now());
    happen(std::move(request));
  }
  for (const std::function<void()>& then : std::exchange(when_listed_, {})) then();
}

void Dispatcher::take(Request event, std::shared_ptr<const HttpRequest> message, Asker asker) {
  const double now = clock_.now();
  event.time_left = std::min(event.time_left, latest_ - now);
  // Turned away before the module hears of it, as the settings have it.
  if (event.time_left <= 0 || held_.size() >= max_open_ || (isolation_ && isolation_->should_reject(now))) {
    return asker.answer_to({Answer::Kind::kRefused, busy_retry_after_, {}});
  }
  const std::string id = event.id;
  try {
    hold(id, now, event, std::move(message), std::move(asker));
  } catch (...) {
    held_.erase(id);  // without its guard it might never be answered
    throw;
  }
  // Danger: left in the listener's queue until the list is there, it might wait for longer than its client
  // does.
  if (awaits_list_) return deferred_.push_back(std::move(event));
  event.time_left = std::max(0.0, held_.at(id).until - now);
  happen(std::move(event));
}

void Dispatcher::hold(const std::string& id, double now, const Request& event,
                      std::shared_ptr<const HttpRequest> message, Asker asker) {
  Held& held = held_[id];
  held.message = std::move(message);
  held.answer_to = std::move(asker.answer_to);
  held.still_waits = std::make_shared<const std::function<bool()>>(std::move(asker.still_waits));
  held.taken = now;
  held.repeatable =
      event.request_class < effects_.size() && effects_[event.request_class] != Idempotency::kNotIdempotent;
  keep_to(id, held, now + event.time_left);
}

void Dispatcher::keep_to(const std::string& id, Held& held, double deadline) {
  const double now = clock_.now();
  const double margin = std::min(kMargin, kMarginPart * std::max(0.0, deadline - now));
  held.deadline = deadline;
  held.until = deadline - margin;
  held.guard =
      std::make_unique<asio::steady_timer>(io_, clock_.at(deadline - margin * kGuardMargin / kMargin));
  held.guard->async_wait([this, id](error_code cancelled) {
    if (!cancelled) overdue(id);
  });
  for (std::size_t i = 0; i < held.attempts.size(); ++i) {
    if (held.open[i]) upstream_.end_by(held.attempts[i], clock_.at(held.until));
  }
}

void Dispatcher::answer_by(double latest) {
  latest_ = latest;
  for (auto& [id, held] : held_) {
    if (!held.over() && held.deadline > latest) keep_to(id, held, latest);
  }
}

void Dispatcher::client_gone(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return;
  at->second.answer_to = nullptr;
  at->second.guard.reset();
  withdraw(at->second);
  happen(RequestAbandoned{id});
  settle(id);
}

void Dispatcher::members(const Membership& update) {
  EndpointUpdate event;
  event.form = update.full ? EndpointUpdate::Form::kFull : EndpointUpdate::Form::kDelta;
  const auto set_ready = [this](bool& held, bool ready) {
    ready_ += ready ? 1 : 0;
    ready_ -= held ? 1 : 0;
    held = ready;
  };
  std::unordered_map<std::string, bool> listed;
  for (const Member& member : update.members) {
    const Endpoint& server = member.server;
    const bool ready = server.state == EndpointState::kReady;
    log_debug("server_listed").with("server", server.address).with("status", name_of(server.state));
    set_ready(ready_by_name_[server.address], ready);
    if (server.state == EndpointState::kRemoved) {
      upstream_.retire(server.address);
      ready_by_name_.erase(server.address);
    } else {
      upstream_.place(server.address, member.endpoint, server.started_at, ready);
    }
    listed[server.address] = true;
    event.endpoints.push_back(server);
  }
  // What a full list lacks is gone.
  for (auto at = ready_by_name_.begin(); at != ready_by_name_.end();) {
    if (update.full && !listed.contains(at->first)) {
      set_ready(at->second, false);
      upstream_.retire(at->first);
      at = ready_by_name_.erase(at);
    } else {
      ++at;
    }
  }
  happen(std::move(event));
  list_arrived();
}

void Dispatcher::fleet(const membership::ReplicaSetView& view) {
  if (isolation_) isolation_->on_connectivity(view.connectivity);
  happen(ReplicaSetChanged{view.rank, view.live_count, view.max_count, view.is_settling});
}

void Dispatcher::list_current() { happen(EndpointListFreshness{EndpointListFreshness::State::kCurrent}); }

void Dispatcher::list_stale(double as_of) {
  happen(EndpointListFreshness{EndpointListFreshness::State::kStale, as_of});
}

void Dispatcher::discovery_moved() { happen(EndpointListFreshness{EndpointListFreshness::State::kMoved}); }

void Dispatcher::watch_failed(const WatchFailure& failure) {
  happen(EndpointUpdate{EndpointUpdate::Form::kFailed, {}, failure});
  if (must_watch_) return;
  // Where lists are pushed the module asks for none: it is for the node to stay connected.
  const double wait = kReconnect * std::uniform_real_distribution<>(0.5, 1.5)(jitter_);
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(wait));
  timer->async_wait([this, timer](error_code cancelled) {
    if (!cancelled) list_.watch();
  });
}

// ---------------------------------------------------------------- events to actions

// The module is never called from within itself: what an action brings about at once waits its turn.
void Dispatcher::happen(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(handling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    // Danger: an exception that got out of here would leave the module unasked for good.
    try {
      handle(next);
    } catch (const std::exception& problem) {
      log_warning("event_failed").with("problem", problem.what());
    }
  }
  handling_ = false;
}

void Dispatcher::handle(const Event& event) {
  std::vector<Action> actions;
  bool failed = false;
  try {
    balancer_.handle(clock_.now(), event, actions);
  } catch (const std::exception& problem) {
    // The guard of each request still answers it in time.
    failed = true;
    log_warning("policy_failed").with("problem", problem.what());
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { perform(a); }, action);
  }
  // One that it failed over before anything was sent is answered at once.
  const Request* request = failed ? std::get_if<Request>(&event) : nullptr;
  if (request == nullptr) return;
  const auto at = held_.find(request->id);
  if (at != held_.end() && !at->second.any_open()) perform(Fail{request->id});
}

void Dispatcher::attempt_ended(const std::string& id, int attempt, double sent, Upstream::End&& end) {
  const auto at = held_.find(id);
  if (at == held_.end()) return;
  Held& held = at->second;
  held.open[static_cast<std::size_t>(attempt)] = false;
  log_debug("attempt_ended")
      .with("id", id)
      .with("attempt", attempt)
      .with("outcome", name_of(end.outcome))
      .with("elapsed", clock_.now() - sent);
  // Called off or not sent, an attempt says nothing of its server.
  const bool says = end.outcome != Outcome::kCancelled && end.outcome != Outcome::kNotSent;
  if (isolation_ && says)
    isolation_->on_attempt_ended(clock_.now(),
                                 end.outcome != Outcome::kConnectFailed && end.outcome != Outcome::kTimedOut);
  if (end.outcome == Outcome::kSuccess && !held.over()) {
    answer(held, {Answer::Kind::kServed, 0, std::move(end.response)});
  }
  AttemptResult event;
  event.id = id;
  event.attempt = attempt;
  event.outcome = end.outcome;
  // What lay unread while this node was away is not the server's time.
  event.elapsed = std::max(0.0, clock_.now() - sent - end.unread);
  event.request_complete = held.over();
  happen(std::move(event));
  settle(id);
}

// ---------------------------------------------------------------- the final answer

void Dispatcher::answer(Held& held, Answer&& answer) {
  const auto answer_to = std::exchange(held.answer_to, nullptr);
  held.guard.reset();
  answer_to(std::move(answer));
}

// Nobody waits for it any more: what has not been sent whole is not sent. The settings say whether what is
// sent may be called off; this is no such call.
void Dispatcher::withdraw(const Held& held) {
  for (std::size_t i = 0; i < held.attempts.size(); ++i) {
    if (held.open[i]) upstream_.withdraw(held.attempts[i]);
  }
}

// A request stays in the table as long as it owes an answer or has attempts out.
void Dispatcher::settle(const std::string& id) {
  const auto at = held_.find(id);
  if (at != held_.end() && at->second.over() && !at->second.any_open()) held_.erase(at);
}

// Guards against a module that errs or holds on for too long, and against timers that come late.
void Dispatcher::overdue(const std::string& id) {
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return;
  log_info("request_overdue").with("id", id);
  const bool was_sent = !at->second.attempts.empty();
  answer(at->second,
         {was_sent ? Answer::Kind::kFailed : Answer::Kind::kRefused, was_sent ? 0 : busy_retry_after_, {}});
  withdraw(at->second);
  happen(RequestAbandoned{id});
  const auto left = held_.find(id);
  if (left == held_.end()) return;
  // The module cancels what it may; the rest ends by its own time-out, which lies before this guard.
  settle(id);
}

// ---------------------------------------------------------------- actions

void Dispatcher::perform(const Send& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end()) return;
  Held& held = at->second;
  const int attempt = static_cast<int>(held.attempts.size());
  const double now = clock_.now();
  // Without a limit of its own, or with a longer one, an attempt ends with its request.
  const double left = held.until - now;
  double timeout = action.timeout == 0 ? left : std::min(action.timeout, left);
  if (held.over()) timeout = 0;  // danger: a send after the final answer; it never leaves
  held.open.push_back(true);
  const double send_by = std::min(timeout, action.send_by - now);
  log_debug("attempt_started")
      .with("id", action.id)
      .with("attempt", attempt)
      .with("server", action.server)
      .with("timeout", timeout);
  held.attempts.push_back(upstream_.start(action.server, held.message, {timeout, send_by}, held.repeatable,
                                          {[this, id = action.id] { return may_send(id); },
                                           [this, id = action.id, attempt, now](Upstream::End&& end) {
                                             attempt_ended(id, attempt, now, std::move(end));
                                           }}));
}

// Asked right before the first byte of an attempt. It may bring news of the list with it. Danger: the
// caller's connection may by now carry another request of his, for which he does wait.
bool Dispatcher::may_send(const std::string& id) {
  const double now = clock_.now();
  if (now - list_seen_ >= kListAge) {
    list_seen_ = now;
    list_.refresh();
  }
  const auto at = held_.find(id);
  if (at == held_.end() || at->second.over()) return false;
  if (now - at->second.taken < kLateLook) return true;
  const auto still_waits = at->second.still_waits;
  return (*still_waits)();
}

void Dispatcher::perform(const Reject& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.over()) return;
  log_debug("request_refused")
      .with("id", action.id)
      .with("attempts", std::uint64_t{at->second.attempts.size()})
      .with("retry_after", action.retry_after);
  answer(at->second, {Answer::Kind::kRefused, action.retry_after, {}});
  settle(action.id);
}

void Dispatcher::perform(const Fail& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || at->second.over()) return;
  log_debug("request_failed")
      .with("id", action.id)
      .with("attempts", std::uint64_t{at->second.attempts.size()});
  answer(at->second, {Answer::Kind::kFailed, 0, {}});
  settle(action.id);
}

void Dispatcher::perform(const Cancel& action) {
  const auto at = held_.find(action.id);
  if (at == held_.end() || action.attempt < 0) return;
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (attempt < at->second.attempts.size()) upstream_.cancel(at->second.attempts[attempt]);
}

void Dispatcher::perform(const SetTimer& action) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, clock_.at(action.at));
  timer->async_wait([this, timer, token = action.token](error_code cancelled) {
    if (!cancelled) happen(TimerFired{token});
  });
}

void Dispatcher::perform(const WatchEndpoints&) { list_.watch(); }

void Dispatcher::perform(const SheddingReport& action) {
  log_info("requests_shed")
      .with("over_tenant_limit", action.over_tenant_limit)
      .with("no_capacity", action.no_capacity)
      .with("too_little_time", action.too_little_time);
}

}  // namespace thymewood::node
