// Generates the load of a scenario on sockets: an open loop that sends each request when it is due,
// regardless of the outcome of earlier ones, and closed-loop clients. Latency is measured from the due time,
// so that a stall of the generator is included (no coordinated omission).
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
  struct CompletedRequest {
    std::string id;
    std::size_t request_class = 0;
    int replica = 0;
    double due = 0, sent = 0, completed_at = 0;  // s since the start of the run
    Final result = Final::kFailed;
    bool response_received = false;  // false: the connection failed or the client timed out
  };
  using Observer = std::function<void(const CompletedRequest&)>;

  // `replicas`: the listener addresses of the node's replicas. The scenario must outlive this object.
  LoadGenerator(boost::asio::io_context& io, const Scenario& scenario,
                std::vector<boost::asio::ip::tcp::endpoint> replicas,
                std::chrono::steady_clock::time_point begin, std::uint64_t seed, Observer observer);
  void start();
  std::size_t in_flight() const { return in_flight_; }
  bool done() const { return arrivals_done_ && in_flight_ == 0; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  double now() const;
  boost::asio::awaitable<void> open_loop();
  boost::asio::awaitable<void> closed_loop_client(const ClosedLoop& group, int replica);
  boost::asio::awaitable<CompletedRequest> send(int replica, double due);
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
  std::size_t in_flight_ = 0;
  bool arrivals_done_ = false;
};

}  // namespace thymewood::bench
