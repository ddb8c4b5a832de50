// The servers of both tiers: their slots and calls, and the changes of the scenario.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "session.h"

namespace thymewood::bench {
namespace {

// s; subtracted from the time left to get the timeout of a call to the second tier; leaves time for the
// response.
constexpr double kCallTimeoutMargin = 0.02;

}  // namespace

Session::Range Session::servers_of(int tier) const {
  return tier == 0 ? Range{0, first_tier_} : Range{first_tier_, server_states_.size()};
}

const ScenarioServer& Session::server_config(std::size_t server) const {
  return server < first_tier_ ? scenario_.servers[server] : scenario_.backends[server - first_tier_];
}

double Session::mean_work(int tier) const {
  return tier == 0 ? mean_work_ : mean_work_ * scenario_.chain.share / scenario_.chain.calls;
}

// A first-tier server keeps its slot during its calls; their duration is taken as that at idle backends.
double Session::capacity() const {
  const auto usable_rate = [this](std::size_t i, double work) {
    const ServerState& p = server_states_[i];
    return p.up ? models_[i].rate(now_, work) * (1 - p.failure_share) * (1 - p.silent_share) : 0;
  };
  double first = 0, second = 0;
  if (scenario_.chain.calls == 0) {
    for (std::size_t i = 0; i < server_states_.size(); ++i) first += usable_rate(i, mean_work_);
    return first;
  }
  const double calls = mean_work_ * scenario_.chain.share;
  double backends = 0, workers = 0;
  for (std::size_t i = first_tier_; i < server_states_.size(); ++i) {
    second += usable_rate(i, calls);
    if (!server_states_[i].up) continue;
    backends += models_[i].rate(now_, calls);
    workers += std::max(1, server_config(i).capacity.workers);
  }
  const double call_time = backends > 0 ? workers / backends : 0;
  for (std::size_t i = 0; i < first_tier_; ++i) {
    const double own = usable_rate(i, mean_work_ - calls);
    if (own > 0) first += 1 / (1 / own + call_time / std::max(1, server_config(i).capacity.workers));
  }
  return std::min(first, second);
}

Endpoint Session::endpoint_of(std::size_t at, EndpointState state) const {
  const ScenarioServer& s = server_config(at);
  return {"s" + std::to_string(at), s.zone, s.cell, s.weight, server_states_[at].started, state};
}

// ---------------------------------------------------------------- attempts at servers

void Session::at_server(std::size_t at) {
  AttemptState& a = attempts_[at];
  ServerState& state = server_states_[a.server];
  if (!state.up) return return_result(at, Outcome::kConnectFailed);
  if (state.silent_share > 0 && random_.unit() < state.silent_share) return leave_unanswered(at);
  if (state.failure_share > 0 && random_.unit() < state.failure_share)
    return return_result(at, Outcome::kError);
  const RequestState& r = requests_[a.request];
  const double share = a.server >= first_tier_           ? scenario_.chain.share / scenario_.chain.calls
                       : has_second_tier_calls(a.server) ? 1 - scenario_.chain.share
                                                         : 1;
  a.work = scenario_.classes[r.request_class].service.draw(random_) * share;
  const ServerModel& model = models_[a.server];
  rules_.came(now_, a.server, a.work, model.warmth(now_) < 1 ? model.rate(now_, 1) : 0);
  advance_server(a.server);
  if (!has_second_tier_calls(a.server)) {
    if (!models_[a.server].arrive(now_, at, a.work)) return return_result(at, Outcome::kRejected);
    return schedule_progress(a.server);
  }
  const Capacity& capacity = server_config(a.server).capacity;
  if (capacity.workers == 0 || state.used_slots < capacity.workers) {
    ++state.used_slots;
    begin_work(at);
  } else if (state.queue.size() < static_cast<std::size_t>(capacity.queue)) {
    state.queue.push_back(at);
  } else {
    return_result(at, Outcome::kRejected);
  }
}

void Session::leave_unanswered(std::size_t at) {
  attempts_[at].server_done = true;
  server_states_[attempts_[at].server].in_flight -= 1;
  free_if_finished(attempts_[at].request);
}

void Session::begin_work(std::size_t at) {
  const AttemptState& a = attempts_[at];
  models_[a.server].arrive(now_, at, a.work);
  schedule_progress(a.server);
}

void Session::release_slot(std::size_t server) {
  ServerState& state = server_states_[server];
  if (state.queue.empty()) {
    state.used_slots -= 1;
    return;
  }
  const std::size_t next = state.queue.front();
  state.queue.pop_front();
  begin_work(next);
}

void Session::advance_server(std::size_t server) {
  std::vector<std::uint64_t> ended;
  models_[server].advance(now_, ended);
  for (const std::uint64_t at : ended) {
    AttemptState& a = attempts_[at];
    report_work(a);
    if (!has_second_tier_calls(server)) {
      return_result(at, Outcome::kSuccess);
      continue;
    }
    a.calls = scenario_.chain.calls;
    server_states_[server].calling_attempts.insert(at);
    call_second_tier(at);
  }
  schedule_progress(server);
}

void Session::schedule_progress(std::size_t server) {
  const std::optional<double> next = models_[server].next();
  if (next)
    push(std::max(now_, *next), Event::Kind::kServerProgress, server, ++server_states_[server].generation);
}

void Session::return_result(std::size_t at, Outcome outcome) {
  AttemptState& a = attempts_[at];
  a.outcome = outcome;
  a.server_done = true;
  server_states_[a.server].in_flight -= 1;
  if (a.ended) return free_if_finished(a.request);
  push(now_ + one_way_delay(), Event::Kind::kResultReturns, at, a.generation);
}

// ---------------------------------------------------------------- calls to the second tier

// Calls are sequential; each is a new request to the server's sidecar.
void Session::call_second_tier(std::size_t at) {
  const AttemptState& a = attempts_[at];
  if (a.calls == 0) return end_calls(at, Outcome::kSuccess);
  const double left = a.deadline - kCallTimeoutMargin - now_;
  if (left <= 0) return end_calls(at, Outcome::kError);
  const int replica = sidecar_of(a.server);
  const RequestState& parent = requests_[a.request];
  RequestState call;
  call.id = parent.id + "." + std::to_string(++last_request_id_);
  call.request_class = parent.request_class;
  call.tenant = parent.tenant;
  call.replica = replica;
  call.due = now_;
  call.first_due = parent.first_due;
  call.deadline = now_ + left;
  call.parent = at;
  call.parent_generation = a.generation;
  const std::size_t child = requests_.allocate();
  requests_[child] = std::move(call);
  push(now_, Event::Kind::kAtNode, child);
}

void Session::call_ended(std::size_t at) {
  AttemptState& a = attempts_[at];
  a.calls -= 1;
  if (a.call_served) return call_second_tier(at);
  end_calls(at, Outcome::kError);
}

void Session::end_calls(std::size_t at, Outcome outcome) {
  const std::size_t server = attempts_[at].server;
  server_states_[server].calling_attempts.erase(at);
  return_result(at, outcome);
  release_slot(server);
}

// Whether the result of this attempt can still be used in time.
bool Session::is_awaited(const AttemptState& a) const {
  if (a.ended) return false;
  const RequestState& r = requests_[a.request];
  if (r.finished) return false;
  if (r.parent == kNone)
    return now_ + 2 * scenario_.net <=
           r.first_due + scenario_.classes[r.request_class].settings.latency_objective;
  const AttemptState& parent = attempts_[r.parent];
  return parent.generation == r.parent_generation && is_awaited(parent);
}

// Work counts when it completes, and as wasted if nobody waits for the result any more.
void Session::report_work(const AttemptState& a) {
  if (!scenario_.counts_at(now_)) return;
  report_.work += a.work;
  if (!is_awaited(a)) report_.wasted += a.work;
}

// ---------------------------------------------------------------- changes

void Session::change(const Change& c) {
  if (c.what == Change::What::kRestart) return restart(c);
  const std::size_t from = c.backends ? first_tier_ : 0;
  for (std::size_t i = from + c.first; i <= from + c.last; ++i) {
    ServerState& state = server_states_[i];
    switch (c.what) {
      case Change::What::kSlow:
        models_[i].slow_down(c.factor);
        break;
      case Change::What::kFail:
        state.failure_share = c.part;
        break;
      case Change::What::kMute:
        state.silent_share = c.part;
        break;
      case Change::What::kDrain:
        state.routable = false;
        break;
      case Change::What::kStop:
        stop_server(i);
        break;
      case Change::What::kStart:
        stop_server(i);
        models_[i].restart(now_);
        state.failure_share = state.silent_share = 0;
        state.up = state.routable = true;
        state.started = now_ > 0 ? now_ : 1e-6;
        if (has_second_tier_calls(i) && front_ == Front::kModule) start_replica(sidecar_of(i));
        break;
      case Change::What::kRestart:
        break;
    }
  }
}

void Session::stop_server(std::size_t server) {
  reset_requests(server);
  if (has_second_tier_calls(server)) end_replica(sidecar_of(server));
  server_states_[server].up = server_states_[server].routable = false;
}

void Session::restart(const Change& c) {
  end_replica(c.replica);
  push(now_ + c.down, Event::Kind::kReplicaStart, static_cast<std::size_t>(c.replica));
}

// A server process that ends resets the connections of all its requests.
void Session::reset_requests(std::size_t server) {
  ServerState& state = server_states_[server];
  std::vector<std::uint64_t> lost = models_[server].take_all();
  lost.insert(lost.end(), state.queue.begin(), state.queue.end());
  lost.insert(lost.end(), state.calling_attempts.begin(), state.calling_attempts.end());
  std::sort(lost.begin(), lost.end());
  state.queue.clear();
  state.calling_attempts.clear();
  state.used_slots = 0;
  for (const std::uint64_t at : lost) return_result(at, Outcome::kReset);
}

void Session::notify_change(const Change& c) {
  if (c.what != Change::What::kDrain && c.what != Change::What::kStop && c.what != Change::What::kStart)
    return;
  EndpointUpdate update;
  update.form = EndpointUpdate::Form::kDelta;
  const EndpointState state = c.what == Change::What::kDrain  ? EndpointState::kDraining
                              : c.what == Change::What::kStop ? EndpointState::kRemoved
                                                              : EndpointState::kReady;
  const std::size_t from = c.backends ? first_tier_ : 0;
  for (std::size_t i = from + c.first; i <= from + c.last; ++i)
    update.endpoints.push_back(endpoint_of(i, state));
  const int first = c.backends ? scenario_.replicas : 0;
  const int end = c.backends ? static_cast<int>(replicas_.size()) : scenario_.replicas;
  for (int replica = first; replica < end; ++replica) notify(replica, update);
}

}  // namespace thymewood::bench
