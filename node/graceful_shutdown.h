// Graceful shutdown of a node: it keeps accepting connections for a short period and serving requests for
// somewhat longer. Every accepted request is answered before the platform kills the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

#include "client_listener.h"
#include "clock.h"
#include "dispatcher.h"
#include "session_table.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

class GracefulShutdown {
 public:
  GracefulShutdown(boost::asio::io_context& io, const Clock& clock, ClientListener& listener,
                   SessionTable& sessions, Dispatcher& dispatcher)
      : io_(io), clock_(clock), listener_(listener), sessions_(sessions), dispatcher_(dispatcher) {}

  // Calls `on_complete` when no connection is left. Further calls have no effect.
  void start(const std::vector<RequestClass>& classes, std::function<void()> on_complete);

  [[nodiscard]] bool has_started() const { return phase_ != Phase::kServing; }
  // Returns whether sessions close after their current request.
  [[nodiscard]] bool is_closing_sessions() const { return phase_ == Phase::kClosingSessions; }
  // Seconds until the last response is due; negative after that.
  [[nodiscard]] double time_to_response_deadline() const;

  // Must be called after a session has ended.
  void complete_if_drained();

 private:
  enum class Phase { kServing, kServingUntilDeadline, kClosingSessions };

  void schedule(double seconds, void (GracefulShutdown::*step)());
  void stop_accepting();
  void close_idle_sessions();

  boost::asio::io_context& io_;
  const Clock& clock_;
  ClientListener& listener_;
  SessionTable& sessions_;
  Dispatcher& dispatcher_;
  Phase phase_ = Phase::kServing;
  Clock::Steady::time_point response_deadline_;
  Clock::Steady::time_point accept_deadline_;  // applies while the listen queue is not empty
  std::function<void()> on_complete_;
};

}  // namespace thymewood::node
