// State shared by the connection pools and attempts of one Upstream.
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
  double idle_timeout = 0;          // s; servers may close connections that have been idle for this long
  std::size_t max_connections = 0;  // over all pools
};

// Evicts an idle connection of any pool when the connection limit is reached.
class ConnectionEvictor {
 public:
  ConnectionEvictor() = default;
  ConnectionEvictor(const ConnectionEvictor&) = delete;
  ConnectionEvictor& operator=(const ConnectionEvictor&) = delete;

  // Closes the connection that has been idle the longest in any pool. Returns false if none is idle.
  [[nodiscard]] virtual bool evict_longest_idle() = 0;

 protected:
  ~ConnectionEvictor() = default;
};

// Owned jointly by the Upstream, its pools and its attempts, so that handlers that run after the Upstream is
// destroyed can detect that.
struct UpstreamContext {
  UpstreamContext(boost::asio::io_context& event_loop, const UpstreamLimits& upstream_limits,
                  MemoryBudget& budget, ConnectionEvictor& connection_evictor)
      : io(event_loop), limits(upstream_limits), memory_budget(budget), evictor(connection_evictor) {}

  boost::asio::io_context& io;
  UpstreamLimits limits;
  MemoryBudget& memory_budget;
  ConnectionEvictor& evictor;
  IdleLifetimeEstimate idle_lifetime;
  std::size_t connection_count = 0;  // over all pools, including connects in progress
  bool is_alive = true;              // false: the Upstream is destroyed; handlers return at once
};

inline double to_seconds(Clock::Steady::duration span) { return std::chrono::duration<double>(span).count(); }
inline double to_seconds(Clock::Steady::time_point time) { return to_seconds(time.time_since_epoch()); }

}  // namespace thymewood::node
