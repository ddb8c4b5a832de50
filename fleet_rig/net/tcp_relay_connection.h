#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string>
#include <utility>

#include "tcp_relay.h"

namespace thymewood::fleet {

// One TCP connection through a relay: what each end writes goes to the other when the link table says.
class TcpRelay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class Close { kReset, kGraceful };

  Connection(TcpRelay& owner, boost::asio::ip::tcp::socket near)
      : owner_(&owner),
        near_(std::move(near)),
        far_(owner.io_),
        forward_(owner.io_, near_, far_, owner.table_.way(owner.from_, owner.to_)),
        backward_(owner.io_, far_, near_, owner.table_.way(owner.to_, owner.from_)) {}

  std::list<std::shared_ptr<Connection>>::iterator position;  // in its relay's list

  void start();
  void resume();
  // Removes it from its relay.
  void close(Close how);
  unsigned short port() const { return port_; }
  Steady::time_point last_read() const { return forward_.last_read; }

 private:
  static constexpr std::size_t kMaxPieceBytes = std::size_t{16} * 1024;
  // Bytes that wait for one way of one connection; beyond, its sender is no longer read, as with a full
  // window.
  static constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;

  enum class PieceEnd { kNone, kClosed, kReset };
  struct Piece {
    double due = 0;
    Steady::time_point read;
    std::string bytes;
    PieceEnd end = PieceEnd::kNone;
  };
  // One way: what is read from `in` and goes to `out`.
  struct Pipe {
    Pipe(boost::asio::io_context& io, boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to,
         Direction& way)
        : in(from), out(to), direction(way), timer(io) {}
    boost::asio::ip::tcp::socket &in, &out;
    Direction& direction;
    boost::asio::steady_timer timer;
    std::array<char, kMaxPieceBytes> buffer{};
    std::deque<Piece> queue;
    std::size_t queued = 0;
    double free = 0;
    bool reading = false, writing = false, waiting = false, closed_by_sender = false,
         closed_to_receiver = false;
    Steady::time_point last_read;
  };

  void read(Pipe& pipe);
  void on_read(Pipe& pipe, boost::system::error_code bad, std::size_t n);
  void deliver(Pipe& pipe);
  void pop(Pipe& pipe);
  void wait(Pipe& pipe, double due);
  void finish(Pipe& pipe, PieceEnd how);
  // Passes the receiver's reset to the sender, by the other way and with that way's delay or cut. It
  // overtakes what waits there for the sender.
  void on_receiver_reset(Pipe& pipe);

  TcpRelay* owner_;
  boost::asio::ip::tcp::socket near_, far_;
  Pipe forward_, backward_;
  bool established_ = false;
  unsigned short port_ = 0;
};

}  // namespace thymewood::fleet
