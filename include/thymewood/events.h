// Events that a host passes to a Balancer. Times are seconds on the host's clock; durations are in seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace thymewood {

// The replica has started. This is the first event.
struct Started {};

// A client's request has arrived and needs a server.
struct Request {
  std::string id;
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double time_left = 0;          // time until the client's timeout
  std::optional<double> work;    // work announced by the client, seconds on a standard core
  bool is_client_retry = false;  // the client marked it as a retry
};

// How an attempt ended.
enum class Outcome {
  kSuccess,        // a complete response for the client
  kError,          // the server answered with an error
  kRejected,       // the server rejected it without processing it: overloaded or draining
  kTimedOut,       // no response within the attempt's timeout
  kConnectFailed,  // no connection was established
  kReset,          // the connection broke while the attempt was in flight
  kCancelled,      // cancelled by a Cancel action
  kNotSent,        // never left this replica
  kUnknown         // anything else: the attempt may have run
};

// A streaming response has started: the client receives its data from now on, so the attempt is neither
// retried nor cancelled.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;
};

// An attempt has ended. Each Send action results in exactly one of these events.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;             // since it was sent
  bool request_complete = false;  // the client needs no further response
};

// The client disconnected or timed out; no final answer is needed any more.
struct RequestAbandoned {
  std::string id;
};

enum class EndpointState { kReady, kDraining, kRemoved };

// A server as listed by discovery.
struct Endpoint {
  std::string address;
  int zone = 0;
  int cell = 0;
  double weight = 1;      // capacity relative to other servers
  double started_at = 0;  // when its process last started; 0: long before now
  EndpointState state = EndpointState::kReady;
};

// A call to discovery: a watch of the changes, or a single request for the complete list.
enum class DiscoveryCall { kWatch, kList };

// Describes how a call to discovery failed, or how a watch ended.
struct WatchFailure {
  bool had_responded = false;  // an open watch that had delivered a response
  double wait_time = 0;        // how long the call waited for a response
  DiscoveryCall call = DiscoveryCall::kWatch;
};

// A response of discovery, or the failure of a call to it.
struct EndpointUpdate {
  enum class Form {
    kDelta,  // only the changed endpoints
    kFull,   // the complete list: endpoints missing from it are removed
    kFailed  // the call failed or the watch broke; the known endpoints are kept
  };
  Form form = Form::kFull;
  std::vector<Endpoint> endpoints;
  std::optional<WatchFailure> failure = std::nullopt;  // set with kFailed if the host knows the cause
};

// Whether the endpoint list is up to date. Before the first such event, the list counts as current only if
// Settings::endpoint_lease is infinite.
struct EndpointListFreshness {
  enum class State {
    kCurrent,         // a watch is open and all of its updates have been delivered
    kStale,           // no watch is open, or the watch has gone silent
    kCallUnanswered,  // a call has had no response so far; see also EndpointUpdate::failure
    kDiscoveryMoved   // discovery has moved to another address: changes it already had count as notified
                      // sooner
  };
  State state = State::kCurrent;
  double current_until = 0;  // with kStale: the time until which the list was current
};

// Discovery has answered a ListEndpoints action. The EndpointUpdate with the list precedes this event, and no
// watch is open.
struct EndpointsListed {
  double current_until = 0;  // the list was current at this time
  double wait_time = 0;      // how long the call waited for its response
};

// The live replicas of the load balancer and the rank of this one among them. Overrides the configured
// replica_count and replica_index. It changes how requests are spread and how far shared limits apply here;
// it never makes an endpoint usable.
struct ReplicaSetChanged {
  int rank = 0;        // rank of this replica among the live ones, 0 .. live_count - 1
  int live_count = 1;  // number of live replicas
  int max_count = 1;   // replicas that may be running, at least live_count: they share the servers' limits
  bool is_settling = false;  // replicas may have different views of the set: their subsets overlap more
};

struct TimerFired {
  std::uint64_t token = 0;
};

using Event = std::variant<Started, Request, ResponseStarted, AttemptResult, RequestAbandoned, EndpointUpdate,
                           EndpointListFreshness, EndpointsListed, ReplicaSetChanged, TimerFired>;

}  // namespace thymewood
