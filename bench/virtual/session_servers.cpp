// What stands behind the replicas: servers of two tiers, their slots and calls, and what changes.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "session.h"

namespace thymewood::bench {
namespace {

// s; by which the timeout of a call to the second tier is shorter than the time left, for the way back.
constexpr double kCallMargin = 0.02;

}  // namespace

Session::Range Session::servers_of(int tier) const {
  return tier == 0 ? Range{0, first_tier_} : Range{first_tier_, places_.size()};
}

const ScenarioServer& Session::spec(std::size_t server) const {
  return server < first_tier_ ? scenario_.servers[server] : scenario_.backends[server - first_tier_];
}

double Session::mean_work(int tier) const {
  return tier == 0 ? mean_work_ : mean_work_ * scenario_.chain.share / scenario_.chain.calls;
}

// A first-tier server holds its slot over its calls, which take as long as idle backends need.
double Session::capacity() const {
  const auto of = [this](std::size_t i, double work) {
    const Place& p = places_[i];
    return p.up ? models_[i].rate(now_, work) * (1 - p.fails) * (1 - p.mute) : 0;
  };
  double first = 0, second = 0;
  if (scenario_.chain.calls == 0) {
    for (std::size_t i = 0; i < places_.size(); ++i) first += of(i, mean_work_);
    return first;
  }
  const double calls = mean_work_ * scenario_.chain.share;
  double backends = 0, workers = 0;
  for (std::size_t i = first_tier_; i < places_.size(); ++i) {
    second += of(i, calls);
    if (!places_[i].up) continue;
    backends += models_[i].rate(now_, calls);
    workers += std::max(1, spec(i).capacity.workers);
  }
  const double waits = backends > 0 ? workers / backends : 0;
  for (std::size_t i = 0; i < first_tier_; ++i) {
    const double own = of(i, mean_work_ - calls);
    if (own > 0) first += 1 / (1 / own + waits / std::max(1, spec(i).capacity.workers));
  }
  return std::min(first, second);
}

Endpoint Session::endpoint_of(std::size_t at, EndpointState state) const {
  const ScenarioServer& s = spec(at);
  return {"s" + std::to_string(at), s.zone, s.cell, s.weight, places_[at].started, state};
}

// ---------------------------------------------------------------- an attempt at its server

void Session::at_server(std::size_t at) {
  AttemptState& a = attempts_[at];
  Place& place = places_[a.server];
  if (!place.up) return return_result(at, Outcome::kConnectFailed);
  if (place.mute > 0 && random_.unit() < place.mute) return stay_silent(at);
  if (place.fails > 0 && random_.unit() < place.fails) return return_result(at, Outcome::kError);
  const RequestState& r = requests_[a.request];
  const double share = a.server >= first_tier_ ? scenario_.chain.share / scenario_.chain.calls
                       : chained(a.server)     ? 1 - scenario_.chain.share
                                               : 1;
  a.work = scenario_.classes[r.request_class].service.draw(random_) * share;
  const ServerModel& model = models_[a.server];
  rules_.came(now_, a.server, a.work, model.warmth(now_) < 1 ? model.rate(now_, 1) : 0);
  advance_server(a.server);
  if (!chained(a.server)) {
    if (!models_[a.server].arrive(now_, at, a.work)) return return_result(at, Outcome::kRejected);
    return plan(a.server);
  }
  const Capacity& capacity = spec(a.server).capacity;
  if (capacity.workers == 0 || place.slots < capacity.workers) {
    ++place.slots;
    begin_work(at);
  } else if (place.queue.size() < static_cast<std::size_t>(capacity.queue)) {
    place.queue.push_back(at);
  } else {
    return_result(at, Outcome::kRejected);
  }
}

void Session::stay_silent(std::size_t at) {
  attempts_[at].at_end = true;
  places_[attempts_[at].server].out -= 1;
  free_if_over(attempts_[at].request);
}

void Session::begin_work(std::size_t at) {
  const AttemptState& a = attempts_[at];
  models_[a.server].arrive(now_, at, a.work);
  plan(a.server);
}

void Session::give_slot(std::size_t server) {
  Place& place = places_[server];
  if (place.queue.empty()) {
    place.slots -= 1;
    return;
  }
  const std::size_t next = place.queue.front();
  place.queue.pop_front();
  begin_work(next);
}

void Session::advance_server(std::size_t server) {
  std::vector<std::uint64_t> ended;
  models_[server].advance(now_, ended);
  for (const std::uint64_t at : ended) {
    AttemptState& a = attempts_[at];
    report_work(a);
    if (!chained(server)) {
      return_result(at, Outcome::kSuccess);
      continue;
    }
    a.calls = scenario_.chain.calls;
    places_[server].calling.insert(at);
    call_second_tier(at);
  }
  plan(server);
}

void Session::plan(std::size_t server) {
  const std::optional<double> next = models_[server].next();
  if (next) push(std::max(now_, *next), Event::Kind::kServerProgress, server, ++places_[server].generation);
}

void Session::return_result(std::size_t at, Outcome outcome) {
  AttemptState& a = attempts_[at];
  a.outcome = outcome;
  a.at_end = true;
  places_[a.server].out -= 1;
  if (a.ended) return free_if_over(a.request);
  push(now_ + travel(), Event::Kind::kResultReturns, at, a.turn);
}

// ---------------------------------------------------------------- its calls to the second tier

// One call after another, each a new request to the replica beside the server.
void Session::call_second_tier(std::size_t at) {
  const AttemptState& a = attempts_[at];
  if (a.calls == 0) return end_calls(at, Outcome::kSuccess);
  const double left = a.until - kCallMargin - now_;
  if (left <= 0) return end_calls(at, Outcome::kError);
  const int replica = sidecar_of(a.server);
  const RequestState& parent = requests_[a.request];
  RequestState call;
  call.id = parent.id + "." + std::to_string(++begun_);
  call.request_class = parent.request_class;
  call.tenant = parent.tenant;
  call.replica = replica;
  call.due = now_;
  call.first_due = parent.first_due;
  call.until = now_ + left;
  call.parent = at;
  call.parent_turn = a.turn;
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
  places_[server].calling.erase(at);
  return_result(at, outcome);
  give_slot(server);
}

// Whether somebody still waits for what this attempt does.
bool Session::is_awaited(const AttemptState& a) const {
  if (a.ended) return false;
  const RequestState& r = requests_[a.request];
  if (r.over) return false;
  if (r.parent == kNone)
    return now_ + 2 * scenario_.net <=
           r.first_due + scenario_.classes[r.request_class].settings.latency_objective;
  const AttemptState& parent = attempts_[r.parent];
  return parent.turn == r.parent_turn && is_awaited(parent);
}

// Work is spent when it ends, whoever still waits for it.
void Session::report_work(const AttemptState& a) {
  if (!scenario_.counts_at(now_)) return;
  report_.work += a.work;
  if (!is_awaited(a)) report_.wasted += a.work;
}

// ---------------------------------------------------------------- what changes

void Session::change(const Change& c) {
  if (c.what == Change::What::kRestart) return restart(c);
  const std::size_t from = c.backends ? first_tier_ : 0;
  for (std::size_t i = from + c.first; i <= from + c.last; ++i) {
    Place& place = places_[i];
    switch (c.what) {
      case Change::What::kSlow:
        models_[i].slow_down(c.factor);
        break;
      case Change::What::kFail:
        place.fails = c.part;
        break;
      case Change::What::kMute:
        place.mute = c.part;
        break;
      case Change::What::kDrain:
        place.wanted = false;
        break;
      case Change::What::kStop:
        stop_server(i);
        break;
      case Change::What::kStart:
        stop_server(i);
        models_[i].restart(now_);
        place.fails = place.mute = 0;
        place.up = place.wanted = true;
        place.started = now_ > 0 ? now_ : 1e-6;
        if (chained(i) && front_ == Front::kModule) start_replica(sidecar_of(i));
        break;
      case Change::What::kRestart:
        break;
    }
  }
}

void Session::stop_server(std::size_t server) {
  lose_work(server);
  if (chained(server)) end_replica(sidecar_of(server));
  places_[server].up = places_[server].wanted = false;
}

void Session::restart(const Change& c) {
  end_replica(c.replica);
  push(now_ + c.down, Event::Kind::kUp, static_cast<std::size_t>(c.replica));
}

// A process that ends resets what it had.
void Session::lose_work(std::size_t server) {
  Place& place = places_[server];
  std::vector<std::uint64_t> lost = models_[server].take_all();
  lost.insert(lost.end(), place.queue.begin(), place.queue.end());
  lost.insert(lost.end(), place.calling.begin(), place.calling.end());
  std::sort(lost.begin(), lost.end());
  place.queue.clear();
  place.calling.clear();
  place.slots = 0;
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
