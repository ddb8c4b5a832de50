// Reads the requests of one connection: buffers received data, parses one request at a time, and limits how
// much pipelined data a client may send. Reserves the memory for both in the budget that all connections
// share.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>

#include "memory_budget.h"
#include "message.h"
#include "message_memory.h"
#include "validation.h"

namespace thymewood::node {

class RequestReader {
 public:
  enum class Status {
    kIncomplete,
    kComplete,     // release() returns the request
    kRejected,     // see rejection()
    kWriteFailed,  // 100 Continue could not be sent
    kOutOfMemory,  // the budget has no space for the request, which has been discarded
  };

  RequestReader(boost::asio::ip::tcp::socket& socket, MemoryBudget& budget)
      : socket_(socket), memory_(budget) {}

  // Prepares for the next request, part of which may already be buffered.
  void start_request();
  // Returns whether any byte of the request has been received and parsed.
  [[nodiscard]] bool has_begun() const { return has_begun_; }
  // Parses buffered data up to the end of one request.
  [[nodiscard]] Status parse();
  [[nodiscard]] const Rejection& rejection() const { return rejection_; }
  // Moves the complete request out. Its memory is no longer reserved here.
  [[nodiscard]] HttpRequest release();

  // The target buffer of an asynchronous read, and the handler of its result.
  [[nodiscard]] boost::asio::mutable_buffer receive_buffer() { return boost::asio::buffer(received_); }
  void on_received(std::size_t size) { buffer(received_.data(), size); }
  // Called when the peer has sent a FIN or reset the connection.
  void on_peer_closed() { is_peer_closed_ = true; }
  [[nodiscard]] bool is_peer_closed() const { return is_peer_closed_; }

  // Buffers the received data without blocking. Returns false if the peer has closed the connection, or has
  // sent so much data that its FIN may be unread behind it. A read is accurate, whereas TCP_INFO may be
  // unavailable and does not report a FIN that has not arrived.
  [[nodiscard]] bool read_available();

  // Returns whether the buffer has no space for the result of another read.
  [[nodiscard]] bool is_full() const { return read_ahead_.size() > kMaxReadAhead - kReadSize; }
  [[nodiscard]] std::size_t buffered() const { return read_ahead_.size(); }
  // Frees the memory that a large request needed.
  void shrink_buffer();
  // Frees all received data, including that of an incomplete request.
  void discard_all();

 private:
  static constexpr std::size_t kReadSize = 4096;  // bytes
  // Limit in bytes for data that is not parsed yet: a complete head or the same amount of pipelined requests.
  static constexpr std::size_t kMaxReadAhead = kHeaderLimit + kReadSize;

  // A larger request that is still incomplete is reserved with low priority: clients that stop in the middle
  // of large requests must leave memory for the usual ones.
  static constexpr std::size_t kMaxUsualMemory = std::size_t{16} * 1024;  // bytes

  void buffer(const char* bytes, std::size_t size);
  [[nodiscard]] Status parse_buffered();
  // Reserves the memory of the buffer, if it has `buffer_capacity` bytes, and of the incomplete request.
  [[nodiscard]] bool try_reserve(std::size_t buffer_capacity);
  // Frees the request that is being parsed.
  void discard_request();
  // Checks the framing fields of the head before the body is received.
  [[nodiscard]] Status check_framing();
  [[nodiscard]] bool send_continue();
  [[nodiscard]] Status reject(boost::beast::http::status status, const char* text);

  boost::asio::ip::tcp::socket& socket_;
  std::array<char, kReadSize> received_{};
  boost::beast::flat_buffer read_ahead_{kMaxReadAhead};
  std::optional<MeasuringParser<true>> parser_;
  MemoryBudget::Reservation memory_;  // for read_ahead_ and the request in parser_
  Rejection rejection_{};
  bool has_begun_ = false;
  bool is_continue_sent_ = false;
  bool is_peer_closed_ = false;
  bool has_read_ahead_overflowed_ = false;  // pipelined data exceeded the buffer and was discarded
  bool is_out_of_memory_ = false;           // the budget, rather than the buffer's limit, was exceeded
};

}  // namespace thymewood::node
