// The end of a node: it goes on accepting for a while and serving for a while longer, and answers every
// request that it has accepted before the platform kills the process.
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

  // Calls `on_complete` when no connection is left. A second call does nothing.
  void start(const std::vector<RequestClass>& classes, std::function<void()> on_complete);

  [[nodiscard]] bool has_started() const { return phase_ != Phase::kServing; }
  // Whether sessions end with their current request.
  [[nodiscard]] bool is_closing_sessions() const { return phase_ == Phase::kClosingSessions; }
  // s until the last response is due; negative afterwards.
  [[nodiscard]] double time_to_response_deadline() const;

  // To be called after a session has ended.
  void complete_if_drained();

 private:
  enum class Phase { kServing, kServingUntilDeadline, kClosingSessions };

  void call_after(double seconds, void (GracefulShutdown::*step)());
  void stop_accepting();
  void close_idle_sessions();

  boost::asio::io_context& io_;
  const Clock& clock_;
  ClientListener& listener_;
  SessionTable& sessions_;
  Dispatcher& dispatcher_;
  Phase phase_ = Phase::kServing;
  Clock::Steady::time_point response_deadline_;
  Clock::Steady::time_point accept_deadline_;  // while the listener's queue is not empty
  std::function<void()> on_complete_;
};

}  // namespace thymewood::node
