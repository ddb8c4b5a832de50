// Connects the balancer to the sockets: passes events to it and performs the actions that it returns. Makes
// no policy decisions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "abandoned_ids.h"
#include "address_owners.h"
#include "clock.h"
#include "endpoint_list.h"
#include "endpoint_watch.h"
#include "isolation.h"
#include "message.h"
#include "pending_requests.h"
#include "thymewood/balancer.h"
#include "upstream.h"

namespace thymewood::node {

class Dispatcher : public EndpointListener {
 public:
  Dispatcher(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
             std::size_t max_pending_requests, Upstream& upstream, EndpointWatch& endpoint_watch);

  // Starts with the endpoints known before startup, if any. If lists are pushed, requests are deferred until
  // the first list arrives or a short timeout expires.
  void start(const EndpointList& known);
  bool can_serve() const;

  // Until the first pushed list arrives it is not known whether the node can serve. `callback` is called once
  // it is known.
  bool is_awaiting_first_list() const { return is_awaiting_first_list_; }
  void notify_on_first_list(std::function<void()> callback) {
    first_list_callbacks_.push_back(std::move(callback));
  }

  // Sends the final response to every pending and future request by `max_deadline`, in seconds on the node's
  // clock.
  void limit_deadlines(double max_deadline);

  // Accepts a request whose client times out after `event.time_left`. The response handler may be called
  // before this returns. If memory is exhausted, throws std::exception and does not accept the request.
  void submit(Request event, std::shared_ptr<const HttpRequest> message, ResponseHandler handler);
  // Whether a request with this id is pending, or may have run for a client that has disconnected.
  [[nodiscard]] bool is_duplicate(const std::string& id);
  void on_client_disconnected(const std::string& id);

  void on_endpoints(const EndpointList& listed) override;
  void on_list_current() override;
  void on_list_stale(double as_of) override;
  void on_call_unanswered() override;
  void on_endpoints_listed(double as_of, double wait_time) override;
  void on_discovery_moved() override;
  void on_watch_failed(const WatchFailure& failure) override;

  // The live nodes of the replica set have changed.
  void on_replica_set(const membership::ReplicaSetView& view);
  // From now on, rejects requests immediately while this node is isolated from both replicas and servers.
  void reject_when_isolated(const membership::IsolationConfig& config) { isolation_.emplace(config); }

 private:
  void post_event(Event event);
  void dispatch(const Event& event);
  void on_first_list();
  void on_attempt_ended(const std::string& id, int attempt, double sent_at, Upstream::Result&& end);
  void on_deadline(const std::string& id);
  void set_ready(const std::string& server, bool is_ready);
  void remove_unlisted(const EndpointList& list);
  bool may_send(const std::string& id);
  void refresh_list(double now);

  void perform(const Send& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const Cancel& action);
  void perform(const SetTimer& action);
  void perform(const WatchEndpoints& action);
  void perform(const ListEndpoints& action);
  void perform(const SheddingReport& action);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Balancer balancer_;
  Upstream& upstream_;
  EndpointWatch& endpoint_watch_;
  PendingRequests requests_;
  AbandonedIds abandoned_ids_;
  AddressOwners address_owners_;
  std::optional<membership::IsolationDetector> isolation_;

  bool uses_watch_;
  std::size_t max_pending_requests_;
  double default_retry_after_;  // s; for requests rejected without a Retry-After from the balancer
  std::vector<Idempotency> idempotency_by_class_;
  std::minstd_rand jitter_;

  bool is_awaiting_first_list_ = false;  // only if lists are pushed
  std::vector<Request> deferred_requests_;
  std::vector<std::function<void()>> first_list_callbacks_;

  double max_deadline_ = std::numeric_limits<double>::infinity();  // s on the node's clock
  double list_refreshed_at_ = 0;                                   // s on the node's clock
  std::unordered_map<std::string, bool> ready_by_server_;          // by server
  std::size_t ready_servers_ = 0;
  std::deque<Event> queued_events_;  // to be dispatched after the current event
  bool is_dispatching_ = false;
};

}  // namespace thymewood::node
