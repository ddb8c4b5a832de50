#include "discovery_connection.h"

#include <sys/socket.h>

#include <cerrno>
#include <limits>
#include <utility>

#include "event_log.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr double kConnectTimeout = 1.0;  // s
constexpr double kOverdueWait = 1.0;     // s; an available discovery usually responds sooner
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
// A watch has no end. An empty optional as the limit would reject each response with a Content-Length.
constexpr std::uint64_t kMaxBodyBytes = std::numeric_limits<std::uint64_t>::max();

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
    case WatchEndReason::kListed:
      return "listed";
    case WatchEndReason::kComplete:
      break;
  }
  return "complete";
}

http::request<http::empty_body> make_request(DiscoveryCall call, const tcp::endpoint& discovery,
                                             std::optional<std::uint64_t> version) {
  std::string target = "/catalog/members";
  if (call == DiscoveryCall::kWatch) target += "?watch=1";
  if (call == DiscoveryCall::kWatch && version) target += "&after=" + std::to_string(*version);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, discovery.address().to_string() + ":" + std::to_string(discovery.port()));
  return request;
}

}  // namespace

void DiscoveryConnection::start(const tcp::endpoint& discovery, std::optional<std::uint64_t> version) {
  parser_.body_limit(kMaxBodyBytes);
  parser_.header_limit(kMaxHeaderBytes);
  request_ = make_request(call_, discovery, version);
  restart_timer(kConnectTimeout);
  socket_.async_connect(discovery, [self = shared_from_this()](error_code error) {
    if (error || self->owner_ == nullptr) return self->end(WatchEndReason::kConnectFailed, error);
    self->send_request();
  });
}

void DiscoveryConnection::send_request() {
  restart_timer(kOverdueWait);
  http::async_write(socket_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (error) return self->end(WatchEndReason::kWriteFailed, error);
    self->request_sent_at_ = Clock::Steady::now();
    self->await_data();
  });
}

void DiscoveryConnection::close() {
  error_code ignored;
  cancel_timer(timer_);
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
    LogEvent event = log_info("watch_ended");
    event.with("call", call_ == DiscoveryCall::kList ? "list" : "watch")
        .with("reason", name_of(reason))
        .with("age", seconds_since(started_at_))
        .with("answered", has_response_);
    if (error) event.with("error", error.message());
  }
  WatchFailure failure;
  // A response that stays silent after its header delivers nothing.
  failure.had_responded = has_data_ || (has_response_ && reason != WatchEndReason::kSilent);
  failure.call = call_;
  // A connection that was never established has not waited in discovery's queue.
  if (is_request_sent_ && !has_response_) failure.wait_time = seconds_since(request_sent_at_);
  if (reason == WatchEndReason::kListed) failure.wait_time = response_wait_;
  owner->on_ended(*this, {reason, error, failure, last_received_at_, responded_at_});
}

void DiscoveryConnection::restart_timer(double seconds) {
  timer_.expires_after(Clock::to_duration(seconds));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled) self->on_timer();
  });
}

void DiscoveryConnection::on_timer() {
  if (Clock::Steady::now() < timer_.expiry() || owner_ == nullptr) return;
  // After the process was paused, the timer handler can run before the data that arrived during the pause is
  // read.
  if (!read_available() || Clock::Steady::now() < timer_.expiry()) return;
  if (is_request_sent_ && !has_data_ && !std::exchange(is_overdue_, true)) {
    restart_timer(owner_->silence_timeout(false) - kOverdueWait);
    return owner_->on_response_overdue();
  }
  if (objects_.has_incomplete_object()) owner_->on_malformed_list("discovery: incomplete JSON object");
  end(is_request_sent_ ? WatchEndReason::kSilent : WatchEndReason::kConnectTimedOut);
}

void DiscoveryConnection::await_data() {
  is_request_sent_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    if (self->owner_ == nullptr) return;
    if (error) return self->end(WatchEndReason::kWaitFailed, error);
    if (self->read_available()) self->await_data();
  });
}

bool DiscoveryConnection::read_available() {
  if (std::exchange(is_reading_, true)) return true;
  const bool is_open = read_until_would_block();
  is_reading_ = false;
  return is_open;
}

bool DiscoveryConnection::read_until_would_block() {
  while (is_request_sent_ && owner_ != nullptr) {
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

// Returns false if the connection has ended or was abandoned.
bool DiscoveryConnection::parse_received() {
  error_code error;
  while (buffer_.size() > 0 && !error && !parser_.is_done()) {
    const std::size_t consumed = parser_.put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (parser_.is_header_done()) {
      if (!check_response_header()) return false;
      process_body();
      if (owner_ == nullptr) return false;
    }
    if (consumed == 0) break;
  }
  if (error == http::error::need_more) error = {};
  if (!error && !parser_.is_done()) return true;
  end(error ? WatchEndReason::kMalformedResponse : WatchEndReason::kComplete, error);
  return false;
}

bool DiscoveryConnection::check_response_header() {
  const http::status status = parser_.get().result();
  if (status != http::status::ok) {
    end(status == http::status::service_unavailable ? WatchEndReason::kServiceUnavailable
                                                    : WatchEndReason::kUnexpectedStatus);
    return false;
  }
  if (!std::exchange(has_response_, true)) {
    response_wait_ = seconds_since(request_sent_at_);
    responded_at_ = clock_.now();
    const auto date = parser_.get()[http::field::date];
    owner_->on_response_started({date.data(), date.size()});
  }
  return true;
}

// Chunk boundaries are independent of object boundaries: a chunk can hold part of an object or several
// objects.
void DiscoveryConnection::process_body() {
  std::string& body = parser_.get().body();
  if (body.empty()) return;
  const std::string bytes = std::exchange(body, {});
  has_data_ = true;
  owner_->on_data_received(last_received_at_);
  last_received_at_ = clock_.now();
  // Blank lines after an incomplete object do not extend the silence timeout: the object will not be
  // completed.
  if (!objects_.has_incomplete_object() || bytes.find_first_not_of(" \t\r\n") != std::string::npos)
    restart_timer(owner_->silence_timeout(true));
  const bool is_valid = objects_.feed(bytes, [this](std::string_view object) {
    owner_->on_object(*this, object);
    return owner_ != nullptr;  // null: the object was malformed, or the connection was replaced
  });
  if (owner_ == nullptr) return;
  if (!is_valid) {
    owner_->on_malformed_list("discovery: expected a JSON object or white space, or object exceeds 4 MiB");
    return end(WatchEndReason::kMalformedList);
  }
  if (!objects_.has_incomplete_object()) owner_->on_all_objects_complete();
}

}  // namespace thymewood::node
