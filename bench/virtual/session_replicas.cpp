// The replicas of the node: start, end, events and actions.
#include <utility>
#include <variant>

#include "session.h"

namespace thymewood::bench {
namespace {

constexpr std::size_t kMaxLogLines = 20;

}  // namespace

void Session::start_replica(int replica) {
  const bool sidecar = replica >= scenario_.replicas;
  replicas_[static_cast<std::size_t>(replica)] = std::make_unique<Balancer>(
      sidecar ? scenario_.sidecar_settings(replica - scenario_.replicas) : scenario_.settings(replica),
      random_.below(1u << 30));
  EndpointUpdate full_list;
  const Range range = servers_of(sidecar ? 1 : 0);
  for (std::size_t i = range.first; i < range.end; ++i) {
    if (server_states_[i].routable) full_list.endpoints.push_back(endpoint_of(i, EndpointState::kReady));
  }
  notify(replica, full_list);
  notify(replica, Started{});
}

// A killed replica loses its state and its requests in flight; servers continue to process what they
// received.
void Session::end_replica(int replica) {
  if (!replicas_[static_cast<std::size_t>(replica)]) return;
  replicas_[static_cast<std::size_t>(replica)].reset();
  for (std::size_t at = 0; at < requests_.size(); ++at) {
    RequestState& r = requests_[at];
    if (r.id.empty() || r.replica != replica || !by_id_.contains(r.id)) continue;
    for (const std::size_t a : r.attempts) {
      if (!std::exchange(attempts_[a].ended, true) && tier_of(r) == 0) in_flight_ -= 1;
    }
    r.open_attempts = 0;
    rules_.gone(r.id);
    if (tier_of(r) == 0 && !r.finished) {
      fail_without_response(at);
    } else {
      r.finished = true;
      free_if_finished(at);
    }
  }
}

void Session::notify(int replica, const thymewood::Event& event) {
  // Other fronts have no replicas, but the rule monitor is notified all the same, so that it reports updates
  // that they ignore.
  const bool replica_running = replicas_[static_cast<std::size_t>(replica)] != nullptr;
  if (front_ == Front::kModule && !replica_running) return;
  std::vector<Action> actions;
  if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
    for (const Endpoint& s : update->endpoints)
      rules_.endpoint_notified(now_, replica, std::stoul(s.address.substr(1)),
                               s.state == EndpointState::kReady);
  }
  if (!replica_running) return;
  replicas_[static_cast<std::size_t>(replica)]->handle(now_, event, actions);
  for (const Action& action : actions) std::visit([&](const auto& a) { act(replica, a); }, action);
}

void Session::act(int, const Send& a) { send(by_id_.at(a.id), std::stoul(a.server.substr(1)), a.timeout); }
void Session::act(int, const Reject& a) { finish_request(a.id, Final::kRejected, a.retry_after); }
void Session::act(int, const Fail& a) { finish_request(a.id, Final::kFailed, 0); }
void Session::act(int, const Cancel&) {}  // the simulated servers do not support cancellation
void Session::act(int replica, const SetTimer& a) {
  push(a.at, Event::Kind::kTimer, static_cast<std::size_t>(replica), a.token);
}
void Session::act(int, const WatchEndpoints&) {}  // the scenario sends updates without a watch

void Session::act(int, const ListEndpoints&) {}
void Session::act(int replica, const SheddingReport& a) {
  if (report_.log.size() < kMaxLogLines)
    report_.log.push_back(std::to_string(now_) + " s, replica " + std::to_string(replica) + ": " +
                          describe(a));
}

void Session::finish_request(const std::string& id, Final result, double retry_after) {
  const std::size_t at = by_id_.at(id);
  complete_request(at, result, retry_after);
  free_if_finished(at);
}

void Session::record_concurrency_limit(Second& s) const {
  if (!replicas_[0]) return;
  const ConcurrencyLimitView view = replicas_[0]->concurrency_limit(now_);
  s.idle_latency = view.idle_latency;
  s.concurrency_limit = view.limit;
  s.probed_bound = view.probed_bound;
}

}  // namespace thymewood::bench
