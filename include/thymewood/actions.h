// What a Balancer asks its host to do. Times are seconds on the host's clock, durations seconds.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace thymewood {

// Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in the order of their Sends.
struct Send {
  std::string id;
  std::string server;
  double timeout = 0;
  // When its last byte has to be out: servers deduplicate it until then. A host that can't send it by then
  // ends it as kNotSent or kConnectFailed.
  double send_by = std::numeric_limits<double>::infinity();
};

// Final answer: rejected, with the promise that a retry is harmless.
struct Reject {
  std::string id;
  double retry_after = 0;  // 0: none
};

// Final answer: failed; nothing is promised.
struct Fail {
  std::string id;
};

// Stops waiting for one attempt.
struct Cancel {
  std::string id;
  int attempt = 0;
};

// Asks for a TimerFired with the same token.
struct SetTimer {
  double at = 0;
  std::uint64_t token = 0;
};

// Opens a watch on discovery: endpoint changes from now on.
struct WatchEndpoints {};

// How many requests were rejected, and why, since the last report. At most one in ten seconds.
struct SheddingReport {
  int over_tenant_limit = 0;  // beyond their tenant's learned limit
  int no_capacity = 0;        // no server had capacity
  int too_little_time = 0;    // the client's timeout was shorter than a usual answer takes
};

// One line for people, such as a log's.
std::string describe(const SheddingReport& report);

using Action = std::variant<Send, Reject, Fail, Cancel, SetTimer, WatchEndpoints, SheddingReport>;

}  // namespace thymewood
