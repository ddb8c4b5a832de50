// Fake server of a fleet, with a listener of its own. It executes its capacity model
// (bench/model/server_model.h) in real time and implements the server side of PROTOCOL. In the first of two
// tiers it calls the second through its own sidecar node and keeps its worker slot while it waits.
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
  // How a request ended; kLost: the process stopped before the request ended.
  enum class Outcome { kCompleted, kFailed, kRejected, kLost };
  // Maps the peer's port of a connection to the actor that opened it.
  using Origin = std::function<std::optional<TcpRelay::Origin>(unsigned short)>;

  // `second_tier_client`: calls the second tier; null for a server that makes no calls. All reference and
  // pointer arguments outlive the server.
  ServerStandIn(boost::asio::io_context& io, const bench::Scenario& scenario, HistoryWriter& history,
                const Actor& actor, const bench::ScenarioServer& spec, const Endpoint& endpoint,
                Origin origin, HttpClient* second_tier_client, std::uint64_t seed);
  ~ServerStandIn();
  ServerStandIn(const ServerStandIn&) = delete;
  ServerStandIn& operator=(const ServerStandIn&) = delete;

  // Starts listening; `cold`: with an unwarmed capacity model, as after a restart. Throws
  // boost::system::system_error.
  void start(bool cold);
  // Simulates a process exit: resets all connections and drops all requests in progress.
  void stop();
  bool is_up() const { return acceptor_.is_open(); }
  void slow_down(double factor);
  void set_failure_share(double share) { fail_share_ = share; }      // share of requests that fail at once
  void set_no_response_share(double share) { mute_share_ = share; }  // share of requests that get no response
  const Endpoint& endpoint() const { return endpoint_; }
  std::size_t connections() const { return sockets_.size(); }
  double work_done() const { return work_done_; }  // s of completed work

 private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Waiter {
    explicit Waiter(boost::asio::io_context& io) : timer(io, boost::asio::steady_timer::time_point::max()) {}
    boost::asio::steady_timer timer;
    bool done = false;
  };
  struct IncomingRequest {
    std::string id, operation_id, class_name, idempotency_key, tenant;
    bool has_body = true;
    double timeout = 0;
  };

  // Decision about a request on its arrival.
  struct Admission {
    enum class Kind { kProcess, kFail, kReject, kNoResponse };
    Kind kind = Kind::kProcess;
    double work = 0;  // s
  };

  boost::asio::awaitable<void> accept(std::uint64_t generation);
  boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket, std::uint64_t generation);
  static IncomingRequest parse(const boost::beast::http::request<boost::beast::http::string_body>& request);
  double draw_work(const IncomingRequest& request);
  Record received(const IncomingRequest& request, double work, unsigned short port) const;
  Admission admit(const IncomingRequest& request, unsigned short port);
  bool is_full(std::size_t queued) const;
  boost::asio::awaitable<Outcome> handle(const IncomingRequest& request, double work,
                                         std::uint64_t generation);
  boost::asio::awaitable<Outcome> run_in_model(double work, std::uint64_t generation);
  boost::asio::awaitable<Outcome> call_second_tier(const IncomingRequest& request, double deadline,
                                                   std::uint64_t generation);
  boost::asio::awaitable<void> wait(const std::shared_ptr<Waiter>& waiter);
  void release_slot();
  void advance_model();
  void schedule_completion();

  boost::asio::io_context& io_;
  const bench::Scenario& scenario_;
  HistoryWriter& history_;
  Actor actor_;
  bench::ScenarioServer spec_;
  Endpoint endpoint_;
  Origin origin_;
  HttpClient* second_tier_client_;
  bench::Random random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer model_timer_;
  bench::ServerModel model_;
  std::list<std::shared_ptr<Socket>> sockets_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> in_service_;
  std::deque<std::shared_ptr<Waiter>> queue_;  // for a slot, if slots are kept during second-tier calls
  int slots_in_use_ = 0;                       // only used with a second-tier client
  std::uint64_t generation_ = 0, request_count_ = 0, call_count_ = 0;
  double fail_share_ = 0, mute_share_ = 0, work_done_ = 0;
};

}  // namespace thymewood::fleet
