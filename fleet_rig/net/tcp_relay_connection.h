#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>
#include <utility>

#include "tcp_relay.h"

namespace thymewood::fleet {

// One TCP connection through a relay. The bytes of each end are delivered to the other at the times that the
// link table yields.
class TcpRelay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Close { kReset, kGraceful };

  Connection(TcpRelay& relay, boost::asio::ip::tcp::socket downstream)
      : relay_(&relay),
        downstream_(std::move(downstream)),
        upstream_(relay.io_),
        forward_(relay.io_, downstream_, upstream_, relay.table_.direction(relay.from_, relay.to_)),
        backward_(relay.io_, upstream_, downstream_, relay.table_.direction(relay.to_, relay.from_)) {}

  std::list<std::shared_ptr<Connection>>::iterator position;  // in its relay's list

  void start();
  void resume();
  // Removes it from its relay.
  void close(Close close_kind);
  unsigned short port() const { return port_; }
  Steady::time_point last_read() const { return forward_.last_read; }

 private:
  static constexpr std::size_t kMaxChunkBytes = std::size_t{16} * 1024;
  // Limit of the bytes queued for one direction of a connection. Above it the relay stops reading from the
  // sender, as a full receive window does.
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;

  enum class ChunkEnd { kNone, kClosed, kReset };
  struct Chunk {
    double due = 0;
    Steady::time_point read;
    std::string bytes;
    ChunkEnd end = ChunkEnd::kNone;
  };
  // One direction: reads from `in` and writes to `out`.
  struct Pipe {
    Pipe(boost::asio::io_context& io, boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to,
         Direction& way)
        : in(from), out(to), direction(way), timer(io) {}
    boost::asio::ip::tcp::socket &in, &out;
    Direction& direction;
    boost::asio::steady_timer timer;
    std::array<char, kMaxChunkBytes> buffer{};
    std::deque<Chunk> queue;
    std::size_t queued = 0;
    double free_at = 0;
    bool reading = false, writing = false, timer_pending = false, closed_by_sender = false,
         closed_to_receiver = false;
    Steady::time_point last_read;
  };

  void read(Pipe& pipe);
  void on_read(Pipe& pipe, boost::system::error_code error, std::size_t size);
  void deliver(Pipe& pipe);
  void pop(Pipe& pipe);
  void wait(Pipe& pipe, double due);
  void finish(Pipe& pipe, ChunkEnd close_kind);
  // Forwards the receiver's reset to the sender in the opposite direction, subject to that direction's delay
  // or cut. It discards the bytes queued there for the sender.
  void on_receiver_reset(Pipe& pipe);

  TcpRelay* relay_;
  boost::asio::ip::tcp::socket downstream_, upstream_;
  Pipe forward_, backward_;
  bool established_ = false;
  unsigned short port_ = 0;
};

}  // namespace thymewood::fleet
