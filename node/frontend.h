// The HTTP server side of a node: accepts client connections, limits their number, and closes them in a
// graceful shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "client_listener.h"
#include "client_session.h"
#include "clock.h"
#include "dispatcher.h"
#include "graceful_shutdown.h"
#include "memory_budget.h"
#include "session_table.h"
#include "validation.h"

namespace thymewood::node {

// Owns the listener and the sessions.
class Frontend final : private ListenerCallbacks, private SessionOwner {
 public:
  struct Limits {
    std::size_t max_connections = 0;  // beyond it, idle ones are closed or new ones rejected
    std::size_t max_rejected = 0;     // additional connections to reject; beyond it, none are accepted
    double overload_retry_after = 0;  // s
  };

  Frontend(boost::asio::io_context& io, const Clock& clock, const Limits& limits, Catalog catalog,
           MemoryBudget& memory_budget, Dispatcher& dispatcher);
  ~Frontend();
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  // Throws boost::system::system_error if the address cannot be bound or listened on.
  void listen(const boost::asio::ip::tcp::endpoint& endpoint) { listener_.listen(endpoint); }
  void start() { listener_.accept(); }
  [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return listener_.local_endpoint(); }

  // Called after an exception escaped from a handler: resumes the accept that the handler may have left
  // incomplete.
  void resume_after_exception() { listener_.resume_after_exception(); }

  // Starts the graceful shutdown; calls `done` when no connection is left.
  void drain(std::function<void()> done) { shutdown_.start(catalog_.classes, std::move(done)); }

 private:
  [[nodiscard]] bool can_accept() const override;
  void on_accept(boost::asio::ip::tcp::socket socket) override;
  void on_accept_on_reserve(boost::asio::ip::tcp::socket socket) override;
  void free_descriptor() override;
  void on_session_ended(ClientSession& session) override;

  void start_session(boost::asio::ip::tcp::socket socket, ClientSession::Mode mode,
                     double first_request_timeout);

  Limits limits_;
  Catalog catalog_;
  ClientListener listener_;
  SessionTable sessions_;
  GracefulShutdown shutdown_;
  SessionContext session_context_;
};

}  // namespace thymewood::node
