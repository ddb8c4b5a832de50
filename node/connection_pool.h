// The connections to one endpoint and the attempts that wait for a connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "preconnect.h"
#include "upstream_connection.h"
#include "upstream_context.h"

namespace thymewood::node {

class UpstreamAttempt;

// Owns the idle connections. A connection in use is owned by its attempt and returned by release().
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  ConnectionPool(std::string server, std::shared_ptr<UpstreamContext> context)
      : server_(std::move(server)), context_(std::move(context)) {}

  // Sets the server's address and whether it accepts new requests. A change of `started_at` means that the
  // server has restarted, so that its earlier connections must not be reused.
  void update_endpoint(const boost::asio::ip::tcp::endpoint& endpoint, double started_at, bool is_usable);

  // Removes the endpoint: requests that are completely written continue, all other attempts end.
  void remove_endpoint();

  // Closes the idle connections and drops the waiting attempts, which hold references to the pool.
  void shut_down();

  // Sends the attempt on an idle connection, or on the first one that is released or established.
  void assign_connection(const std::shared_ptr<UpstreamAttempt>& attempt);

  // Returns the connection of a finished attempt. `idle_since`: when the response arrived.
  void release(const std::shared_ptr<UpstreamConnection>& connection, Clock::Steady::time_point idle_since);

  // Closes a connection that has no request in flight.
  void close(const std::shared_ptr<UpstreamConnection>& connection, CloseReason reason);

  // Removes an attempt that no longer needs a connection.
  void remove_waiting(const std::shared_ptr<UpstreamAttempt>& attempt);

  // Registers an attempt whose request is partly written, while its socket is not writable.
  void add_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt);
  void remove_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt);

  // Returns whether a request may be sent on the connection: it was established to the current server
  // process, and that process accepts requests.
  [[nodiscard]] bool is_usable(const UpstreamConnection& connection) const {
    return is_usable_ && connection.server_incarnation == server_incarnation_;
  }

  // Returns the connection that has been idle the longest, or null if none is idle.
  [[nodiscard]] const UpstreamConnection* longest_idle() const {
    return idle_.empty() ? nullptr : idle_.front().get();
  }
  void evict_longest_idle();

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  enum class Origin { kConnected, kReleased };  // how a connection became available

  void connect();
  void on_connect_ended(const std::shared_ptr<UpstreamConnection>& connection, bool is_connected);
  void make_available(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                      Clock::Steady::time_point idle_since);
  void add_idle(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                Clock::Steady::time_point idle_since);
  [[nodiscard]] std::shared_ptr<UpstreamConnection> take_idle(bool is_retryable);
  [[nodiscard]] std::shared_ptr<UpstreamConnection> take_idle_at(std::size_t index);
  [[nodiscard]] bool has_spare_cooling_down() const;
  [[nodiscard]] bool reserve_capacity();
  [[nodiscard]] CloseReason close_reason(const UpstreamConnection& connection) const;
  void serve_waiting();
  void serve_waiting_after_cool_down();
  void on_cool_down_ended();
  void fail_unserved_attempt();
  void close_idle();
  void end_partly_written();

  std::string server_;
  std::shared_ptr<UpstreamContext> context_;
  boost::asio::ip::tcp::endpoint endpoint_;
  double started_at_ = 0;
  std::uint64_t server_incarnation_ = 1;  // incremented whenever the endpoint's address or start time changes
  bool is_usable_ = false;
  std::vector<std::shared_ptr<UpstreamConnection>> idle_;  // most recently used last
  // For each one a connect is in progress or the cool-down of a connection ends soon.
  std::deque<std::shared_ptr<UpstreamAttempt>> waiting_;
  std::vector<std::shared_ptr<UpstreamAttempt>> partly_written_;
  std::size_t connecting_count_ = 0;
  std::size_t cool_down_waits_ = 0;  // pending calls to on_cool_down_ended
  PreconnectPolicy preconnect_;
};

}  // namespace thymewood::node
