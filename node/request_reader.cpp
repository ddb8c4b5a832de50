#include "request_reader.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace thymewood::node {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxReadAvailable = std::size_t{256} * 1024;  // bytes
constexpr std::size_t kMaxIdleBuffer = 4096;                        // bytes
constexpr std::size_t kBufferGrowth = 2;  // factor by which the buffer grows at most beyond the space needed

}  // namespace

void RequestReader::start_request() {
  has_begun_ = false;
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kRequestBodyLimit);
  // An eager parser does not enforce its body limit if the head and part of the body arrive together.
  parser_->eager(false);
  is_continue_sent_ = false;
}

RequestReader::Status RequestReader::parse() {
  const Status status = parse_buffered();
  if (status == Status::kRejected) discard_request();
  if (status != Status::kIncomplete || try_reserve(read_ahead_.capacity())) return status;
  discard_request();
  return Status::kOutOfMemory;
}

HttpRequest RequestReader::release() {
  HttpRequest request = parser_->release();
  discard_request();
  return request;
}

bool RequestReader::try_reserve(std::size_t buffer_capacity) {
  const std::size_t bytes = buffer_capacity + parser_->message_memory();
  return memory_.try_resize(
      bytes, bytes > kMaxUsualMemory ? MemoryBudget::Priority::kLow : MemoryBudget::Priority::kNormal);
}

void RequestReader::discard_request() {
  parser_.emplace();
  memory_.resize(read_ahead_.capacity());
}

RequestReader::Status RequestReader::parse_buffered() {
  while (read_ahead_.size() > 0) {
    has_begun_ = true;
    error_code error;
    const std::size_t used = parser_->put(read_ahead_.data(), error);
    read_ahead_.consume(used);
    if (error == http::error::need_more) error = {};
    if (error == http::error::body_limit || parser_->get().body().size() > kRequestBodyLimit) {
      return reject(http::status::payload_too_large, "body too large");
    }
    if (error == http::error::header_limit) {
      return reject(http::status::request_header_fields_too_large, "header too large");
    }
    if (error) return reject(http::status::bad_request, "malformed request");
    if (parser_->is_header_done()) {
      const Status status = check_framing();
      if (status != Status::kIncomplete) return status;
    }
    if (parser_->is_done()) return Status::kComplete;
    if (used == 0) break;
  }
  // The discarded bytes belong to this request.
  if (is_out_of_memory_) {
    discard_request();
    return Status::kOutOfMemory;
  }
  if (has_read_ahead_overflowed_) return reject(http::status::payload_too_large, "too much sent ahead");
  return Status::kIncomplete;
}

RequestReader::Status RequestReader::check_framing() {
  const HttpRequest& request = parser_->get();
  // Conflicting lengths allow request smuggling: a second request could be hidden in the body.
  if (is_length_ambiguous(request)) return reject(http::status::bad_request, "ambiguous length");
  if (!is_continue_sent_ && boost::beast::iequals(request[http::field::expect], "100-continue")) {
    is_continue_sent_ = true;
    if (!send_continue()) return Status::kWriteFailed;
  }
  return Status::kIncomplete;
}

// Written synchronously and completely or not at all, since an asynchronous write could interleave with the
// response. Nothing else is being written at this point, so these few bytes fit into the socket's send
// buffer.
bool RequestReader::send_continue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  ssize_t sent = 0;
  do {
    sent = ::send(socket_.native_handle(), kContinue.data(), kContinue.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent == static_cast<ssize_t>(kContinue.size());
}

RequestReader::Status RequestReader::reject(http::status status, const char* text) {
  rejection_ = {status, text};
  return Status::kRejected;
}

bool RequestReader::read_available() {
  std::array<char, kReadSize> bytes{};
  for (std::size_t total = 0; !is_peer_closed_;) {
    if (total > kMaxReadAvailable) return false;
    const ssize_t n = ::recv(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (n > 0) {
      buffer(bytes.data(), static_cast<std::size_t>(n));
      total += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else if (n == 0 || errno != EINTR) {
      is_peer_closed_ = true;
    }
  }
  return !is_peer_closed_;
}

// Buffers data up to the limit. Once a byte has been discarded, discards everything.
void RequestReader::buffer(const char* bytes, std::size_t size) {
  const std::size_t available =
      has_read_ahead_overflowed_ ? 0 : kMaxReadAhead - std::min(kMaxReadAhead, read_ahead_.size());
  const std::size_t buffered = std::min(available, size);
  if (buffered < size) has_read_ahead_overflowed_ = true;
  if (buffered == 0) return;
  const std::size_t needed = read_ahead_.size() + buffered;
  if (needed > read_ahead_.capacity() && !try_reserve(std::min(kBufferGrowth * needed, kMaxReadAhead))) {
    has_read_ahead_overflowed_ = is_out_of_memory_ = true;
    return;
  }
  std::copy_n(bytes, buffered, static_cast<char*>(read_ahead_.prepare(buffered).data()));
  read_ahead_.commit(buffered);
}

void RequestReader::shrink_buffer() {
  if (read_ahead_.capacity() > kMaxIdleBuffer) read_ahead_.shrink_to_fit();
  memory_.resize(read_ahead_.capacity());
}

void RequestReader::discard_all() {
  read_ahead_.clear();
  read_ahead_.shrink_to_fit();
  discard_request();
}

}  // namespace thymewood::node
