// Discovery of a fleet: the list of servers, with a watch, as PROTOCOL has it. Each node is notified of a
// change after a lag of its own; a new watch begins with the complete list as that node would have it by now.
// Nodes of the first tier hear of servers, nodes of servers of backends.
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
    std::function<std::optional<TcpRelay::Origin>(unsigned short)> origin;  // whose watch it is
    // "ADDRESS:PORT" at which a node finds a server.
    std::function<std::string(const Actor& node, const Actor& server)> address;
    std::function<bool(const Actor& node)> reaches;  // whether what is written to it now gets there
  };

  DiscoveryStandIn(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                   const Endpoint& where, Access access, std::uint64_t seed);
  ~DiscoveryStandIn();
  DiscoveryStandIn(const DiscoveryStandIn&) = delete;
  DiscoveryStandIn& operator=(const DiscoveryStandIn&) = delete;

  void up();
  // Watches end, connections are refused; changes meanwhile are sent by the next watch.
  void down();
  const Endpoint& where() const { return where_; }

  // From now on it is so; each node hears of it after its lag. `since_ms`: Unix time of a start.
  void change(const Actor& server, Status status, std::int64_t since_ms = 0);
  // All lags are longer by this from now on.
  void lag_more(double seconds) { more_ += seconds; }
  // What was written while a node could not be reached has got there now.
  void healed(const Actor& node);
  // The list that a node starts with, as PROTOCOL has it: what it would have been sent by now.
  std::string known(const Actor& node);

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Entry {
    Status status = Status::kUp;
    std::int64_t since_ms = 0;
  };
  struct View {
    std::vector<Entry> entries;  // as sent to this node, or to be sent by its next watch
    std::uint64_t index = 1;
    double lag = 0;
    std::shared_ptr<Socket> watch;
    std::vector<Record> unheard;
  };

  boost::asio::awaitable<void> accept(std::uint64_t life);
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket, std::uint64_t life);
  boost::asio::awaitable<void> keep_alive(std::shared_ptr<Socket> socket);
  View& view_of(const Actor& node);
  ActorKind kind_for(const Actor& node) const;
  std::string entry(const Actor& node, int server, const Entry& entry) const;
  std::string list(const Actor& node, const View& view) const;
  void notify(const Actor& node, const Actor& server, const Entry& entry);
  void record_notified(const Actor& node, View& view, const Actor& server, Status status);
  static void write(const std::shared_ptr<Socket>& socket, const std::string& text);

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  Endpoint where_;
  Access access_;
  bench::Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<Actor, View> views_;
  std::vector<Entry> servers_, backends_;  // as they are
  std::uint64_t life_ = 0;
  double more_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thymewood::fleet
