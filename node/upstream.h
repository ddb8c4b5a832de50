// The HTTP client side of a node: its connections to servers, and the attempts of requests on them.
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
  using End = AttemptEnd;
  using Handle = std::weak_ptr<UpstreamAttempt>;

  Upstream(boost::asio::io_context& io, const Limits& limits, MemoryBudget& memory_budget);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Adds or updates an endpoint: where the server listens, and whether it accepts new requests. `started_at`
  // tells one of its processes from the next, whose connections are not those of the last.
  void update_endpoint(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                       double started_at, bool is_usable);

  // Removes an endpoint: requests that are written completely go on, all others end.
  void remove_endpoint(const std::string& server);

  // Sends a request, once, and reports its end exactly once, never from within this call. A request that is
  // not `is_retryable` is kept off connections that may have been dropped while idle. One whose time has
  // passed before its first byte, or that may not be sent by then, ends as kNotSent.
  Handle start(const std::string& server, const std::shared_ptr<const HttpRequest>& request, AttemptTime time,
               bool is_retryable, AttemptCallbacks callbacks);

  // The attempt ends by the deadline, if not sooner.
  void shorten_deadline(const Handle& attempt, Clock::Steady::time_point deadline);

  // Ends an attempt as kNotSent, unless its last byte is written: then it goes on.
  void withdraw(const Handle& attempt);

  // Closes the attempt's connection; it is reported as kCancelled, unless its end is about to be reported.
  void cancel(const Handle& attempt);

  [[nodiscard]] std::size_t connection_count() const { return context_->connection_count; }

 private:
  [[nodiscard]] bool evict_longest_idle() override;

  std::shared_ptr<UpstreamContext> context_;
  std::map<std::string, std::shared_ptr<ConnectionPool>> pools_;  // by endpoint
};

}  // namespace thymewood::node
