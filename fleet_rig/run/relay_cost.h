// Measures what a relay adds to a round trip on loopback: one byte there and back on one connection,
// alternately direct and through a relay, while other connections are open on the relay.
#pragma once

#include <cstddef>

namespace thymewood::fleet {

struct RelayCost {
  double direct_p50 = 0, direct_p99 = 0, relayed_p50 = 0, relayed_p99 = 0;  // s, round trip
  std::size_t open_connections = 0;  // connections open during the measurement
};

RelayCost measure_relay_cost(std::size_t connections, int rounds);
int print_relay_cost(std::size_t connections);

}  // namespace thymewood::fleet
