// One connection to a server.
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

// Why a connection to a server is closed; the log names it.
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

// The state of one connection; its pool decides on it.
struct UpstreamConnection {
  enum class State { kConnecting, kInUse, kIdle, kClosed };

  // Bytes of a response that may be buffered unparsed: a whole head and some more. It bounds a line that does
  // not end, such as a chunk extension, for which the parser would go on reading.
  static constexpr std::size_t kMaxUnparsed = kHeaderLimit + 16 * 1024;

  UpstreamConnection(boost::asio::io_context& io, std::shared_ptr<ConnectionPool> owner)
      : socket(io), timer(io), pool(std::move(owner)) {}

  // Whether the server has closed it or sent anything unread. The event loop may not have reported it yet.
  [[nodiscard]] bool is_readable();

  // Cancels its operations and closes the socket.
  void close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;  // for the connect, then for the idle timeout
  boost::beast::flat_buffer buffer{kMaxUnparsed};
  std::shared_ptr<ConnectionPool> pool;
  boost::asio::ip::tcp::endpoint endpoint;
  std::uint64_t server_incarnation = 0;       // of the server process that it leads to
  std::uint64_t idle_period = 0;              // tells the handlers of one idle period from those of another
  Clock::Steady::time_point cool_down_until;  // when it may carry the next request
  bool has_carried_request = false;
  State state = State::kConnecting;
};

}  // namespace thymewood::node
