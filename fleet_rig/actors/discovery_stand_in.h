// Fake discovery service of a fleet: the endpoint list with a watch, as PROTOCOL specifies. Each node is
// notified of a change after its own lag; a new watch starts with the full list as lagged for that node.
// Nodes of the first tier receive the servers; nodes that run as sidecars of servers receive the backends.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "history_writer.h"
#include "scenario.h"
#include "tcp_relay.h"

namespace thymewood::fleet {

class DiscoveryStandIn {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  enum class Status { kUp, kDraining, kRemoved };
  struct Access {
    std::function<std::optional<TcpRelay::Origin>(unsigned short)> origin;  // the node behind a peer's port
    // "ADDRESS:PORT" at which a node reaches a server.
    std::function<std::string(const Actor& node, const Actor& server)> address;
    // Whether bytes written to the node now are delivered.
    std::function<bool(const Actor& node)> is_reachable;
  };

  DiscoveryStandIn(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                   const Endpoint& endpoint, Access access, std::uint64_t seed);
  ~DiscoveryStandIn();
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;

  void start();
  // Closes all watches and refuses connections; changes made meanwhile are sent when the next watch starts.
  void stop();
  const Endpoint& endpoint() const { return endpoint_; }

  // Applies a status change now; each node is notified after its lag. `since_ms`: Unix time of a server
  // start.
  void set_status(const Actor& server, Status status, std::int64_t since_ms = 0);
  // Adds `seconds`, which may be negative, to the lag of every later change.
  void add_lag(double seconds) { extra_lag_ += seconds; }
  // The link to the node is open again: records the notifications that were written while it was cut.
  void link_restored(const Actor& node);
  // The full list that a node starts with, as PROTOCOL specifies: its entries as lagged for this node.
  std::string initial_list(const Actor& node);

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Entry {
    Status status = Status::kUp;
    std::int64_t since_ms = 0;
  };
  struct View {
    std::vector<Entry> entries;  // as sent to this node, or to be sent when its next watch starts
    std::uint64_t index = 1;
    double lag = 0;
    std::shared_ptr<Socket> watch;
    std::vector<Record> undelivered;
  };

  boost::asio::awaitable<void> accept(std::uint64_t generation);
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket, std::uint64_t generation);
  boost::asio::awaitable<void> keep_alive(std::shared_ptr<Socket> socket);
  View& view_of(const Actor& node);
  ActorKind listed_kind(const Actor& node) const;
  std::string entry(const Actor& node, int server, const Entry& entry) const;
  std::string list(const Actor& node, const View& view) const;
  void notify(const Actor& node, const Actor& server, const Entry& entry);
  void record_notified(const Actor& node, View& view, const Actor& server, Status status);
  static void write(const std::shared_ptr<Socket>& socket, const std::string& text);

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  Endpoint endpoint_;
  Access access_;
  bench::Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<Actor, View> views_;
  std::vector<Entry> servers_, backends_;  // current state, without lag
  std::uint64_t generation_ = 0;
  double extra_lag_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thymewood::fleet
