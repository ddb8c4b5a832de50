// The state that the connection pools and attempts of one Upstream share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>

#include "clock.h"
#include "idle_lifetime.h"
#include "memory_budget.h"

namespace thymewood::node {

struct UpstreamLimits {
  double connect_timeout = 0;       // s
  double idle_timeout = 0;          // s; a server may close a connection that has been idle for this long
  std::size_t max_connections = 0;  // over all pools
};

// Frees a connection of another pool where the connection limit is reached.
class ConnectionEvictor {
 public:
  ConnectionEvictor() = default;
  ConnectionEvictor(const ConnectionEvictor&) = delete;
  ConnectionEvictor& operator=(const ConnectionEvictor&) = delete;

  // Closes the connection that has been idle the longest over all pools; false where none is idle.
  [[nodiscard]] virtual bool evict_longest_idle() = 0;

 protected:
  ~ConnectionEvictor() = default;
};

// Owned jointly by the Upstream, its pools and its attempts, so that handlers which are still in the event
// loop when the Upstream ends can see that it has ended.
struct UpstreamContext {
  UpstreamContext(boost::asio::io_context& event_loop, const UpstreamLimits& upstream_limits,
                  MemoryBudget& budget, ConnectionEvictor& connection_evictor)
      : io(event_loop), limits(upstream_limits), memory_budget(budget), evictor(connection_evictor) {}

  boost::asio::io_context& io;
  UpstreamLimits limits;
  MemoryBudget& memory_budget;
  ConnectionEvictor& evictor;
  IdleLifetimeEstimate idle_lifetime;
  std::size_t connection_count = 0;  // over all pools, those being connected included
  bool is_alive = true;              // false: the Upstream has ended, and handlers do nothing
};

inline double seconds_of(Clock::Steady::duration span) { return std::chrono::duration<double>(span).count(); }
inline double seconds_of(Clock::Steady::time_point at) { return seconds_of(at.time_since_epoch()); }

}  // namespace thymewood::node
