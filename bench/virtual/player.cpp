#include "player.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <queue>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <variant>

#include "records.h"
#include "rules.h"
#include "thymewood/balancer.h"

namespace thymewood::bench {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kNetJitter = 0.2;    // of a one-way delay, at most; or all would go in step
constexpr double kLeastTry = 0.01;    // s; no try is begun with less left
constexpr std::size_t kMostLog = 20;  // lines
constexpr double kAfterwards = 60;    // s; after the scenario's end, for what is still under way

std::vector<RuleMonitor::Place> places_of(const Scenario& s) {
  std::vector<RuleMonitor::Place> out;
  for (const ScenarioServer& server : s.servers) out.push_back({server.zone, server.cell});
  return out;
}

std::vector<RequestClass> classes_of(const Scenario& s) {
  std::vector<RequestClass> out;
  for (const LoadClass& c : s.classes) out.push_back(c.told);
  return out;
}

class Player {
 public:
  Player(const Scenario& scenario, Front front, std::uint64_t seed)
      : scenario_(scenario),
        front_(front),
        random_(seed),
        arrivals_(scenario, seed ^ 0xA11),
        rules_({}, classes_of(scenario), places_of(scenario)),
        mean_work_(scenario.mean_work()) {}

  Report play() {
    report_.seconds.resize(static_cast<std::size_t>(std::ceil(scenario_.seconds)));
    set_up();
    const double end = scenario_.seconds + kAfterwards;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      // Timers and pauses go on for ever: the run is over when all is answered.
      if (now_ > scenario_.seconds && owed_ == 0) break;
      happen(event);
    }
    rules_.finish(kForever);
    report_.broken = rules_.broken();
    report_.breaks = rules_.breaks();
    return std::move(report_);
  }

 private:
  // ------------------------------------------------------------------ set-up

  void set_up() {
    for (std::size_t i = 0; i < scenario_.servers.size(); ++i) {
      servers_.emplace_back(scenario_.servers[i].capacity, -kForever);
      up_.push_back(scenario_.servers[i].up);
      wanted_.push_back(scenario_.servers[i].up);
      generation_.push_back(0);
      started_.push_back(0);
      out_at_.push_back(0);
      fails_.push_back(0);
      mute_.push_back(0);
    }
    copies_.resize(static_cast<std::size_t>(scenario_.copies));
    for (int copy = 0; copy < scenario_.copies; ++copy) start_copy(copy);
    for (std::size_t i = 0; i < scenario_.changes.size(); ++i)
      push(scenario_.changes[i].at, Event::Kind::kChange, i);
    const auto seconds = static_cast<std::size_t>(scenario_.seconds);
    for (std::size_t i = 0; i < seconds; ++i) push(static_cast<double>(i + 1), Event::Kind::kSecond, i);
    push(arrivals_.after(0), Event::Kind::kOpenArrival, 0);
    for (const Callers& group : scenario_.callers) {
      for (int i = 0; i < group.count; ++i) {
        callers_.push_back({&group, i % scenario_.copies});
        push(group.from + scenario_.net * random_.unit(), Event::Kind::kCallerAsks, callers_.size() - 1);
      }
    }
  }

  void start_copy(int copy) {
    copies_[static_cast<std::size_t>(copy)] =
        std::make_unique<Balancer>(scenario_.settings(copy), random_.below(1u << 30));
    MembershipUpdate all;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (wanted_[i]) all.servers.push_back(as_told(i, ServerState::kReady));
    }
    tell(copy, all);
    tell(copy, Started{});
  }

  Server as_told(std::size_t at, ServerState state) const {
    const ScenarioServer& s = scenario_.servers[at];
    return {"s" + std::to_string(at), s.zone, s.cell, s.weight, started_[at], state};
  }

  // ------------------------------------------------------------------ events

  void push(double at, Event::Kind kind, std::size_t what, std::uint64_t extra = 0) {
    if (at < kForever) events_.push({at, ++order_, kind, what, extra});
  }

  double travel() { return scenario_.net * (1 + kNetJitter * random_.unit()); }

  void happen(const Event& e) {
    switch (e.kind) {
      case Event::Kind::kOpenArrival:
        begin_request(kNone, static_cast<int>(random_.below(copies_.size())));
        push(arrivals_.after(now_), Event::Kind::kOpenArrival, 0);
        break;
      case Event::Kind::kCallerAsks:
        if (now_ < callers_[e.what].group->to && now_ < scenario_.seconds)
          begin_request(e.what, callers_[e.what].copy);
        break;
      case Event::Kind::kAtNode:
        at_node(e.what);
        break;
      case Event::Kind::kAtServer:
        at_server(e.what);
        break;
      case Event::Kind::kServerActs:
        if (e.extra == generation_[e.what]) let_act(e.what);
        break;
      case Event::Kind::kBack:
        if (attempts_[e.what].turn == e.extra) attempt_ended(e.what, attempts_[e.what].outcome);
        break;
      case Event::Kind::kTimeout:
        if (attempts_[e.what].turn == e.extra) attempt_ended(e.what, Outcome::kTimedOut);
        break;
      case Event::Kind::kTimer:
        tell(static_cast<int>(e.what), TimerFired{e.extra});
        break;
      case Event::Kind::kChange:
        change(scenario_.changes[e.what]);
        push(now_ + scenario_.changes[e.what].told_after, Event::Kind::kTold, e.what);
        break;
      case Event::Kind::kTold:
        tell_change(scenario_.changes[e.what]);
        break;
      case Event::Kind::kUp:
        start_copy(static_cast<int>(e.what));
        break;
      case Event::Kind::kComesAgain:
        come_again(e.what);
        break;
      case Event::Kind::kSecond:
        end_second(report_.seconds[e.what]);
        break;
    }
  }

  // ------------------------------------------------------------------ requests

  std::size_t draw_by_share(const auto& from) {
    double sum = 0;
    for (const auto& entry : from) sum += entry.share;
    double left = random_.unit() * sum;
    for (std::size_t i = 0; i + 1 < from.size(); ++i) {
      left -= from[i].share;
      if (left < 0) return i;
    }
    return from.empty() ? 0 : from.size() - 1;
  }

  void begin_request(std::size_t caller, int copy) {
    const std::size_t at = requests_.take();
    OneRequest& r = requests_[at];
    r.id = "r" + std::to_string(++begun_);
    r.request_class = draw_by_share(scenario_.classes);
    r.tenant = draw_by_share(scenario_.tenants);
    r.caller = caller;
    r.copy = copy;
    r.due = r.wanted = now_;
    ++owed_;
    count(r, &Second::offered, &Report::offered);
    push(now_ + travel(), Event::Kind::kAtNode, at);
  }

  // How long a try may take: a part of the class's time, and no more than is left of it.
  double time_of_try(const OneRequest& r) const {
    const double all = scenario_.classes[r.request_class].told.give_up;
    return std::min(scenario_.clients.try_share * all, r.wanted + all - r.due);
  }

  // Whether one that was not served is asked for again, by a new try. It belongs to its first: nothing is
  // counted.
  bool tries_again(const OneRequest& r, double back, double advised) {
    if (r.tries > scenario_.clients.retries) return false;
    const double then = back + std::max(scenario_.clients.wait, scenario_.clients.honour ? advised : 0);
    if (then + kLeastTry > r.wanted + scenario_.classes[r.request_class].told.give_up) return false;
    const std::size_t at = again_.take();
    again_[at] = r;
    ++owed_;
    push(then, Event::Kind::kComesAgain, at);
    return true;
  }

  void come_again(std::size_t from) {
    const std::size_t at = requests_.take();
    OneRequest& r = requests_[at];
    const OneRequest before = again_[from];
    again_.give_back(from);
    r.id = "r" + std::to_string(++begun_);
    r.request_class = before.request_class;
    r.tenant = before.tenant;
    r.caller = before.caller;
    r.copy = before.caller == kNone ? static_cast<int>(random_.below(copies_.size())) : before.copy;
    r.due = now_;
    r.wanted = before.wanted;
    r.tries = before.tries + 1;
    push(now_ + travel(), Event::Kind::kAtNode, at);
  }

  void at_node(std::size_t at) {
    OneRequest& r = requests_[at];
    if (front_ == Front::kModule && !find_copy(r)) return fail_unheard(at);
    const double time = time_of_try(r);
    r.until = r.due + time - 2 * scenario_.net;  // the answer has its way back before it
    rules_.taken(now_, r.id, r.request_class, r.due + time);
    if (scenario_.counts_at(r.wanted)) report_.tries += 1;
    if (front_ == Front::kDirect) {
      do next_ = (next_ + 1) % servers_.size();
      while (!up_[next_]);
      return send(at, next_, r.until - now_);
    }
    if (front_ == Front::kOracle) return send_by_oracle(at);
    by_id_[r.id] = at;
    Request event;
    event.id = r.id;
    event.tenant = r.tenant;
    event.request_class = r.request_class;
    event.time_left = r.until - now_;
    tell(r.copy, event);
  }

  // A client whose node is down goes to the next one that is up.
  bool find_copy(OneRequest& r) const {
    for (int i = 0; i < scenario_.copies; ++i) {
      const int copy = (r.copy + i) % scenario_.copies;
      if (!copies_[static_cast<std::size_t>(copy)]) continue;
      r.copy = copy;
      return true;
    }
    return false;
  }

  // Nobody answers any more: the client sees its connection break.
  void fail_unheard(std::size_t at) {
    OneRequest& r = requests_[at];
    r.over = true;
    --owed_;
    if (tries_again(r, now_ + scenario_.net, 0)) return free_if_over(at);
    count(r, &Second::failed, &Report::failed);
    if (r.caller != kNone)
      push(now_ + scenario_.net + callers_[r.caller].group->think, Event::Kind::kCallerAsks, r.caller);
    free_if_over(at);
  }

  void send_by_oracle(std::size_t at) {
    std::size_t best = kNone;
    double soonest = kForever;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (!up_[i] || !wanted_[i]) continue;
      const double end = expected_end(i);
      if (end < soonest) {
        soonest = end;
        best = i;
      }
    }
    OneRequest& r = requests_[at];
    const double aim = scenario_.classes[r.request_class].told.aim;
    if (best == kNone || now_ - r.due + soonest + 2 * scenario_.net > aim) {
      answer(at, Final::kRefused, scenario_.max_retry_after / 2);
      return free_if_over(at);
    }
    send(at, best, r.until - now_);
  }

  // s from now on, for one more mean request at a server that has all that was sent to it.
  double expected_end(std::size_t server) const {
    const int workers = scenario_.servers[server].capacity.workers;
    if (workers == 0) return mean_work_;
    const double rate = servers_[server].rate(now_, mean_work_);
    return (workers + std::max(0, out_at_[server] + 1 - workers)) / rate;
  }

  void send(std::size_t request, std::size_t server, double timeout) {
    OneRequest& r = requests_[request];
    rules_.sent(now_, r.id, r.copy, server);
    if (scenario_.counts_at(r.wanted)) report_.attempts += 1;
    const std::size_t at = attempts_.take();
    OneAttempt& a = attempts_[at];
    a.request = request;
    a.server = server;
    a.number = static_cast<int>(r.attempts.size());
    a.sent = now_;
    a.turn = ++order_;
    r.attempts.push_back(at);
    r.attempts_open += 1;
    in_flight_ += 1;
    out_at_[server] += 1;
    push(now_ + std::max(0.0, std::min(timeout, r.until - now_)), Event::Kind::kTimeout, at, a.turn);
    push(now_ + travel(), Event::Kind::kAtServer, at);
  }

  void at_server(std::size_t at) {
    OneAttempt& a = attempts_[at];
    if (!up_[a.server]) return come_back(at, Outcome::kDialFailed);
    if (mute_[a.server] > 0 && random_.unit() < mute_[a.server]) return stay_silent(at);
    if (fails_[a.server] > 0 && random_.unit() < fails_[a.server]) return come_back(at, Outcome::kError);
    a.work = scenario_.classes[requests_[a.request].request_class].service.draw(random_);
    ServerModel& server = servers_[a.server];
    const bool cold = server.warmth(now_) < 1;
    rules_.came(now_, a.server, a.work, cold ? server.rate(now_, 1) : 0);
    let_act(a.server);
    if (!server.arrive(now_, at, a.work)) return come_back(at, Outcome::kRejected);
    plan(a.server);
  }

  void stay_silent(std::size_t at) {
    attempts_[at].at_end = true;
    out_at_[attempts_[at].server] -= 1;
    free_if_over(attempts_[at].request);
  }

  void let_act(std::size_t server) {
    std::vector<std::uint64_t> ended;
    servers_[server].advance(now_, ended);
    for (const std::uint64_t at : ended) {
      OneAttempt& a = attempts_[at];
      report_work(a);
      come_back(at, Outcome::kDelivered);
    }
    plan(server);
  }

  void plan(std::size_t server) {
    const std::optional<double> next = servers_[server].next();
    if (next) push(std::max(now_, *next), Event::Kind::kServerActs, server, ++generation_[server]);
  }

  void come_back(std::size_t at, Outcome outcome) {
    attempts_[at].outcome = outcome;
    attempts_[at].at_end = true;
    out_at_[attempts_[at].server] -= 1;
    if (attempts_[at].ended) return free_if_over(attempts_[at].request);
    push(now_ + travel(), Event::Kind::kBack, at, attempts_[at].turn);
  }

  void attempt_ended(std::size_t at, Outcome outcome) {
    OneAttempt& a = attempts_[at];
    if (a.ended) return;
    a.ended = true;
    in_flight_ -= 1;
    const std::size_t request = a.request;
    OneRequest& r = requests_[request];
    r.attempts_open -= 1;
    const bool never = outcome == Outcome::kRejected || outcome == Outcome::kDialFailed;
    const bool serves = outcome == Outcome::kDelivered && !r.over;
    if (serves) answer(request, Final::kServed, 0);
    rules_.ended(r.id, static_cast<std::size_t>(a.number), !never);
    if (front_ != Front::kModule) {
      if (!serves) answer(request, Final::kFailed, 0);
    } else {
      const OneRequest& done = requests_[request];
      tell(done.copy, AttemptResult{done.id, a.number, outcome, now_ - a.sent, done.over});
    }
    free_if_over(request);
  }

  // A record is used again only when nothing can name it any more: no server and no time-out.
  void free_if_over(std::size_t at) {
    OneRequest& r = requests_[at];
    if (!r.over || r.attempts_open > 0 || r.id.empty()) return;
    for (const std::size_t a : r.attempts) {
      if (!attempts_[a].at_end) return;
    }
    by_id_.erase(r.id);
    for (const std::size_t a : r.attempts) attempts_.give_back(a);
    r.id.clear();
    requests_.give_back(at);
  }

  void answer(std::size_t at, Final how, double retry_after) {
    OneRequest& r = requests_[at];
    if (r.over) {
      rules_.answered(now_, r.id, how);  // which says so
      return;
    }
    r.over = true;
    --owed_;
    const double back = now_ + scenario_.net;
    rules_.answered(back, r.id, how);
    if (how != Final::kServed && tries_again(r, back, retry_after)) return;
    if (how == Final::kServed) {
      count(r, &Second::served, &Report::served);
      if (back <= r.wanted + scenario_.classes[r.request_class].told.aim)
        count(r, &Second::in_time, &Report::in_time);
      if (scenario_.counts_at(r.wanted)) report_.latency.add(back - r.wanted);
    } else if (how == Final::kRefused) {
      count(r, &Second::refused, &Report::refused);
      if (r.attempts.empty()) count(r, &Second::unsent, &Report::unsent);
    } else {
      count(r, &Second::failed, &Report::failed);
    }
    if (r.caller == kNone) return;
    const Callers& group = *callers_[r.caller].group;
    const double advised = group.after_refusal < 0 ? retry_after : group.after_refusal;
    push(
        back + (how == Final::kRefused ? advised : group.think) + scenario_.net * kNetJitter * random_.unit(),
        Event::Kind::kCallerAsks, r.caller);
  }

  void count(const OneRequest& r, double Second::*second, double Report::*all) {
    const auto at = static_cast<std::size_t>(r.wanted);
    if (at < report_.seconds.size()) report_.seconds[at].*second += 1;
    if (scenario_.counts_at(r.wanted)) report_.*all += 1;
  }

  // Work is spent when it ends, whoever still waits for it.
  void report_work(const OneAttempt& a) {
    if (!scenario_.counts_at(now_)) return;
    const OneRequest& r = requests_[a.request];
    report_.work += a.work;
    const bool of_use = !a.ended && !r.over &&
                        now_ + 2 * scenario_.net <= r.wanted + scenario_.classes[r.request_class].told.aim;
    if (!of_use) report_.wasted += a.work;
  }

  // ------------------------------------------------------------------ the copies

  void tell(int copy, const thymewood::Event& event) {
    if (!copies_[static_cast<std::size_t>(copy)]) return;
    std::vector<Action> actions;
    if (const auto* update = std::get_if<MembershipUpdate>(&event)) {
      for (const Server& s : update->servers)
        rules_.told(now_, copy, std::stoul(s.address.substr(1)), s.state == ServerState::kReady);
    }
    copies_[static_cast<std::size_t>(copy)]->handle(now_, event, actions);
    for (const Action& action : actions) std::visit([&](const auto& a) { act(copy, a); }, action);
  }

  void act(int, const Send& a) { send(by_id_.at(a.id), std::stoul(a.server.substr(1)), a.timeout); }
  void act(int, const Refuse& a) { end_by_word(a.id, Final::kRefused, a.retry_after); }
  void act(int, const Fail& a) { end_by_word(a.id, Final::kFailed, 0); }
  void act(int, const Cancel&) {}  // stops nothing at these servers
  void act(int copy, const SetTimer& a) {
    push(a.at, Event::Kind::kTimer, static_cast<std::size_t>(copy), a.token);
  }
  void act(int, const WatchMembers&) {}  // what changes is told by the scenario
  void act(int copy, const LogLine& a) {
    if (report_.log.size() < kMostLog)
      report_.log.push_back(std::to_string(now_) + " s, copy " + std::to_string(copy) + ": " + a.text);
  }

  void end_by_word(const std::string& id, Final how, double retry_after) {
    const std::size_t at = by_id_.at(id);
    answer(at, how, retry_after);
    free_if_over(at);
  }

  // ------------------------------------------------------------------ what changes

  void change(const Change& c) {
    if (c.what == Change::What::kRestart) return restart(c);
    for (std::size_t i = c.first; i <= c.last; ++i) {
      switch (c.what) {
        case Change::What::kSlow:
          servers_[i].slow_down(c.factor);
          break;
        case Change::What::kFail:
          fails_[i] = c.part;
          break;
        case Change::What::kMute:
          mute_[i] = c.part;
          break;
        case Change::What::kDrain:
          wanted_[i] = false;
          break;
        case Change::What::kStop:
          lose_work(i);
          up_[i] = wanted_[i] = false;
          break;
        case Change::What::kStart:
          lose_work(i);
          servers_[i].restart(now_);
          fails_[i] = mute_[i] = 0;
          up_[i] = wanted_[i] = true;
          started_[i] = now_ > 0 ? now_ : 1e-6;
          break;
        case Change::What::kRestart:
          break;
      }
    }
  }

  // A copy that is killed takes what it knew and what it held with it; servers go on with what they have.
  void restart(const Change& c) {
    copies_[static_cast<std::size_t>(c.copy)].reset();
    for (std::size_t at = 0; at < requests_.size(); ++at) {
      OneRequest& r = requests_[at];
      if (r.id.empty() || r.copy != c.copy || !by_id_.contains(r.id)) continue;
      for (const std::size_t a : r.attempts) {
        if (!std::exchange(attempts_[a].ended, true)) in_flight_ -= 1;
      }
      r.attempts_open = 0;
      rules_.gone(r.id);
      if (r.over) {
        free_if_over(at);
      } else {
        fail_unheard(at);
      }
    }
    push(now_ + c.down, Event::Kind::kUp, static_cast<std::size_t>(c.copy));
  }

  // A process that ends resets what it had.
  void lose_work(std::size_t server) {
    std::vector<std::uint64_t> lost = servers_[server].take_all();
    std::sort(lost.begin(), lost.end());
    for (const std::uint64_t at : lost) come_back(at, Outcome::kReset);
  }

  void tell_change(const Change& c) {
    if (c.what != Change::What::kDrain && c.what != Change::What::kStop && c.what != Change::What::kStart)
      return;
    MembershipUpdate update;
    update.form = MembershipUpdate::Form::kChanges;
    const ServerState state = c.what == Change::What::kDrain  ? ServerState::kDraining
                              : c.what == Change::What::kStop ? ServerState::kGone
                                                              : ServerState::kReady;
    for (std::size_t i = c.first; i <= c.last; ++i) update.servers.push_back(as_told(i, state));
    for (int copy = 0; copy < scenario_.copies; ++copy) tell(copy, update);
  }

  void end_second(Second& s) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (up_[i]) s.capacity += servers_[i].rate(now_, mean_work_) * (1 - fails_[i]) * (1 - mute_[i]);
    }
    double asked = scenario_.load_at(now_ - 0.5);
    for (const Callers& group : scenario_.callers) {
      if (now_ > group.from && now_ <= group.to)
        asked += group.count / (mean_work_ + 4 * scenario_.net + group.think);
    }
    if (scenario_.counts_at(now_ - 1)) report_.possible += std::min(asked, s.capacity);
    s.in_flight = in_flight_;
    if (copies_[0]) look_at_room(*copies_[0], s);
  }

  // Modules from before the view existed can be measured too; they show nothing here.
  template <class Module>
  void look_at_room(const Module& module, Second& s) const {
    if constexpr (requires { module.room(now_); }) {
      const auto view = module.room(now_);
      s.usual = view.usual;
      s.room = view.room;
      s.bound = view.bound;
    }
  }

  const Scenario& scenario_;
  Front front_;
  Random random_;
  Arrivals arrivals_;
  RuleMonitor rules_;
  double mean_work_;
  double now_ = 0;
  std::uint64_t order_ = 0, begun_ = 0, owed_ = 0;
  double in_flight_ = 0;
  std::size_t next_ = 0;  // the direct front's turn
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<ServerModel> servers_;
  std::vector<bool> up_, wanted_;
  std::vector<double> started_;
  std::vector<double> fails_, mute_;       // the part of its calls that a server fails, or never answers
  std::vector<int> out_at_;                // attempts sent to a server that have not ended there
  std::vector<std::uint64_t> generation_;  // which planned act of a server is the valid one
  std::vector<std::unique_ptr<Balancer>> copies_;
  std::vector<OneCaller> callers_;
  Slots<OneRequest> requests_;
  Slots<OneRequest> again_;  // tries that were not served, until they come again
  Slots<OneAttempt> attempts_;
  std::unordered_map<std::string, std::size_t> by_id_;
  Report report_;
};

}  // namespace

Report play(const Scenario& scenario, Front front, std::uint64_t seed) {
  if (!scenario.fleet_only.empty())
    throw std::runtime_error(scenario.fleet_only.front() + " is played by a fleet of processes alone");
  return Player(scenario, front, seed).play();
}

}  // namespace thymewood::bench
