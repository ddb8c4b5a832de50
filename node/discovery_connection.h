// One call to discovery: connects, sends the request and reads the response, a stream of JSON objects.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "clock.h"
#include "object_stream.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// Why a call to discovery ended. The log writes them as in docs/operators/log.md.
enum class WatchEndReason {
  kConnectFailed,
  kConnectTimedOut,
  kWriteFailed,
  kWaitFailed,
  kReadFailed,
  kClosed,
  kSilent,              // nothing came for too long
  kServiceUnavailable,  // status 503
  kUnexpectedStatus,
  kMalformedResponse,  // not HTTP
  kMalformedList,
  kComplete  // the response ended, which a watch does not
};

struct WatchEnd {
  WatchEndReason reason = WatchEndReason::kClosed;
  boost::system::error_code error;
  WatchFailure failure;
  double heard_at = 0;  // s on the clock; when anything was last received
};

class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
 public:
  // Any of these may abandon the connection.
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    virtual ~Owner() = default;

    // s; how long the connection may stay silent.
    virtual double silence_timeout(bool has_response) const = 0;
    // The head of a response with status 200, with its Date field.
    virtual void on_response_started(std::string_view date) = 0;
    // A part of the body has come; the one before it came at `previous`, s on the clock.
    virtual void on_data(double previous) = 0;
    virtual void on_object(DiscoveryConnection& from, std::string_view object) = 0;
    // All objects that have begun are complete.
    virtual void on_caught_up() = 0;
    virtual void on_unreadable(const std::string& problem) = 0;
    virtual void on_ended(DiscoveryConnection& from, const WatchEnd& end) = 0;
  };

  DiscoveryConnection(boost::asio::io_context& io, const Clock& clock, Owner& owner)
      : owner_(&owner), clock_(clock), socket_(io), timer_(io) {}

  // Requests the changes after `version`; without one, the complete list.
  void start(const boost::asio::ip::tcp::endpoint& discovery, std::optional<std::uint64_t> version);
  // Reads all that has been received. Between two calls no operation uses the parser and its buffer, so this
  // may be called at any time. False: the connection has ended or was abandoned.
  bool read_available();
  // Ends it and notifies the owner.
  void end(WatchEndReason reason, boost::system::error_code error = {});
  // Ends it without notifying the owner.
  void abandon();

  double heard_at() const { return heard_at_; }

 private:
  void send_request();
  void restart_timer(double seconds);
  void on_timer();
  void await_data();
  bool read_until_empty();
  bool parse_received();
  bool check_head();
  void take_body();
  void close();

  Owner* owner_;  // null once ended
  const Clock& clock_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // for the connection, then for the next byte
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} * 1024 * 1024;
  ObjectStream objects_{kMaxObjectBytes};
  Clock::Steady::time_point started_at_ = Clock::Steady::now();
  Clock::Steady::time_point requested_at_;  // when the request was written
  double heard_at_ = 0;                     // s on the clock
  bool is_requested_ = false;               // the request is written
  bool has_response_ = false;               // with status 200
  bool is_reading_ = false;                 // guards against a read from within on_object
};

}  // namespace thymewood::node
