// Forwards TCP connections between two actors under the conditions of the link table. There is one listener
// per pair: `from` connects to its address instead of that of `to`.
//
// Limits of the emulation: an actor's kernel talks to the relay's kernel, so the relay acknowledges bytes,
// and data held back by a cut is delivered at once when it heals, without the retransmission backoff of a
// real sender. New connections behave as in a real network: while either direction is cut, a connection
// attempt is never established, because the listener's backlog is kept full and the kernel drops the SYN.
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
  // The source of a connection that a relay has opened to its target.
  struct Origin {
    Actor from;
    Steady::time_point last_read;  // when the relay read the last chunk delivered to the target
  };

  // Listens at `endpoint`; the system chooses the port if it is 0. The table outlives the relay. Throws
  // boost::system::system_error.
  TcpRelay(boost::asio::io_context& io, LinkTable& table, const Actor& from, const Actor& to,
           const Endpoint& endpoint, const Endpoint& target, std::uint64_t seed);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  const Actor& from() const { return from_; }
  const Actor& to() const { return to_; }
  const Endpoint& endpoint() const { return endpoint_; }

  // Applies a change of the table for this pair before it returns.
  void on_link_changed();
  // Resets both ends of each open connection.
  void reset();
  // Refuses new connections, as a target that does not listen.
  void set_refusing(bool on);
  std::size_t connections() const { return connections_.size(); }
  // Looks up a connection by the local port of the relay's connection to the target.
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
  Endpoint endpoint_, target_;
  Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // they keep the backlog full while the link is cut
  std::list<std::shared_ptr<Connection>> connections_;
  bool refusing_ = false, blocked_ = false, accepting_ = false;
  std::uint64_t generation_ = 0;  // distinguishes the accepts of successive listeners
};

}  // namespace thymewood::fleet
