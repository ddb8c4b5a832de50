// What a Balancer is notified of. Times are seconds on the host's clock, durations seconds.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace thymewood {

// The replica starts; the first event.
struct Started {};

// A client's request needs a server.
struct Request {
  std::string id;
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double time_left = 0;          // until the client's timeout
  std::optional<double> work;    // announced work, seconds on a standard core
  bool is_client_retry = false;  // the client marked it as a retry of its own
};

// How an attempt ended.
enum class Outcome {
  kSuccess,        // a complete response for the client
  kError,          // the server answered with an error
  kRejected,       // the server rejected it unprocessed: full or draining
  kTimedOut,       // no response in time
  kConnectFailed,  // no connection was established
  kReset,          // the connection broke while the attempt was in flight
  kCancelled,      // withdrawn by Cancel
  kNotSent,        // never left this replica
  kUnknown         // anything else: it may have run
};

// A streaming response has begun; from here on the attempt belongs to the client and is not retried.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  double elapsed = 0;
};

// An attempt has ended. Each Send gets exactly one.
struct AttemptResult {
  std::string id;
  int attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  double elapsed = 0;             // since it was sent
  bool request_complete = false;  // the request needs no further answer
};

// The client disconnected or timed out; no answer is owed any more.
struct RequestAbandoned {
  std::string id;
};

enum class EndpointState { kReady, kDraining, kRemoved };

// A server as discovery lists it.
struct Endpoint {
  std::string address;
  int zone = 0;
  int cell = 0;
  double weight = 1;      // capacity in comparison with other servers
  double started_at = 0;  // when its process last started; 0: long ago
  EndpointState state = EndpointState::kReady;
};

// How a call to discovery failed, or a watch ended.
struct WatchFailure {
  bool was_open = false;  // a watch that had answered
  double waited = 0;      // how long the call was out without an answer
};

// Discovery's answer, or its failure to answer.
struct EndpointUpdate {
  enum class Form {
    kDelta,  // only what changed
    kFull,   // the complete list: what it lacks is removed
    kFailed  // the call failed or the watch broke; what is known stays
  };
  Form form = Form::kFull;
  std::vector<Endpoint> endpoints;
  std::optional<WatchFailure> failure = std::nullopt;  // with kFailed, where the host can say
};

// Whether the endpoint list is kept up to date. Without this event it counts as current.
struct EndpointListFreshness {
  enum class State {
    kCurrent,  // a watch is open and has delivered all it had
    kStale,    // no watch is open, or it is silent
    kMoved     // discovery has moved: changes it already had count as notified sooner
  };
  State state = State::kCurrent;
  double as_of = 0;  // kStale: until when the list was current
};

// The live replicas of the load balancer and this one's place among them, where that is known better than by
// the settings. It spreads work and tightens limits; it never makes an endpoint usable.
struct ReplicaSetChanged {
  int rank = 0;        // this replica's place among the live ones, 0 .. live_count - 1
  int live_count = 1;  // live replicas
  int max_count = 1;   // replicas that may be running, at least live_count: a shared limit is split by it
  bool is_settling = false;  // replicas may see different sets for now: their subsets overlap more
};

struct TimerFired {
  std::uint64_t token = 0;
};

using Event = std::variant<Started, Request, ResponseStarted, AttemptResult, RequestAbandoned, EndpointUpdate,
                           EndpointListFreshness, ReplicaSetChanged, TimerFired>;

}  // namespace thymewood
