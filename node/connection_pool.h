// The connections to one endpoint, and the attempts that wait for one.
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

// Owns the idle connections; one that is in use is owned by its attempt and comes back by release().
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  ConnectionPool(std::string server, std::shared_ptr<UpstreamContext> context)
      : server_(std::move(server)), context_(std::move(context)) {}

  // Where the server listens, and whether it accepts new requests. `started_at` tells one of its processes
  // from the next, whose connections are not those of the last.
  void update_endpoint(const boost::asio::ip::tcp::endpoint& endpoint, double started_at, bool is_usable);

  // The endpoint is removed: requests that are written completely go on, all others end.
  void remove_endpoint();

  // Closes the idle connections and forgets the waiting attempts, which own the pool in turn.
  void shut_down();

  // Has the attempt sent on an idle connection, or on the first one that becomes free or is connected.
  void assign_connection(const std::shared_ptr<UpstreamAttempt>& attempt);

  // Takes back the connection of an attempt that has ended. `idle_since`: when its response arrived.
  void release(const std::shared_ptr<UpstreamConnection>& connection, Clock::Steady::time_point idle_since);

  // Closes a connection that carries no request.
  void close(const std::shared_ptr<UpstreamConnection>& connection, CloseReason reason);

  // The attempt no longer needs a connection.
  void remove_waiting(const std::shared_ptr<UpstreamAttempt>& attempt);

  // An attempt whose request is written in part, while the server accepts no more of it for now.
  void add_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt);
  void remove_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt);

  // Whether a request may be sent on the connection: it leads to the server's present process, which accepts
  // requests.
  [[nodiscard]] bool is_usable(const UpstreamConnection& connection) const {
    return is_usable_ && connection.server_incarnation == server_incarnation_;
  }

  // The connection that has been idle the longest, if any is.
  [[nodiscard]] const UpstreamConnection* longest_idle() const {
    return idle_.empty() ? nullptr : idle_.front().get();
  }
  void evict_longest_idle();

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  enum class Origin { kConnected, kReleased };  // how a connection becomes free

  void connect();
  void on_connect_ended(const std::shared_ptr<UpstreamConnection>& connection, bool is_connected);
  void make_available(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                      Clock::Steady::time_point idle_since);
  void add_idle(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                Clock::Steady::time_point idle_since);
  [[nodiscard]] std::shared_ptr<UpstreamConnection> take_idle(bool is_retryable);
  [[nodiscard]] std::shared_ptr<UpstreamConnection> take_from_idle(std::size_t index);
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
  std::uint64_t server_incarnation_ = 1;  // counts the server processes that were announced
  bool is_usable_ = false;
  std::vector<std::shared_ptr<UpstreamConnection>> idle_;  // the most recently used last
  // Each has a connect under way, or a connection whose cool-down ends soon.
  std::deque<std::shared_ptr<UpstreamAttempt>> waiting_;
  std::vector<std::shared_ptr<UpstreamAttempt>> partly_written_;
  std::size_t connecting_count_ = 0;
  std::size_t cool_down_waits_ = 0;  // pending calls of on_cool_down_ended
  PreconnectPolicy preconnect_;
};

}  // namespace thymewood::node
