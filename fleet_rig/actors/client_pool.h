// The clients of a fleet and the front through which they come: it deals out their requests over the nodes
// that it believes to be up, and learns of a death late. Clients retry by themselves, as the scenario
// says.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "history_writer.h"
#include "http_client.h"
#include "scenario.h"

namespace thymewood::fleet {

class ClientPool {
 public:
  // `nodes`: where each node is reached. All outlive it.
  ClientPool(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
             const std::vector<HttpClient::Endpoint>& nodes, std::uint64_t seed);

  // Watches for a node that starts, until it is healthy; then the front takes it in.
  void expect(int node);
  // A node has died, or is about to; the front learns of it so many seconds later.
  void lost(int node, double after);
  // Connections to it that are open and not in use.
  std::size_t idle_connections(int node) const {
    return nodes_.at(static_cast<std::size_t>(node)).client->idle_connections();
  }
  std::size_t up() const;  // nodes that the front believes to be up
  bool is_up(int node) const { return nodes_.at(static_cast<std::size_t>(node)).up; }

  // The load begins; its time 0 is the history's.
  void start();
  // It is over, and all that was asked has its end.
  bool done() const { return arrivals_over_ && under_way_ == 0 && loops_ == 0; }

 private:
  struct Node {
    std::unique_ptr<HttpClient> client;
    bool up = false;
    std::uint64_t life = 0;  // tells the watch of one start from that of the next
  };

  boost::asio::awaitable<void> watch(int node, std::uint64_t life);
  boost::asio::awaitable<void> open_loop();
  boost::asio::awaitable<void> loop(const bench::ClosedLoop& group);
  boost::asio::awaitable<void> flood(const bench::Flood& flood);
  boost::asio::awaitable<int> want(const bench::Flood* flood);
  boost::asio::awaitable<void> one(const bench::Flood* flood);
  boost::asio::awaitable<void> sleep(double seconds);
  int pick();

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  std::uint64_t seed_;
  bench::Random random_;
  std::vector<Node> nodes_;
  std::uint64_t wants_ = 0;
  std::size_t under_way_ = 0, loops_ = 0;
  double advised_ = 0;
  bool arrivals_over_ = false;
};

}  // namespace thymewood::fleet
