// Decides when one more connection to an endpoint is opened ahead of need, while all of its idle connections
// are in their cool-down.
//
// A connection cools down for a moment after each response (see connection_pool.cpp), so an endpoint needs as
// many connections as requests arrive within that moment, beside those in flight. A client that sends its
// next request at once would otherwise wait for the cool-down each time. But a connection costs the server a
// handshake, and a server accepts only so many: each request earns a fraction of a connect, and a failed
// connect suspends pre-connecting for a while. Where requests are far apart they find connections past their
// cool-down and nothing is opened; where they are dense, the pool grows to the size that the load needs and
// the load keeps it in use.
//
// Free of I/O and clocks: it counts requests only.
#pragma once

#include <algorithm>

namespace thymewood::node {

class PreconnectPolicy {
 public:
  // A request goes to the endpoint, over whichever connection.
  void on_request() { credit_ = std::min(kMaxCredit, credit_ + 1 / kRequestsPerConnect); }

  // Spends the credit of one connect, where there is that much; true: open one more connection.
  [[nodiscard]] bool try_preconnect() {
    if (credit_ < 1) return false;
    credit_ -= 1;
    return true;
  }

  // The endpoint may have reached its own connection limit.
  void on_connect_failed() { credit_ = -kFailurePenalty; }

 private:
  static constexpr double kRequestsPerConnect = 16;
  static constexpr double kMaxCredit = 2;       // connects
  static constexpr double kFailurePenalty = 8;  // connects

  double credit_ = 0;  // connects
};

}  // namespace thymewood::node
