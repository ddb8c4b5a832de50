#include "discovery_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "event_log.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr double kConnectTimeout = 1.0;  // s
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;

double seconds_since(Clock::Steady::time_point then) {
  return std::chrono::duration<double>(Clock::Steady::now() - then).count();
}

const char* name_of(WatchEndReason reason) {
  switch (reason) {
    case WatchEndReason::kConnectFailed:
      return "connect_failed";
    case WatchEndReason::kConnectTimedOut:
      return "connect_timed_out";
    case WatchEndReason::kWriteFailed:
      return "write_failed";
    case WatchEndReason::kWaitFailed:
      return "wait_failed";
    case WatchEndReason::kReadFailed:
      return "read_failed";
    case WatchEndReason::kClosed:
      return "closed";
    case WatchEndReason::kSilent:
      return "silent";
    case WatchEndReason::kServiceUnavailable:
      return "status_503";
    case WatchEndReason::kUnexpectedStatus:
      return "status";
    case WatchEndReason::kMalformedResponse:
      return "malformed";
    case WatchEndReason::kMalformedList:
      return "malformed_list";
    case WatchEndReason::kComplete:
      break;
  }
  return "complete";
}

http::request<http::empty_body> watch_request(const tcp::endpoint& discovery,
                                              std::optional<std::uint64_t> version) {
  std::string target = "/catalog/members?watch=1";
  if (version) target += "&after=" + std::to_string(*version);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, discovery.address().to_string() + ":" + std::to_string(discovery.port()));
  return request;
}

}  // namespace

void DiscoveryConnection::start(const tcp::endpoint& discovery, std::optional<std::uint64_t> version) {
  parser_.body_limit(boost::none);
  parser_.header_limit(kMaxHeaderBytes);
  request_ = watch_request(discovery, version);
  restart_timer(kConnectTimeout);
  socket_.async_connect(discovery, [self = shared_from_this()](error_code error) {
    if (error || self->owner_ == nullptr) return self->end(WatchEndReason::kConnectFailed, error);
    self->send_request();
  });
}

void DiscoveryConnection::send_request() {
  restart_timer(owner_->silence_timeout(false));
  http::async_write(socket_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->end(WatchEndReason::kWriteFailed, error);
    self->requested_at_ = Clock::Steady::now();
    self->await_data();
  });
}

void DiscoveryConnection::close() {
  error_code ignored;
  halt(timer_);
  socket_.close(ignored);
}

void DiscoveryConnection::abandon() {
  owner_ = nullptr;
  close();
}

void DiscoveryConnection::end(WatchEndReason reason, error_code error) {
  Owner* owner = std::exchange(owner_, nullptr);
  close();
  if (owner == nullptr) return;
  {
    LogEvent line = log_info("watch_ended");
    line.with("reason", name_of(reason))
        .with("age", seconds_since(started_at_))
        .with("answered", has_response_);
    if (error) line.with("error", error.message());
  }
  WatchFailure failure;
  failure.was_open = has_response_;
  // A connection that was never established has waited in no queue of discovery's.
  if (is_requested_ && !has_response_) failure.waited = seconds_since(requested_at_);
  owner->on_ended(*this, {reason, error, failure, heard_at_});
}

void DiscoveryConnection::restart_timer(double seconds) {
  timer_.expires_after(Clock::span(seconds));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled) self->on_timer();
  });
}

void DiscoveryConnection::on_timer() {
  if (Clock::Steady::now() < timer_.expiry() || owner_ == nullptr) return;
  // After a pause of the process the timer expires before the data that came meanwhile has been read.
  if (!read_available() || Clock::Steady::now() < timer_.expiry()) return;
  if (objects_.pending()) owner_->on_unreadable("discovery: an object without its end");
  end(is_requested_ ? WatchEndReason::kSilent : WatchEndReason::kConnectTimedOut);
}

void DiscoveryConnection::await_data() {
  is_requested_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->owner_ == nullptr) return;
    if (error) return self->end(WatchEndReason::kWaitFailed, error);
    if (self->read_available()) self->await_data();
  });
}

bool DiscoveryConnection::read_available() {
  if (std::exchange(is_reading_, true)) return true;
  const bool is_open = read_until_empty();
  is_reading_ = false;
  return is_open;
}

bool DiscoveryConnection::read_until_empty() {
  while (is_requested_ && owner_ != nullptr) {
    const asio::mutable_buffer space = buffer_.prepare(kReadBytes);
    const ssize_t received = ::recv(socket_.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return true;
    if (received < 0) {
      end(WatchEndReason::kReadFailed, error_code(errno, boost::system::system_category()));
      return false;
    }
    if (received == 0) {
      end(WatchEndReason::kClosed);
      return false;
    }
    buffer_.commit(static_cast<std::size_t>(received));
    if (!parse_received()) return false;
  }
  return owner_ != nullptr;
}

// False: the connection has ended or was abandoned.
bool DiscoveryConnection::parse_received() {
  error_code error;
  while (buffer_.size() > 0 && !error && !parser_.is_done()) {
    const std::size_t used = parser_.put(buffer_.data(), error);
    buffer_.consume(used);
    if (parser_.is_header_done()) {
      if (!check_head()) return false;
      take_body();
      if (owner_ == nullptr) return false;
    }
    if (used == 0) break;
  }
  if (error == http::error::need_more) error = {};
  if (!error && !parser_.is_done()) return true;
  end(error ? WatchEndReason::kMalformedResponse : WatchEndReason::kComplete, error);
  return false;
}

bool DiscoveryConnection::check_head() {
  const http::status status = parser_.get().result();
  if (status != http::status::ok) {
    end(status == http::status::service_unavailable ? WatchEndReason::kServiceUnavailable
                                                    : WatchEndReason::kUnexpectedStatus);
    return false;
  }
  if (!std::exchange(has_response_, true)) {
    const auto date = parser_.get()[http::field::date];
    owner_->on_response_started({date.data(), date.size()});
  }
  return true;
}

// Objects may be split and joined in any way by the chunks of the body.
void DiscoveryConnection::take_body() {
  std::string& body = parser_.get().body();
  if (body.empty()) return;
  const std::string bytes = std::exchange(body, {});
  owner_->on_data(heard_at_);
  heard_at_ = clock_.now();
  // Blank lines behind an incomplete object do not keep the connection: that object will not be completed.
  if (!objects_.pending() || bytes.find_first_not_of(" \t\r\n") != std::string::npos)
    restart_timer(owner_->silence_timeout(true));
  const bool is_valid = objects_.feed(bytes, [this](std::string_view object) {
    owner_->on_object(*this, object);
    return owner_ != nullptr;  // null: the object was unreadable, or another connection has taken over
  });
  if (owner_ == nullptr) return;
  if (!is_valid) {
    owner_->on_unreadable("discovery: neither an object nor white space, or an object over 4 MiB");
    return end(WatchEndReason::kMalformedList);
  }
  if (!objects_.pending()) owner_->on_caught_up();
}

}  // namespace thymewood::node
