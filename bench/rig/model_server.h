// A fake server on a loopback socket whose capacity follows a model (model/server_model.h) in real time. It
// implements the part of HTTP/1.1 (RFC 9112) that a node needs: requests with Content-Length on keep-alive
// connections. It responds with the request id as the body, or with 503 and X-Not-Processed when its queue is
// full.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "scenario.h"
#include "server_model.h"

namespace thymewood::bench {

class ModelServer {
 public:
  // A request that arrived; reported on the server's thread. `now` is in seconds since the start of the run.
  struct Arrival {
    double now = 0;
    std::size_t server = 0;
    std::string id;
    double work = 0;         // s
    double warmup_rate = 0;  // s of work per second that it can do during slow start; 0: warmed up
    bool rejected = false;
  };
  using Observer = std::function<void(const Arrival&)>;

  // Listens on a free port of 127.0.0.1. The scenario must outlive this object; `begin` is the start of the
  // run.
  ModelServer(boost::asio::io_context& io, const Scenario& scenario, std::size_t index,
              std::chrono::steady_clock::time_point begin, std::uint64_t seed, Observer observer);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void start();
  void slow_down(double factor);
  double work_done() const { return work_done_; }  // s; over all requests that completed

 private:
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : timer(io) {}
    boost::asio::steady_timer timer;
    bool ended = false;
  };

  double now() const;
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<bool> process(const std::string& id, const std::string& class_name);
  void advance_model();
  void schedule_next_completion();

  boost::asio::io_context& io_;
  const Scenario& scenario_;
  std::size_t index_;
  std::chrono::steady_clock::time_point begin_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer completion_timer_;
  ServerModel model_;
  Random random_;
  Observer observer_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters_;
  std::uint64_t requests_ = 0;
  double work_done_ = 0;
};

}  // namespace thymewood::bench
