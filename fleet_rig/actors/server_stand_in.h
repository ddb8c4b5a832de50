// A server of a fleet on a socket of its own: it can do what its capacity model says
// (bench/model/server_model.h), in real time, speaks PROTOCOL's side of HTTP, and in the first of two tiers
// makes its calls to the second through a node of its own, holding its slot while it waits.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "history_writer.h"
#include "http_client.h"
#include "scenario.h"
#include "server_model.h"
#include "tcp_relay.h"

namespace thymewood::fleet {

class ServerStandIn {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // How a request ended; kLost: the process ended before it did.
  enum class Fate { kCompleted, kFailed, kRejected, kLost };
  // By the peer's port of one of its connections: who that is.
  using Origin = std::function<std::optional<TcpRelay::Origin>(unsigned short)>;

  // `calls`: by whom it calls the second tier, none where it does not. All outlive it.
  ServerStandIn(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                const Actor& who, const bench::ScenarioServer& spec, const Endpoint& where, Origin origin,
                HttpClient* calls, std::uint64_t seed);
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  // Listens; after its first start it is cold. Throws boost::system::system_error.
  void up(bool cold);
  // The process ends: its connections are reset, and all it worked on is lost.
  void down();
  bool is_up() const { return acceptor_.is_open(); }
  void slow_down(double factor);
  void fail(double part) { fail_ = part; }  // of its calls end as errors at once
  void mute(double part) { mute_ = part; }  // of its calls are never answered
  const Endpoint& where() const { return where_; }
  std::size_t connections() const { return sockets_.size(); }
  double work_done() const { return work_done_; }  // s

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : timer(io, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer timer;
    bool over = false;
  };
  struct IncomingRequest {
    std::string id, first, class_name, key, tenant;
    bool body = true;
    double time = 0;
  };

  // What the server does with a request on its arrival.
  struct Admission {
    enum class Kind { kProcess, kFail, kReject, kNoResponse };
    Kind kind = Kind::kProcess;
    double work = 0;  // s
  };

  boost::asio::awaitable<void> accept(std::uint64_t life);
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket, std::uint64_t life);
  static IncomingRequest parse(const boost::beast::http::request<boost::beast::http::string_body>& request);
  double draw_work(const IncomingRequest& request);
  Record received(const IncomingRequest& request, double work, unsigned short port) const;
  Admission admit(const IncomingRequest& request, unsigned short port);
  bool is_full(std::size_t queued) const;
  boost::asio::awaitable<Fate> handle(const IncomingRequest& request, double work, std::uint64_t life);
  boost::asio::awaitable<Fate> run_in_model(double work, std::uint64_t life);
  boost::asio::awaitable<Fate> call_second_tier(const IncomingRequest& request, double until,
                                                std::uint64_t life);
  boost::asio::awaitable<void> wait(const std::shared_ptr<Waiter>& waiter);
  void release_slot();
  void act();
  void plan();

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  Actor who_;
  bench::ScenarioServer spec_;
  Endpoint where_;
  Origin origin_;
  HttpClient* calls_;
  bench::Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer next_;
  bench::ServerModel model_;
  std::list<std::shared_ptr<Socket>> sockets_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> working_;
  std::deque<std::shared_ptr<Waiter>> queue_;  // for a slot, where it holds them over its calls
  int slots_ = 0;                              // in use
  std::uint64_t life_ = 0, requests_ = 0, calls_made_ = 0;
  double fail_ = 0, mute_ = 0, work_done_ = 0;
};

}  // namespace thymewood::fleet
