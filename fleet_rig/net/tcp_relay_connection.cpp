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
  near_.set_option(tcp::no_delay(true), ignored);
  far_.async_connect(owner_->target_, [self = shared_from_this()](error_code bad) {
    if (self->owner_ == nullptr) return;
    if (bad) return self->close(Close::kReset);
    error_code none;
    self->far_.set_option(tcp::no_delay(true), none);
    self->port_ = self->far_.local_endpoint(none).port();
    self->near_.non_blocking(true, none);
    self->far_.non_blocking(true, none);
    self->established_ = true;
    self->read(self->forward_);
    self->read(self->backward_);
  });
}

void TcpRelay::Connection::resume() {
  if (!established_) return;
  deliver(forward_);
  if (owner_ != nullptr) deliver(backward_);
}

void TcpRelay::Connection::close(Close how) {
  TcpRelay* owner = std::exchange(owner_, nullptr);
  if (owner == nullptr) return;
  const std::shared_ptr<Connection> self = shared_from_this();
  error_code ignored;
  forward_.timer.cancel(ignored);
  backward_.timer.cancel(ignored);
  if (how == Close::kReset) {
    reset_connection(near_);
    reset_connection(far_);
  } else {
    near_.close(ignored);
    far_.close(ignored);
  }
  owner->connections_.erase(position);
}

void TcpRelay::Connection::read(Pipe& pipe) {
  if (pipe.reading || pipe.closed_by_sender || pipe.queued >= kMaxQueuedBytes) return;
  pipe.reading = true;
  pipe.in.async_read_some(asio::buffer(pipe.buffer),
                          [self = shared_from_this(), &pipe](error_code bad, std::size_t n) {
                            pipe.reading = false;
                            if (self->owner_ != nullptr) self->on_read(pipe, bad, n);
                          });
}

void TcpRelay::Connection::on_read(Pipe& pipe, error_code bad, std::size_t n) {
  Piece piece;
  piece.read = Steady::now();
  const double now = seconds_of(piece.read);
  if (bad) {
    pipe.closed_by_sender = true;
    piece.end = bad == asio::error::eof ? PieceEnd::kClosed : PieceEnd::kReset;
    // A reset overtakes what has not been delivered.
    if (piece.end == PieceEnd::kReset) pipe.queue.clear(), pipe.free = 0;
  } else {
    piece.bytes.assign(pipe.buffer.data(), n);
    pipe.queued += n;
  }
  piece.due = pipe.direction.due_in_stream(now, piece.bytes.size(), pipe.free, owner_->random_);
  pipe.queue.push_back(std::move(piece));
  deliver(pipe);
  if (owner_ != nullptr) read(pipe);
}

void TcpRelay::Connection::deliver(Pipe& pipe) {
  while (owner_ != nullptr && !pipe.writing && !pipe.queue.empty() && !pipe.direction.cut()) {
    Piece& piece = pipe.queue.front();
    if (piece.due > seconds_of(Steady::now())) return wait(pipe, piece.due);
    if (piece.end != PieceEnd::kNone) return finish(pipe, piece.end);
    pipe.last_read = piece.read;
    // Most pieces are written at once; what exceeds the receiver's kernel buffer is awaited.
    error_code bad;
    const std::size_t written = pipe.out.write_some(asio::buffer(piece.bytes), bad);
    if (bad && bad != asio::error::would_block) return on_receiver_reset(pipe);
    if (written == piece.bytes.size()) {
      pop(pipe);
      continue;
    }
    piece.bytes.erase(0, bad ? 0 : written);
    pipe.queued -= bad ? 0 : written;
    pipe.writing = true;
    asio::async_write(pipe.out, asio::buffer(piece.bytes),
                      [self = shared_from_this(), &pipe](error_code problem, std::size_t) {
                        pipe.writing = false;
                        if (self->owner_ == nullptr) return;
                        if (problem) return self->on_receiver_reset(pipe);
                        self->pop(pipe);
                        self->deliver(pipe);
                      });
  }
}

void TcpRelay::Connection::pop(Pipe& pipe) {
  if (pipe.queue.empty()) return;  // a reset has cleared it meanwhile
  pipe.queued -= pipe.queue.front().bytes.size();
  pipe.queue.pop_front();
  read(pipe);
}

void TcpRelay::Connection::wait(Pipe& pipe, double due) {
  if (std::exchange(pipe.waiting, true)) return;
  pipe.timer.expires_at(time_of(due));
  pipe.timer.async_wait([self = shared_from_this(), &pipe](error_code) {
    pipe.waiting = false;
    if (self->owner_ != nullptr) self->deliver(pipe);
  });
}

void TcpRelay::Connection::finish(Pipe& pipe, PieceEnd how) {
  pipe.queue.clear();
  pipe.closed_to_receiver = true;
  if (how == PieceEnd::kReset) return close(Close::kReset);
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
  other.free = 0;
  Piece piece;
  piece.end = PieceEnd::kReset;
  piece.due = other.direction.due_in_stream(seconds_of(Steady::now()), 0, other.free, owner_->random_);
  other.queue.push_back(std::move(piece));
  deliver(other);
}

}  // namespace thymewood::fleet
