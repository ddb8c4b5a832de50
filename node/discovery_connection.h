// One call to discovery, a watch or a request for the complete list: connects, sends the request and reads
// the response, a stream of JSON objects.
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

// Why a watch connection ended. docs/operators/log.md lists the names that the log uses for these.
enum class WatchEndReason {
  kConnectFailed,
  kConnectTimedOut,
  kWriteFailed,
  kWaitFailed,
  kReadFailed,
  kClosed,
  kSilent,              // no data within the silence timeout
  kServiceUnavailable,  // status 503
  kUnexpectedStatus,
  kMalformedResponse,  // not HTTP
  kMalformedList,
  kComplete,  // the response ended; that of a watch should not
  kListed     // the requested list has been received
};

struct WatchEnd {
  WatchEndReason reason = WatchEndReason::kClosed;
  boost::system::error_code error;
  WatchFailure failure;
  double last_received_at = 0;  // s on the node's clock; time at which data was last received
  double responded_at = 0;  // s on the node's clock; time at which the header of the response was received
};

class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
 public:
  // Any of these callbacks may call abandon() on the connection.
  class Owner {
   public:
    Owner() = default;
    Owner(const Owner&) = delete;
    Owner& operator=(const Owner&) = delete;
    virtual ~Owner() = default;

    // Maximum time without received data, in seconds.
    virtual double silence_timeout(bool has_response) const = 0;
    // The call has waited for a response so long that discovery may be unavailable.
    virtual void on_response_overdue() = 0;
    // The header of a response with status 200 was received. `date` is its Date field.
    virtual void on_response_started(std::string_view date) = 0;
    // Part of the body was received. `previous_data_at` is when the previous part was received, in seconds on
    // the node's clock.
    virtual void on_data_received(double previous_data_at) = 0;
    virtual void on_object(DiscoveryConnection& connection, std::string_view object) = 0;
    // No partially received object remains.
    virtual void on_all_objects_complete() = 0;
    virtual void on_malformed_list(const std::string& error) = 0;
    virtual void on_ended(DiscoveryConnection& connection, const WatchEnd& end) = 0;
  };

  DiscoveryConnection(boost::asio::io_context& io, const Clock& clock, Owner& owner, DiscoveryCall call)
      : owner_(&owner), clock_(clock), call_(call), socket_(io), timer_(io) {}

  // A watch requests the changes since `version`, or the full list if there is none.
  void start(const boost::asio::ip::tcp::endpoint& discovery, std::optional<std::uint64_t> version);
  // Reads all available data without blocking. No pending operation uses the parser or its buffer, so this
  // may be called at any time. Returns false if the connection has ended or was abandoned.
  bool read_available();
  // Closes the connection and notifies the owner.
  void end(WatchEndReason reason, boost::system::error_code error = {});
  // Closes the connection without notifying the owner.
  void abandon();

  double last_received_at() const { return last_received_at_; }
  DiscoveryCall call() const { return call_; }

 private:
  void send_request();
  void restart_timer(double seconds);
  void on_timer();
  void await_data();
  bool read_until_would_block();
  bool parse_received();
  bool check_response_header();
  void process_body();
  void close();

  Owner* owner_;  // null once ended
  const Clock& clock_;
  const DiscoveryCall call_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // connect timeout, then silence timeout
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
  static constexpr std::size_t kMaxObjectBytes = std::size_t{4} * 1024 * 1024;
  ObjectStream objects_{kMaxObjectBytes};
  Clock::Steady::time_point started_at_ = Clock::Steady::now();
  Clock::Steady::time_point request_sent_at_;  // when the write of the request completed
  double last_received_at_ = 0;                // s on the node's clock
  double responded_at_ = 0;                    // s on the node's clock
  double response_wait_ = 0;                   // s; from the request to the header of the response
  bool is_request_sent_ = false;               // the write of the request has completed
  bool has_response_ = false;                  // with status 200
  bool is_overdue_ = false;                    // the owner was notified that there is no response yet
  bool has_data_ = false;                      // part of the body has been received
  bool is_reading_ = false;                    // prevents a recursive read from on_object
};

}  // namespace thymewood::node
