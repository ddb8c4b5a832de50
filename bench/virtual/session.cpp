#include "session.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>
#include <variant>

namespace thymewood::bench {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kNetJitter = 0.2;        // of a one-way delay, at most; or all would go in step
constexpr double kMinAttemptTime = 0.01;  // s; no attempt is begun with less left
constexpr std::size_t kMaxLogLines = 20;  // lines
constexpr double kDrainTime = 60;         // s; after the scenario's end, for what is still under way

std::vector<RuleMonitor::Place> places_of(const Scenario& s) {
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
      rules_({}, classes_of(scenario), places_of(scenario)),
      mean_work_(scenario.mean_work()) {}

Report Session::play() {
  report_.seconds.resize(static_cast<std::size_t>(std::ceil(scenario_.seconds)));
  report_.tenants.resize(std::max<std::size_t>(1, scenario_.tenants.size()));
  schedule_initial_events();
  const double end = scenario_.seconds + kDrainTime;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    // Timers and pauses go on for ever: the run is over when all is answered.
    if (now_ > scenario_.seconds && unanswered_ == 0) break;
    dispatch(event);
  }
  rules_.finish(kForever);
  report_.broken = rules_.broken();
  report_.breaks = rules_.breaks();
  return std::move(report_);
}

// ---------------------------------------------------------------- the order of events

void Session::schedule_initial_events() {
  for (std::size_t i = 0; i < scenario_.servers.size() + scenario_.backends.size(); ++i) {
    models_.emplace_back(spec(i).capacity, -kForever);
    places_.emplace_back();
    places_.back().up = places_.back().wanted = spec(i).up;
  }
  const std::size_t sidecar = scenario_.chain.calls > 0 ? first_tier_ : 0;
  replicas_.resize(static_cast<std::size_t>(scenario_.replicas) + sidecar);
  if (front_ == Front::kModule) {
    for (int replica = 0; replica < scenario_.replicas; ++replica) start_replica(replica);
    for (std::size_t i = 0; i < sidecar; ++i) {
      if (places_[i].up) start_replica(sidecar_of(i));
    }
  }
  for (std::size_t i = 0; i < scenario_.changes.size(); ++i)
    push(scenario_.changes[i].at, Event::Kind::kChange, i);
  for (std::size_t i = 0; i < scenario_.floods.size(); ++i)
    push(scenario_.floods[i].at, Event::Kind::kFlood, i, 1);
  const auto seconds = static_cast<std::size_t>(scenario_.seconds);
  for (std::size_t i = 0; i < seconds; ++i) push(static_cast<double>(i + 1), Event::Kind::kSecond, i);
  push(arrivals_.after(0), Event::Kind::kOpenArrival, 0);
  for (const ClosedLoop& group : scenario_.closed_loops) {
    for (int i = 0; i < group.count; ++i) {
      closed_loop_clients_.push_back({&group, i % scenario_.replicas});
      push(group.from + scenario_.net * random_.unit(), Event::Kind::kClientSends,
           closed_loop_clients_.size() - 1);
    }
  }
}

void Session::push(double at, Event::Kind kind, std::size_t what, std::uint64_t extra) {
  if (at < kForever) events_.push({at, ++order_, kind, what, extra});
}

double Session::travel() { return scenario_.net * (1 + kNetJitter * random_.unit()); }

void Session::dispatch(const Event& e) {
  switch (e.kind) {
    case Event::Kind::kOpenArrival:
      begin_request(kNone, static_cast<int>(random_.below(static_cast<std::size_t>(scenario_.replicas))));
      push(arrivals_.after(now_), Event::Kind::kOpenArrival, 0);
      break;
    case Event::Kind::kClientSends:
      if (now_ < closed_loop_clients_[e.what].group->to && now_ < scenario_.seconds)
        begin_request(e.what, closed_loop_clients_[e.what].replica);
      break;
    case Event::Kind::kFlood:
      if (e.extra == 0) begin_flood(e.what);
      if (now_ < scenario_.floods[e.what].at + scenario_.floods[e.what].lasts)
        push(now_ + random_.exponential(1 / scenario_.floods[e.what].rate), Event::Kind::kFlood, e.what);
      break;
    case Event::Kind::kAtNode:
      at_node(e.what);
      break;
    case Event::Kind::kAtServer:
      at_server(e.what);
      break;
    case Event::Kind::kServerProgress:
      if (e.extra == places_[e.what].generation) advance_server(e.what);
      break;
    case Event::Kind::kCallEnded:
      if (attempts_[e.what].turn == e.extra && !attempts_[e.what].at_end) call_ended(e.what);
      break;
    case Event::Kind::kResultReturns:
      if (attempts_[e.what].turn == e.extra) attempt_ended(e.what, attempts_[e.what].outcome);
      break;
    case Event::Kind::kTimeout:
      if (attempts_[e.what].turn == e.extra) attempt_ended(e.what, Outcome::kTimedOut);
      break;
    case Event::Kind::kTimer:
      notify(static_cast<int>(e.what), TimerFired{e.extra});
      break;
    case Event::Kind::kChange:
      change(scenario_.changes[e.what]);
      push(now_ + scenario_.changes[e.what].notify_delay, Event::Kind::kNotified, e.what);
      break;
    case Event::Kind::kNotified:
      notify_change(scenario_.changes[e.what]);
      break;
    case Event::Kind::kUp:
      if (front_ == Front::kModule) start_replica(static_cast<int>(e.what));
      break;
    case Event::Kind::kClientRetries:
      begin_client_retry(e.what);
      break;
    case Event::Kind::kSecond:
      end_second(report_.seconds[e.what]);
      break;
  }
}

void Session::end_second(Second& s) {
  s.capacity = capacity();
  double asked = scenario_.load_at(now_ - 0.5);
  for (const ClosedLoop& group : scenario_.closed_loops) {
    if (now_ > group.from && now_ <= group.to)
      asked += group.count / (mean_work_ + 4 * scenario_.net + group.think);
  }
  for (const Flood& flood : scenario_.floods) {
    if (now_ > flood.at && now_ <= flood.at + flood.lasts) asked += flood.rate;
  }
  if (scenario_.counts_at(now_ - 1)) report_.possible += std::min(asked, s.capacity);
  s.in_flight = in_flight_;
  record_concurrency_limit(s);
}

// ---------------------------------------------------------------- clients

std::size_t Session::begin_request(std::size_t caller, int replica) {
  const std::size_t at = requests_.allocate();
  RequestState& r = requests_[at];
  r.id = "r" + std::to_string(++begun_);
  r.request_class = draw_by_share(random_, scenario_.classes);
  r.tenant = draw_by_share(random_, scenario_.tenants);
  r.client = caller;
  r.replica = replica;
  r.pinned = caller != kNone;
  r.due = r.first_due = now_;
  ++unanswered_;
  count(r, &Second::offered, &Report::offered, &TenantPart::offered);
  push(now_ + travel(), Event::Kind::kAtNode, at);
  return at;
}

void Session::begin_flood(std::size_t which) {
  const Flood& flood = scenario_.floods[which];
  if (now_ > flood.at + flood.lasts || now_ > scenario_.seconds) return;
  const std::size_t at = requests_.allocate();
  RequestState& r = requests_[at];
  r.id = "r" + std::to_string(++begun_);
  r.request_class = draw_by_share(random_, scenario_.classes);
  r.tenant = flood.tenant;
  r.replica = flood.replica >= 0
                  ? flood.replica
                  : static_cast<int>(random_.below(static_cast<std::size_t>(scenario_.replicas)));
  r.pinned = flood.replica >= 0;
  r.due = r.first_due = now_;
  ++unanswered_;
  count(r, &Second::offered, &Report::offered, &TenantPart::offered);
  push(now_ + travel(), Event::Kind::kAtNode, at);
}

// How long an attempt may take: a part of the class's time, and no more than is left of it.
double Session::attempt_timeout(const RequestState& r) const {
  const double all = scenario_.classes[r.request_class].settings.client_timeout;
  return std::min(scenario_.client_behavior.attempt_share * all, r.first_due + all - r.due);
}

// Whether one that was not served is asked for again, by a new attempt. It belongs to its first: nothing is
// counted.
bool Session::schedule_client_retry(const RequestState& r, double back, double advised) {
  if (r.client_attempts > scenario_.client_behavior.retries) return false;
  const double then = back + std::max(scenario_.client_behavior.wait,
                                      scenario_.client_behavior.honors_retry_after ? advised : 0);
  if (then + kMinAttemptTime > r.first_due + scenario_.classes[r.request_class].settings.client_timeout)
    return false;
  const std::size_t at = pending_retries_.allocate();
  pending_retries_[at] = r;
  ++unanswered_;
  push(then, Event::Kind::kClientRetries, at);
  return true;
}

void Session::begin_client_retry(std::size_t from) {
  const std::size_t at = requests_.allocate();
  RequestState& r = requests_[at];
  const RequestState before = pending_retries_[from];
  pending_retries_.release(from);
  r.id = "r" + std::to_string(++begun_);
  r.request_class = before.request_class;
  r.tenant = before.tenant;
  r.client = before.client;
  r.pinned = before.pinned;
  r.replica = before.pinned ? before.replica
                            : static_cast<int>(random_.below(static_cast<std::size_t>(scenario_.replicas)));
  r.due = now_;
  r.first_due = before.first_due;
  r.client_attempts = before.client_attempts + 1;
  push(now_ + travel(), Event::Kind::kAtNode, at);
}

void Session::complete_for_client(std::size_t at, Final how, double back, double retry_after) {
  const RequestState& r = requests_[at];
  if (how != Final::kServed && schedule_client_retry(r, back, retry_after)) return;
  if (how == Final::kServed) {
    count(r, &Second::served, &Report::served, &TenantPart::served);
    if (back <= r.first_due + scenario_.classes[r.request_class].settings.latency_objective)
      count(r, &Second::in_time, &Report::in_time, &TenantPart::in_time);
    if (scenario_.counts_at(r.first_due)) report_.latency.add(back - r.first_due);
  } else if (how == Final::kRejected) {
    count(r, &Second::rejected, &Report::rejected);
    if (r.attempts.empty()) count(r, &Second::unsent, &Report::unsent);
  } else {
    count(r, &Second::failed, &Report::failed);
  }
  if (r.client == kNone) return;
  const ClosedLoop& group = *closed_loop_clients_[r.client].group;
  const double advised = group.after_refusal < 0 ? retry_after : group.after_refusal;
  push(back + (how == Final::kRejected ? advised : group.think) + scenario_.net * kNetJitter * random_.unit(),
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

// ---------------------------------------------------------------- requests at a front

void Session::at_node(std::size_t at) {
  RequestState& r = requests_[at];
  const bool call = tier_of(r) > 0;
  if (call) {
    // The server that calls has ended meanwhile, and nobody waits.
    if (front_ == Front::kModule && !replicas_[static_cast<std::size_t>(r.replica)]) {
      r.over = true;
      return free_if_over(at);
    }
    rules_.taken(now_, r.id, r.request_class, r.until);
  } else {
    if (front_ == Front::kModule && !find_live_replica(r)) return fail_unheard(at);
    const double time = attempt_timeout(r);
    r.until = r.due + time - 2 * scenario_.net;  // the answer has its way back before it
    rules_.taken(now_, r.id, r.request_class, r.due + time);
    if (scenario_.counts_at(r.first_due)) report_.client_attempts += 1;
  }
  if (front_ == Front::kDirect) return send_direct(at);
  if (front_ == Front::kOracle) return send_by_oracle(at);
  by_id_[r.id] = at;
  Request event;
  event.id = r.id;
  event.tenant = r.tenant;
  event.request_class = r.request_class;
  event.time_left = r.until - now_;
  notify(r.replica, event);
}

// A client whose node is down goes to the next one that is up.
bool Session::find_live_replica(RequestState& r) const {
  for (int i = 0; i < scenario_.replicas; ++i) {
    const int replica = (r.replica + i) % scenario_.replicas;
    if (!replicas_[static_cast<std::size_t>(replica)]) continue;
    r.replica = replica;
    return true;
  }
  return false;
}

// Nobody answers any more: the client sees its connection break.
void Session::fail_unheard(std::size_t at) {
  RequestState& r = requests_[at];
  r.over = true;
  --unanswered_;
  if (schedule_client_retry(r, now_ + scenario_.net, 0)) return free_if_over(at);
  count(r, &Second::failed, &Report::failed);
  if (r.client != kNone)
    push(now_ + scenario_.net + closed_loop_clients_[r.client].group->think, Event::Kind::kClientSends,
         r.client);
  free_if_over(at);
}

void Session::send_direct(std::size_t at) {
  const RequestState& r = requests_[at];
  const Range range = servers_of(tier_of(r));
  std::size_t& next = next_[tier_of(r)];
  do next = (next + 1) % (range.end - range.first);
  while (!places_[range.first + next].up);
  send(at, range.first + next, r.until - now_);
}

void Session::send_by_oracle(std::size_t at) {
  std::size_t best = kNone;
  double soonest = kForever;
  RequestState& r = requests_[at];
  const Range range = servers_of(tier_of(r));
  for (std::size_t i = range.first; i < range.end; ++i) {
    if (!places_[i].up || !places_[i].wanted) continue;
    const double end = expected_end(i);
    if (end < soonest) {
      soonest = end;
      best = i;
    }
  }
  // What a first-tier server has begun is not given up in the second.
  const double latency_objective = scenario_.classes[r.request_class].settings.latency_objective;
  if (best == kNone || (tier_of(r) == 0 && now_ - r.due + soonest + 2 * scenario_.net > latency_objective)) {
    answer(at, Final::kRejected, scenario_.max_retry_after / 2);
    return free_if_over(at);
  }
  send(at, best, r.until - now_);
}

// s from now on, for one more mean request at a server that has all that was sent to it.
double Session::expected_end(std::size_t server) const {
  const double work = mean_work(server < first_tier_ ? 0 : 1);
  const int workers = spec(server).capacity.workers;
  if (workers == 0) return work;
  const double rate = models_[server].rate(now_, work);
  return (workers + std::max(0, places_[server].out + 1 - workers)) / rate;
}

void Session::send(std::size_t request, std::size_t server, double timeout) {
  RequestState& r = requests_[request];
  rules_.sent(now_, r.id, r.replica, server);
  const bool first = tier_of(r) == 0;
  if (scenario_.counts_at(r.first_due)) (first ? report_.attempts : report_.second_tier) += 1;
  const std::size_t at = attempts_.allocate();
  AttemptState& a = attempts_[at];
  a.request = request;
  a.server = server;
  a.number = static_cast<int>(r.attempts.size());
  a.sent = now_;
  a.until = now_ + std::max(0.0, std::min(timeout, r.until - now_));
  a.turn = ++order_;
  r.attempts.push_back(at);
  r.attempts_open += 1;
  if (first) in_flight_ += 1;
  places_[server].out += 1;
  push(a.until, Event::Kind::kTimeout, at, a.turn);
  push(now_ + travel(), Event::Kind::kAtServer, at);
}

void Session::attempt_ended(std::size_t at, Outcome outcome) {
  AttemptState& a = attempts_[at];
  if (a.ended) return;
  a.ended = true;
  const std::size_t request = a.request;
  RequestState& r = requests_[request];
  if (tier_of(r) == 0) in_flight_ -= 1;
  r.attempts_open -= 1;
  const bool never = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed;
  const bool serves = outcome == Outcome::kSuccess && !r.over;
  if (serves) answer(request, Final::kServed, 0);
  rules_.ended(r.id, static_cast<std::size_t>(a.number), !never);
  if (front_ != Front::kModule) {
    if (!serves) answer(request, Final::kFailed, 0);
  } else {
    notify(r.replica, AttemptResult{r.id, a.number, outcome, now_ - a.sent, r.over});
  }
  free_if_over(request);
}

// A record is used again only when nothing can name it any more: no server and no time-out.
void Session::free_if_over(std::size_t at) {
  RequestState& r = requests_[at];
  if (!r.over || r.attempts_open > 0 || r.id.empty()) return;
  for (const std::size_t a : r.attempts) {
    if (!attempts_[a].at_end) return;
  }
  by_id_.erase(r.id);
  for (const std::size_t a : r.attempts) attempts_.release(a);
  r.id.clear();
  requests_.release(at);
}

void Session::answer(std::size_t at, Final how, double retry_after) {
  RequestState& r = requests_[at];
  if (r.over) {
    rules_.answered(now_, r.id, how);  // which says so
    return;
  }
  r.over = true;
  if (tier_of(r) > 0) {
    rules_.answered(now_, r.id, how);
    AttemptState& parent = attempts_[r.parent];
    if (parent.turn != r.parent_turn) return;
    parent.call_served = how == Final::kServed;
    return push(now_, Event::Kind::kCallEnded, r.parent, r.parent_turn);
  }
  --unanswered_;
  const double back = now_ + scenario_.net;
  rules_.answered(back, r.id, how);
  complete_for_client(at, how, back, retry_after);
}

// ---------------------------------------------------------------- replicas

void Session::start_replica(int replica) {
  const bool sidecar = replica >= scenario_.replicas;
  replicas_[static_cast<std::size_t>(replica)] = std::make_unique<Balancer>(
      sidecar ? scenario_.sidecar_settings(replica - scenario_.replicas) : scenario_.settings(replica),
      random_.below(1u << 30));
  EndpointUpdate all;
  const Range range = servers_of(sidecar ? 1 : 0);
  for (std::size_t i = range.first; i < range.end; ++i) {
    if (places_[i].wanted) all.endpoints.push_back(endpoint_of(i, EndpointState::kReady));
  }
  notify(replica, all);
  notify(replica, Started{});
}

// A replica that is killed takes what it knew and what it held with it; servers go on with what they have.
void Session::end_replica(int replica) {
  if (!replicas_[static_cast<std::size_t>(replica)]) return;
  replicas_[static_cast<std::size_t>(replica)].reset();
  for (std::size_t at = 0; at < requests_.size(); ++at) {
    RequestState& r = requests_[at];
    if (r.id.empty() || r.replica != replica || !by_id_.contains(r.id)) continue;
    for (const std::size_t a : r.attempts) {
      if (!std::exchange(attempts_[a].ended, true) && tier_of(r) == 0) in_flight_ -= 1;
    }
    r.attempts_open = 0;
    rules_.gone(r.id);
    if (tier_of(r) == 0 && !r.over) {
      fail_unheard(at);
    } else {
      r.over = true;
      free_if_over(at);
    }
  }
}

void Session::notify(int replica, const thymewood::Event& event) {
  // Other fronts have no replicas, and are told all the same: what they do not heed has to show.
  const bool there = replicas_[static_cast<std::size_t>(replica)] != nullptr;
  if (front_ == Front::kModule && !there) return;
  std::vector<Action> actions;
  if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
    for (const Endpoint& s : update->endpoints)
      rules_.endpoint_notified(now_, replica, std::stoul(s.address.substr(1)),
                               s.state == EndpointState::kReady);
  }
  if (!there) return;
  replicas_[static_cast<std::size_t>(replica)]->handle(now_, event, actions);
  for (const Action& action : actions) std::visit([&](const auto& a) { act(replica, a); }, action);
}

void Session::act(int, const Send& a) { send(by_id_.at(a.id), std::stoul(a.server.substr(1)), a.timeout); }
void Session::act(int, const Reject& a) { finish_request(a.id, Final::kRejected, a.retry_after); }
void Session::act(int, const Fail& a) { finish_request(a.id, Final::kFailed, 0); }
void Session::act(int, const Cancel&) {}  // stops nothing at these servers
void Session::act(int replica, const SetTimer& a) {
  push(a.at, Event::Kind::kTimer, static_cast<std::size_t>(replica), a.token);
}
void Session::act(int, const WatchEndpoints&) {}  // what changes is told by the scenario
void Session::act(int replica, const SheddingReport& a) {
  if (report_.log.size() < kMaxLogLines)
    report_.log.push_back(std::to_string(now_) + " s, copy " + std::to_string(replica) + ": " + describe(a));
}

void Session::finish_request(const std::string& id, Final how, double retry_after) {
  const std::size_t at = by_id_.at(id);
  answer(at, how, retry_after);
  free_if_over(at);
}

void Session::record_concurrency_limit(Second& s) const {
  if (!replicas_[0]) return;
  const ConcurrencyLimitView view = replicas_[0]->concurrency_limit(now_);
  s.idle_latency = view.idle_latency;
  s.concurrency_limit = view.limit;
  s.probed_bound = view.probed_bound;
}

}  // namespace thymewood::bench
