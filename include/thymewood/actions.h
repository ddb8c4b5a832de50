// Actions that a Balancer requests from its host. Times are seconds on the host's clock; durations are in
// seconds.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace thymewood {

// Starts an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of their Send actions.
struct Send {
  std::string id;
  std::string server;
  double timeout = 0;
  // The last byte of the request must be sent by this time, because servers deduplicate the attempt only
  // until then. A host that cannot send it in time reports kNotSent or kConnectFailed.
  double send_by = std::numeric_limits<double>::infinity();
};

// Final answer: the request is rejected, and the client can safely retry it.
struct Reject {
  std::string id;
  double retry_after = 0;  // 0: no Retry-After
};

// Final answer: the request failed. A retry by the client may not be safe.
struct Fail {
  std::string id;
};

// Cancels one attempt, whose response is no longer needed.
struct Cancel {
  std::string id;
  int attempt = 0;
};

// Requests a TimerFired event with the same token at the time `at`.
struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Opens a watch on discovery, which reports endpoint changes from now on.
struct WatchEndpoints {};

// Requests the complete endpoint list from discovery once, without a watch.
struct ListEndpoints {};

// Numbers of requests rejected since the last report, by reason. Emitted at most once in ten seconds.
struct SheddingReport {
  int over_tenant_limit = 0;  // above the learned rate limit of their tenant
  int no_capacity = 0;        // no server had capacity
  int too_little_time = 0;    // the client's timeout was shorter than the usual latency
};

// Formats the report as one line of text, such as a log message.
std::string describe(const SheddingReport& report);

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, WatchEndpoints, ListEndpoints, SheddingReport>;

}  // namespace thymewood
