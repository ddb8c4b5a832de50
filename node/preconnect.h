// Decides when to open an additional connection to an endpoint ahead of need, while all of its idle
// connections are in their cool-down.
//
// A connection cools down briefly after each response (see connection_pool.cpp), so an endpoint needs as many
// connections as requests arrive within the cool-down, in addition to those in flight. Otherwise a client
// that sends its next request at once would wait for the cool-down each time. But each connection costs the
// server a handshake, and servers limit their number of connections: each request therefore earns a fraction
// of a connect, and a failed connect suspends preconnecting for a while. At low request rates, requests find
// connections past their cool-down and none are opened. At high rates, the pool grows to the size that the
// load needs, and the load keeps it in use.
//
// Free of I/O and clocks: counts requests only.
#pragma once

#include <algorithm>

namespace thymewood::node {

class PreconnectPolicy {
 public:
  // Called for each request to the endpoint, on any connection.
  void on_request() { credit_ = std::min(kMaxCredit, credit_ + 1 / kRequestsPerConnect); }

  // Returns whether to open another connection. If so, deducts the credit for one connect.
  [[nodiscard]] bool try_preconnect() {
    if (credit_ < 1) return false;
    credit_ -= 1;
    return true;
  }

  // The endpoint may have reached its own connection limit, so a failure suspends preconnecting.
  void on_connect_failed() { credit_ = -kFailurePenalty; }

 private:
  static constexpr double kRequestsPerConnect = 16;
  static constexpr double kMaxCredit = 2;       // connects
  static constexpr double kFailurePenalty = 8;  // connects

  double credit_ = 0;  // connects
};

}  // namespace thymewood::node
