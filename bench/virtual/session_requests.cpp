// Requests and their attempts at a node, from arrival to final response.
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
    // The calling server has stopped in the meantime, so nobody waits for the response.
    if (front_ == Front::kModule && !replicas_[static_cast<std::size_t>(r.replica)]) {
      r.finished = true;
      return free_if_finished(at);
    }
    rules_.taken(now_, r.id, r.request_class, r.deadline);
  } else {
    if (front_ == Front::kModule && !find_live_replica(r)) return fail_without_response(at);
    const double time = attempt_timeout(r);
    r.deadline = r.due + time - 2 * scenario_.net;  // leaves time for the response to reach the client
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
  event.time_left = r.deadline - now_;
  notify(r.replica, event);
}

// A client whose replica is down uses the next one that is up.
bool Session::find_live_replica(RequestState& r) const {
  for (int i = 0; i < scenario_.replicas; ++i) {
    const int replica = (r.replica + i) % scenario_.replicas;
    if (!replicas_[static_cast<std::size_t>(replica)]) continue;
    r.replica = replica;
    return true;
  }
  return false;
}

// The replica is gone: the client's connection is closed without a response.
void Session::fail_without_response(std::size_t at) {
  RequestState& r = requests_[at];
  r.finished = true;
  --open_requests_;
  if (schedule_client_retry(r, now_ + scenario_.net, 0)) return free_if_finished(at);
  count(r, &Second::failed, &Report::failed);
  if (r.client != kNone)
    push(now_ + scenario_.net + closed_loop_clients_[r.client].group->think, Event::Kind::kClientSends,
         r.client);
  free_if_finished(at);
}

void Session::send_direct(std::size_t at) {
  const RequestState& r = requests_[at];
  const Range range = servers_of(tier_of(r));
  std::size_t& next = next_server_[tier_of(r)];
  do next = (next + 1) % (range.end - range.first);
  while (!server_states_[range.first + next].up);
  send(at, range.first + next, r.deadline - now_);
}

void Session::send_by_oracle(std::size_t at) {
  std::size_t best = kNone;
  double soonest = kForever;
  RequestState& r = requests_[at];
  const Range range = servers_of(tier_of(r));
  for (std::size_t i = range.first; i < range.end; ++i) {
    if (!server_states_[i].up || !server_states_[i].routable) continue;
    const double end = expected_end(i);
    if (end < soonest) {
      soonest = end;
      best = i;
    }
  }
  // The second tier does not reject calls of requests that a first-tier server has begun.
  const double latency_objective = scenario_.classes[r.request_class].settings.latency_objective;
  if (best == kNone || (tier_of(r) == 0 && now_ - r.due + soonest + 2 * scenario_.net > latency_objective)) {
    complete_request(at, Final::kRejected, scenario_.max_retry_after / 2);
    return free_if_finished(at);
  }
  send(at, best, r.deadline - now_);
}

// Seconds until one more request of mean work would complete, counting all attempts sent to the server.
double Session::expected_end(std::size_t server) const {
  const double work = mean_work(server < first_tier_ ? 0 : 1);
  const int workers = server_config(server).capacity.workers;
  if (workers == 0) return work;
  const double rate = models_[server].rate(now_, work);
  return (workers + std::max(0, server_states_[server].in_flight + 1 - workers)) / rate;
}

void Session::send(std::size_t request, std::size_t server, double timeout) {
  RequestState& r = requests_[request];
  rules_.sent(now_, r.id, r.replica, server);
  const bool first = tier_of(r) == 0;
  if (scenario_.counts_at(r.first_due)) (first ? report_.attempts : report_.second_tier_attempts) += 1;
  const std::size_t at = attempts_.allocate();
  AttemptState& a = attempts_[at];
  a.request = request;
  a.server = server;
  a.number = static_cast<int>(r.attempts.size());
  a.sent = now_;
  a.deadline = now_ + std::max(0.0, std::min(timeout, r.deadline - now_));
  a.generation = events_.next_order();
  r.attempts.push_back(at);
  r.open_attempts += 1;
  if (first) in_flight_ += 1;
  server_states_[server].in_flight += 1;
  push(a.deadline, Event::Kind::kTimeout, at, a.generation);
  push(now_ + one_way_delay(), Event::Kind::kAtServer, at);
}

void Session::attempt_ended(std::size_t at, Outcome outcome) {
  AttemptState& a = attempts_[at];
  if (a.ended) return;
  a.ended = true;
  const std::size_t request = a.request;
  RequestState& r = requests_[request];
  if (tier_of(r) == 0) in_flight_ -= 1;
  r.open_attempts -= 1;
  const bool not_processed = outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed;
  const bool completes_request = outcome == Outcome::kSuccess && !r.finished;
  if (completes_request) complete_request(request, Final::kServed, 0);
  rules_.ended(r.id, static_cast<std::size_t>(a.number), !not_processed);
  if (front_ != Front::kModule) {
    if (!completes_request) complete_request(request, Final::kFailed, 0);
  } else {
    notify(r.replica, AttemptResult{r.id, a.number, outcome, now_ - a.sent, r.finished});
  }
  free_if_finished(request);
}

// Releases the records only once no server and no pending timeout refers to them any more.
void Session::free_if_finished(std::size_t at) {
  RequestState& r = requests_[at];
  if (!r.finished || r.open_attempts > 0 || r.id.empty()) return;
  for (const std::size_t a : r.attempts) {
    if (!attempts_[a].server_done) return;
  }
  by_id_.erase(r.id);
  for (const std::size_t a : r.attempts) attempts_.release(a);
  r.id.clear();
  requests_.release(at);
}

void Session::complete_request(std::size_t at, Final result, double retry_after) {
  RequestState& r = requests_[at];
  if (r.finished) {
    rules_.answered(now_, r.id, result);  // reports the duplicate result
    return;
  }
  r.finished = true;
  if (tier_of(r) > 0) {
    rules_.answered(now_, r.id, result);
    AttemptState& parent = attempts_[r.parent];
    if (parent.generation != r.parent_generation) return;
    parent.call_served = result == Final::kServed;
    return push(now_, Event::Kind::kCallEnded, r.parent, r.parent_generation);
  }
  --open_requests_;
  const double response_at = now_ + scenario_.net;
  rules_.answered(response_at, r.id, result);
  complete_for_client(at, result, response_at, retry_after);
}

}  // namespace thymewood::bench
