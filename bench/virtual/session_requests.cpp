// Requests and their attempts at a node, from arrival to final answer.
#include <algorithm>
#include <limits>

#include "session.h"

namespace thymewood::bench {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();

}  // namespace

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
  a.turn = events_.next_order();
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

}  // namespace thymewood::bench
