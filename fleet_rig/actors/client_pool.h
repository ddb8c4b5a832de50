// The clients of a fleet and the frontend in front of the nodes. The frontend spreads requests at random over
// the nodes that it considers available and detects a node failure only after a delay. Clients retry on their
// own, as the scenario configures.
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
  // `nodes`: the endpoint of each node. All reference arguments outlive the pool.
  ClientPool(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
             const std::vector<HttpClient::Endpoint>& nodes, std::uint64_t seed);

  // Polls the health of a starting node; once it is healthy, the frontend routes to it.
  void add_when_healthy(int node);
  // A node has exited or is about to; the frontend stops routing to it `detection_delay` seconds from now.
  void remove_after(int node, double detection_delay);
  // Open connections to `node` that are not in use.
  std::size_t idle_connections(int node) const {
    return nodes_.at(static_cast<std::size_t>(node)).client->idle_connections();
  }
  std::size_t available_count() const;  // nodes that the frontend considers available
  bool is_available(int node) const { return nodes_.at(static_cast<std::size_t>(node)).available; }

  // Starts the load; its time 0 is that of the history.
  void start();
  // The load is over and every operation has ended.
  bool done() const { return arrivals_over_ && operations_in_flight_ == 0 && active_generators_ == 0; }

 private:
  struct Node {
    std::unique_ptr<HttpClient> client;
    bool available = false;
    std::uint64_t generation = 0;  // distinguishes the health polls of successive starts
  };

  boost::asio::awaitable<void> wait_until_healthy(int node, std::uint64_t generation);
  boost::asio::awaitable<void> run_open_loop();
  boost::asio::awaitable<void> run_closed_loop(const bench::ClosedLoop& group);
  boost::asio::awaitable<void> run_flood(const bench::Flood& flood);
  boost::asio::awaitable<int> perform_operation(const bench::Flood* flood);
  boost::asio::awaitable<void> run_operation(const bench::Flood* flood);
  boost::asio::awaitable<void> sleep(double seconds);
  int pick_node();

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  std::uint64_t seed_;
  bench::Random random_;
  std::vector<Node> nodes_;
  std::uint64_t operation_count_ = 0;
  std::size_t operations_in_flight_ = 0, active_generators_ = 0;
  double last_retry_after_ = 0;
  bool arrivals_over_ = false;
};

}  // namespace thymewood::fleet
