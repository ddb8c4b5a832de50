// Carries TCP connections between two actors, and does to them what the link table says. One listener stands
// for one pair: `from` uses its address as that of `to`.
//
// What a relay can't do as a broken network does: an actor's kernel sees the relay's kernel, so that bytes
// are acknowledged by the relay, and what a cut holds back comes at once when it is healed, without the
// pauses of a sender that has backed off. New connections are as in a network: while either way is cut a
// connection attempt never comes up, for the listener's backlog stays full and the kernel drops what comes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "link_table.h"

namespace thymewood::fleet {

class TcpRelay {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Steady = std::chrono::steady_clock;
  // Of a connection that a relay has made to a target.
  struct Origin {
    Actor from;
    Steady::time_point last_read;  // when the last piece that was delivered to the target had left `from`
  };

  // Listens at `where`, on a port of the system's choice if it is 0. The table outlives the relay. Throws
  // boost::system::system_error.
  TcpRelay(boost::asio::io_context& io, LinkTable& table, const Actor& from, const Actor& to,
           const Endpoint& where, const Endpoint& target, std::uint64_t seed);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  const Actor& from() const { return from_; }
  const Actor& to() const { return to_; }
  const Endpoint& where() const { return where_; }

  // The table has changed for this pair: in force when this returns.
  void changed();
  // Both ends of each open connection get a reset.
  void reset();
  // New connections are refused: the target does not listen, or is made to look so.
  void refuse(bool on);
  std::size_t connections() const { return connections_.size(); }
  // By the port that the relay's connection to the target goes out from.
  std::optional<Origin> origin(unsigned short port) const;

 private:
  class Connection;
  void open();
  void accept();
  void add_connection(boost::asio::ip::tcp::socket socket);
  void fill_backlog();
  void drain_backlog();

  boost::asio::io_context& io_;
  LinkTable& table_;
  Actor from_, to_;
  Endpoint where_, target_;
  Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // they keep the queue full while the link is cut
  std::list<std::shared_ptr<Connection>> connections_;
  bool refusing_ = false, blocked_ = false, accepting_ = false;
  std::uint64_t turn_ = 0;  // tells an accept of this listener from one of an earlier one
};

}  // namespace thymewood::fleet
