#include "tcp_relay_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

double seconds_of(TcpRelay::Steady::time_point at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count();
}
TcpRelay::Steady::time_point time_of(double seconds) {
  return TcpRelay::Steady::time_point(
      std::chrono::duration_cast<TcpRelay::Steady::duration>(std::chrono::duration<double>(seconds)));
}

}  // namespace

void TcpRelay::Connection::start() {
  error_code ignored;
  downstream_.set_option(tcp::no_delay(true), ignored);
  upstream_.async_connect(relay_->target_, [self = shared_from_this()](error_code error) {
    if (self->relay_ == nullptr) return;
    if (error) return self->close(Close::kReset);
    error_code option_error;
    self->upstream_.set_option(tcp::no_delay(true), option_error);
    self->port_ = self->upstream_.local_endpoint(option_error).port();
    self->downstream_.non_blocking(true, option_error);
    self->upstream_.non_blocking(true, option_error);
    self->established_ = true;
    self->read(self->forward_);
    self->read(self->backward_);
  });
}

void TcpRelay::Connection::resume() {
  if (!established_) return;
  deliver(forward_);
  if (relay_ != nullptr) deliver(backward_);
}

void TcpRelay::Connection::close(Close close_kind) {
  TcpRelay* relay = std::exchange(relay_, nullptr);
  if (relay == nullptr) return;
  const std::shared_ptr<Connection> self = shared_from_this();
  error_code ignored;
  forward_.timer.cancel(ignored);
  backward_.timer.cancel(ignored);
  if (close_kind == Close::kReset) {
    reset_connection(downstream_);
    reset_connection(upstream_);
  } else {
    downstream_.close(ignored);
    upstream_.close(ignored);
  }
  relay->connections_.erase(position);
}

void TcpRelay::Connection::read(Pipe& pipe) {
  if (pipe.reading || pipe.closed_by_sender || pipe.queued >= kMaxQueuedBytes) return;
  pipe.reading = true;
  pipe.in.async_read_some(asio::buffer(pipe.buffer),
                          [self = shared_from_this(), &pipe](error_code error, std::size_t size) {
                            pipe.reading = false;
                            if (self->relay_ != nullptr) self->on_read(pipe, error, size);
                          });
}

void TcpRelay::Connection::on_read(Pipe& pipe, error_code error, std::size_t size) {
  Chunk chunk;
  chunk.read = Steady::now();
  const double now = seconds_of(chunk.read);
  if (error) {
    pipe.closed_by_sender = true;
    chunk.end = error == asio::error::eof ? ChunkEnd::kClosed : ChunkEnd::kReset;
    // A reset discards the bytes that have not been delivered.
    if (chunk.end == ChunkEnd::kReset) pipe.queue.clear(), pipe.free_at = 0;
  } else {
    chunk.bytes.assign(pipe.buffer.data(), size);
    pipe.queued += size;
  }
  chunk.due = pipe.direction.stream_delivery_time(now, chunk.bytes.size(), pipe.free_at, relay_->random_);
  pipe.queue.push_back(std::move(chunk));
  deliver(pipe);
  if (relay_ != nullptr) read(pipe);
}

void TcpRelay::Connection::deliver(Pipe& pipe) {
  while (relay_ != nullptr && !pipe.writing && !pipe.queue.empty() && !pipe.direction.cut()) {
    Chunk& chunk = pipe.queue.front();
    if (chunk.due > seconds_of(Steady::now())) return wait(pipe, chunk.due);
    if (chunk.end != ChunkEnd::kNone) return finish(pipe, chunk.end);
    pipe.last_read = chunk.read;
    // Most chunks are written synchronously; the rest of one that exceeds the socket's send buffer is written
    // asynchronously.
    error_code error;
    const std::size_t written = pipe.out.write_some(asio::buffer(chunk.bytes), error);
    if (error && error != asio::error::would_block) return on_receiver_reset(pipe);
    if (written == chunk.bytes.size()) {
      pop(pipe);
      continue;
    }
    chunk.bytes.erase(0, error ? 0 : written);
    pipe.queued -= error ? 0 : written;
    pipe.writing = true;
    asio::async_write(pipe.out, asio::buffer(chunk.bytes),
                      [self = shared_from_this(), &pipe](error_code write_error, std::size_t) {
                        pipe.writing = false;
                        if (self->relay_ == nullptr) return;
                        if (write_error) return self->on_receiver_reset(pipe);
                        self->pop(pipe);
                        self->deliver(pipe);
                      });
  }
}

void TcpRelay::Connection::pop(Pipe& pipe) {
  if (pipe.queue.empty()) return;  // a reset has cleared the queue meanwhile
  pipe.queued -= pipe.queue.front().bytes.size();
  pipe.queue.pop_front();
  read(pipe);
}

void TcpRelay::Connection::wait(Pipe& pipe, double due) {
  if (std::exchange(pipe.timer_pending, true)) return;
  pipe.timer.expires_at(time_of(due));
  pipe.timer.async_wait([self = shared_from_this(), &pipe](error_code) {
    pipe.timer_pending = false;
    if (self->relay_ != nullptr) self->deliver(pipe);
  });
}

void TcpRelay::Connection::finish(Pipe& pipe, ChunkEnd close_kind) {
  pipe.queue.clear();
  pipe.closed_to_receiver = true;
  if (close_kind == ChunkEnd::kReset) return close(Close::kReset);
  error_code ignored;
  pipe.out.shutdown(tcp::socket::shutdown_send, ignored);
  if (forward_.closed_to_receiver && backward_.closed_to_receiver) close(Close::kGraceful);
}

void TcpRelay::Connection::on_receiver_reset(Pipe& pipe) {
  Pipe& other = &pipe == &forward_ ? backward_ : forward_;
  pipe.queue.clear();
  pipe.closed_by_sender = pipe.closed_to_receiver = true;
  other.closed_by_sender = true;
  other.queue.clear();
  other.free_at = 0;
  Chunk chunk;
  chunk.end = ChunkEnd::kReset;
  chunk.due =
      other.direction.stream_delivery_time(seconds_of(Steady::now()), 0, other.free_at, relay_->random_);
  other.queue.push_back(std::move(chunk));
  deliver(other);
}

}  // namespace thymewood::fleet
