// The load of a scenario on sockets: an open loop that sends each request when it is due, whatever became of
// the others, and clients in a closed loop. Latency counts from when a request was due, so that no stall
// hides.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "rule_monitor.h"
#include "scenario.h"

namespace thymewood::bench {

class LoadGenerator {
 public:
  struct Ended {
    std::string id;
    std::size_t request_class = 0;
    int replica = 0;
    double due = 0, sent = 0, answered = 0;  // s since the run began
    Final how = Final::kFailed;
    bool heard = false;  // an answer came; else the connection broke or the time was up
  };
  using Observer = std::function<void(const Ended&)>;

  // `replicas`: where the replicas of the node listen. The scenario outlives it.
  LoadGenerator(boost::asio::io_context& io, const Scenario& scenario,
                std::vector<boost::asio::ip::tcp::endpoint> replicas,
                std::chrono::steady_clock::time_point begin, std::uint64_t seed, Observer observer);
  void start();
  std::size_t under_way() const { return under_way_; }
  bool done() const { return arrivals_over_ && under_way_ == 0; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  double now() const;
  boost::asio::awaitable<void> open_loop();
  boost::asio::awaitable<void> closed_loop_client(const ClosedLoop& group, int replica);
  boost::asio::awaitable<Ended> send(int replica, double due);
  boost::asio::awaitable<void> send_detached(int replica, double due);

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  std::vector<boost::asio::ip::tcp::endpoint> replicas_;
  std::chrono::steady_clock::time_point begin_;
  std::uint64_t seed_;
  Random random_;
  Observer observer_;
  std::vector<std::vector<std::shared_ptr<Socket>>> idle_connections_;  // by replica
  std::uint64_t requests_ = 0;
  std::size_t under_way_ = 0;
  bool arrivals_over_ = false;
};

}  // namespace thymewood::bench
