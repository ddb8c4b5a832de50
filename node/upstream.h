// The HTTP client side of a node: connections to servers and the request attempts on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "clock.h"
#include "memory_budget.h"
#include "message.h"
#include "upstream_attempt.h"
#include "upstream_context.h"

namespace thymewood::node {

class ConnectionPool;

// Owns one connection pool for each endpoint.
class Upstream final : private ConnectionEvictor {
 public:
  using Limits = UpstreamLimits;
  using Result = UpstreamAttemptResult;
  using Handle = std::weak_ptr<UpstreamAttempt>;

  Upstream(boost::asio::io_context& io, const Limits& limits, MemoryBudget& memory_budget);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Adds or updates an endpoint: the server's address and whether it accepts new requests. A change of
  // `started_at` means that the server has restarted, so that its earlier connections must not be reused.
  void update_endpoint(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                       double started_at, bool is_usable);

  // Removes an endpoint: requests that are completely written continue, all other attempts end.
  void remove_endpoint(const std::string& server);

  // Sends a request at most once and reports its result exactly once, never from within this call. A request
  // that is not `is_retryable` avoids connections that may have been dropped while idle. An attempt that has
  // timed out before its first byte is written, or that cannot be sent in time, ends as kNotSent.
  Handle start(const std::string& server, const std::shared_ptr<const HttpRequest>& request,
               AttemptTimeouts timeouts, bool is_retryable, AttemptCallbacks callbacks);

  // Moves the attempt's deadline to an earlier time; a later one has no effect.
  void shorten_deadline(const Handle& attempt, Clock::Steady::time_point deadline);

  // Ends an attempt as kNotSent unless its last byte is written, in which case it continues.
  void cancel_if_unsent(const Handle& attempt);

  // Closes the attempt's connection. The attempt is reported as kCancelled unless another result is already
  // pending.
  void cancel(const Handle& attempt);

  [[nodiscard]] std::size_t connection_count() const { return context_->connection_count; }

 private:
  [[nodiscard]] bool evict_longest_idle() override;

  std::shared_ptr<UpstreamContext> context_;
  std::map<std::string, std::shared_ptr<ConnectionPool>> pools_;  // by server name
};

}  // namespace thymewood::node
