#include "session.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thymewood::bench {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kDrainTime = 60;  // s; after the end of the scenario, for requests still in flight

std::vector<RuleMonitor::Place> locations_of(const Scenario& s) {
  std::vector<RuleMonitor::Place> out;
  for (const ScenarioServer& server : s.servers) out.push_back({server.zone, server.cell});
  for (const ScenarioServer& server : s.backends) out.push_back({server.zone, server.cell});
  return out;
}

std::vector<RequestClass> classes_of(const Scenario& s) {
  std::vector<RequestClass> out;
  for (const LoadClass& c : s.classes) out.push_back(c.settings);
  return out;
}

}  // namespace

Session::Session(const Scenario& scenario, Front front, std::uint64_t seed)
    : scenario_(scenario),
      front_(front),
      random_(seed),
      arrivals_(scenario, seed ^ 0xA11),
      first_tier_(scenario.servers.size()),
      rules_({}, classes_of(scenario), locations_of(scenario)),
      mean_work_(scenario.mean_work()) {}

Report Session::play() {
  report_.seconds.resize(static_cast<std::size_t>(std::ceil(scenario_.seconds)));
  report_.tenants.resize(std::max<std::size_t>(1, scenario_.tenants.size()));
  schedule_initial_events();
  const double end = scenario_.seconds + kDrainTime;
  while (!events_.empty() && events_.next_at() <= end) {
    const Event event = events_.pop();
    now_ = event.at;
    // Periodic timers never stop: the run is over when all requests have their results.
    if (now_ > scenario_.seconds && open_requests_ == 0) break;
    dispatch(event);
  }
  rules_.finish(kForever);
  report_.violation_count = rules_.broken();
  report_.violations = rules_.breaks();
  return std::move(report_);
}

void Session::schedule_initial_events() {
  for (std::size_t i = 0; i < scenario_.servers.size() + scenario_.backends.size(); ++i) {
    models_.emplace_back(server_config(i).capacity, -kForever);
    server_states_.emplace_back();
    server_states_.back().up = server_states_.back().routable = server_config(i).up;
  }
  const std::size_t sidecar = scenario_.chain.calls > 0 ? first_tier_ : 0;
  replicas_.resize(static_cast<std::size_t>(scenario_.replicas) + sidecar);
  if (front_ == Front::kModule) {
    for (int replica = 0; replica < scenario_.replicas; ++replica) start_replica(replica);
    for (std::size_t i = 0; i < sidecar; ++i) {
      if (server_states_[i].up) start_replica(sidecar_of(i));
    }
  }
  for (std::size_t i = 0; i < scenario_.changes.size(); ++i)
    push(scenario_.changes[i].at, Event::Kind::kChange, i);
  for (std::size_t i = 0; i < scenario_.floods.size(); ++i)
    push(scenario_.floods[i].at, Event::Kind::kFloodRequest, i, 1);
  const auto seconds = static_cast<std::size_t>(scenario_.seconds);
  for (std::size_t i = 0; i < seconds; ++i) push(static_cast<double>(i + 1), Event::Kind::kSecondEnd, i);
  push(arrivals_.after(0), Event::Kind::kOpenArrival, 0);
  for (const ClosedLoop& group : scenario_.closed_loops) {
    for (int i = 0; i < group.count; ++i) {
      closed_loop_clients_.push_back({&group, i % scenario_.replicas});
      push(group.from + scenario_.net * random_.unit(), Event::Kind::kClientSends,
           closed_loop_clients_.size() - 1);
    }
  }
}

void Session::push(double at, Event::Kind kind, std::size_t index, std::uint64_t tag) {
  events_.push(at, kind, index, tag);
}

double Session::one_way_delay() { return scenario_.net * (1 + kNetJitter * random_.unit()); }

void Session::dispatch(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kOpenArrival:
      begin_request(kNone, draw_replica());
      push(arrivals_.after(now_), Event::Kind::kOpenArrival, 0);
      break;
    case Event::Kind::kClientSends:
      if (now_ < closed_loop_clients_[e.index].group->to && now_ < scenario_.seconds)
        begin_request(e.index, closed_loop_clients_[e.index].replica);
      break;
    case Event::Kind::kFloodRequest:
      if (e.tag == 0) begin_flood(e.index);
      if (now_ < scenario_.floods[e.index].at + scenario_.floods[e.index].lasts)
        push(now_ + random_.exponential(1 / scenario_.floods[e.index].rate), Event::Kind::kFloodRequest,
             e.index);
      break;
    case Event::Kind::kAtNode:
      at_node(e.index);
      break;
    case Event::Kind::kAtServer:
      at_server(e.index);
      break;
    case Event::Kind::kServerProgress:
      if (e.tag == server_states_[e.index].generation) advance_server(e.index);
      break;
    case Event::Kind::kCallEnded:
      if (attempts_[e.index].generation == e.tag && !attempts_[e.index].server_done) call_ended(e.index);
      break;
    case Event::Kind::kResultReturns:
      if (attempts_[e.index].generation == e.tag) attempt_ended(e.index, attempts_[e.index].outcome);
      break;
    case Event::Kind::kTimeout:
      if (attempts_[e.index].generation == e.tag) attempt_ended(e.index, Outcome::kTimedOut);
      break;
    case Event::Kind::kTimer:
      notify(static_cast<int>(e.index), TimerFired{e.tag});
      break;
    case Event::Kind::kChange:
      change(scenario_.changes[e.index]);
      push(now_ + scenario_.changes[e.index].notify_delay, Event::Kind::kNotified, e.index);
      break;
    case Event::Kind::kNotified:
      notify_change(scenario_.changes[e.index]);
      break;
    case Event::Kind::kReplicaStart:
      if (front_ == Front::kModule) start_replica(static_cast<int>(e.index));
      break;
    case Event::Kind::kClientRetries:
      begin_client_retry(e.index);
      break;
    case Event::Kind::kSecondEnd:
      end_second(report_.seconds[e.index]);
      break;
  }
}

void Session::end_second(Second& s) {
  s.capacity = capacity();
  double demand = scenario_.load_at(now_ - 0.5);
  for (const ClosedLoop& group : scenario_.closed_loops) {
    if (now_ > group.from && now_ <= group.to)
      demand += group.count / (mean_work_ + 4 * scenario_.net + group.think);
  }
  for (const Flood& flood : scenario_.floods) {
    if (now_ > flood.at && now_ <= flood.at + flood.lasts) demand += flood.rate;
  }
  if (scenario_.counts_at(now_ - 1)) report_.achievable += std::min(demand, s.capacity);
  s.in_flight = in_flight_;
  record_concurrency_limit(s);
}

}  // namespace thymewood::bench
