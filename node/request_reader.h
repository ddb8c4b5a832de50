// Reads the requests of one connection: buffers what has arrived, parses one request at a time, and bounds
// what a client may send ahead.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>

#include "message.h"
#include "validation.h"

namespace thymewood::node {

class RequestReader {
 public:
  enum class Status {
    kIncomplete,
    kComplete,     // release() returns the request
    kRejected,     // see rejection()
    kWriteFailed,  // 100 Continue could not be sent
  };

  explicit RequestReader(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

  // Prepares for the next request, of which buffered bytes may be a part.
  void start_request();
  // Whether a byte of the request has arrived and been parsed.
  [[nodiscard]] bool has_begun() const { return has_begun_; }
  // Parses what is buffered, up to the end of one request.
  [[nodiscard]] Status parse();
  [[nodiscard]] const Rejection& rejection() const { return rejection_; }
  [[nodiscard]] HttpRequest release() { return parser_->release(); }

  // For an asynchronous read: its buffer, and what it has read.
  [[nodiscard]] boost::asio::mutable_buffer receive_buffer() { return boost::asio::buffer(received_); }
  void on_received(std::size_t size) { buffer(received_.data(), size); }
  // The peer has ended its sending, or reset the connection.
  void on_peer_closed() { is_peer_closed_ = true; }
  [[nodiscard]] bool is_peer_closed() const { return is_peer_closed_; }

  // Buffers what has arrived without waiting. False: the peer has closed, or has sent so much ahead that its
  // close may follow unread. A read is exact, where TCP_INFO may be unavailable and reports no close that has
  // not arrived yet.
  [[nodiscard]] bool read_available();

  // Whether the buffer could not take the result of another read.
  [[nodiscard]] bool is_full() const { return read_ahead_.size() > kMaxReadAhead - kReadSize; }
  [[nodiscard]] std::size_t buffered() const { return read_ahead_.size(); }
  [[nodiscard]] std::size_t buffer_capacity() const { return read_ahead_.capacity(); }
  [[nodiscard]] std::size_t body_capacity() const { return parser_->get().body().capacity(); }
  // Returns the memory that the largest request needed.
  void shrink_buffer();
  void discard_buffer();

 private:
  static constexpr std::size_t kReadSize = 4096;  // bytes
  // Bytes that may wait to be parsed: a whole head, or as many of requests that were sent ahead.
  static constexpr std::size_t kMaxReadAhead = kHeaderLimit + kReadSize;

  void buffer(const char* bytes, std::size_t size);
  // Checks what the head says of the body, before the body is there.
  [[nodiscard]] Status check_framing();
  [[nodiscard]] bool send_continue();
  [[nodiscard]] Status reject(boost::beast::http::status status, const char* text);

  boost::asio::ip::tcp::socket& socket_;
  std::array<char, kReadSize> received_{};
  boost::beast::flat_buffer read_ahead_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  Rejection rejection_{};
  bool has_begun_ = false;
  bool is_continue_sent_ = false;
  bool is_peer_closed_ = false;
  bool has_overrun_ = false;  // more was sent ahead than is buffered
};

}  // namespace thymewood::node
