// A connection to a server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "clock.h"
#include "message.h"

namespace thymewood::node {

class ConnectionPool;

// Why a connection to a server was closed, for the log.
enum class CloseReason {
  kIdleTimeout,
  kClosedByServer,
  kEndpointUnusable,
  kServerRestarted,
  kUnexpectedBytes,
  kNotReusable,
  kConnectFailed,
  kConnectionLimit,
};

[[nodiscard]] const char* name_of(CloseReason reason);

// The state of one connection, managed by its pool.
struct UpstreamConnection {
  enum class State { kConnecting, kInUse, kIdle, kClosed };

  // Limit in bytes for received response data that is not parsed yet: a complete head and some more. It
  // bounds an endless line, such as a chunk extension, for which the parser would keep reading.
  static constexpr std::size_t kMaxUnparsed = kHeaderLimit + 16 * 1024;

  UpstreamConnection(boost::asio::io_context& io, std::shared_ptr<ConnectionPool> owner)
      : socket(io), timer(io), pool(std::move(owner)) {}

  // Returns whether the server has closed the connection or sent data that is unread. The event loop may not
  // have reported it yet.
  [[nodiscard]] bool is_readable();

  // Cancels pending operations and closes the socket.
  void close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;  // connect timeout, then idle timeout
  boost::beast::flat_buffer buffer{kMaxUnparsed};
  std::shared_ptr<ConnectionPool> pool;
  boost::asio::ip::tcp::endpoint endpoint;
  std::uint64_t server_incarnation = 0;       // of the server process it is connected to
  std::uint64_t idle_period = 0;              // identifies handlers of an earlier idle period
  Clock::Steady::time_point cool_down_until;  // when it may be reused
  bool has_carried_request = false;
  State state = State::kConnecting;
};

}  // namespace thymewood::node
