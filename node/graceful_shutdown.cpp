#include "graceful_shutdown.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "client_session.h"

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// The schedule, relative to the start of the shutdown. The platform kills the process 0.7 s after the longest
// client timeout, which counts as 3 s at most; by then every accepted request must be answered. Clients keep
// using their connections while these are open, and may have no other node to connect to.
constexpr double kMaxClientTimeout = 3;     // s
constexpr double kResponseMargin = 0.35;    // s; from the longest client timeout to the last response
constexpr double kLastRequestMargin = 0.2;  // s; from closing idle sessions to the longest client timeout
constexpr double kAcceptPeriod = 0.5;       // s
constexpr double kAcceptRetryDelay = 0.02;  // s

}  // namespace

void GracefulShutdown::start(const std::vector<RequestClass>& classes, std::function<void()> on_complete) {
  if (has_started()) return;
  phase_ = Phase::kServingUntilDeadline;
  on_complete_ = std::move(on_complete);
  double longest_timeout = 0;
  for (const RequestClass& c : classes)
    longest_timeout = std::max(longest_timeout, std::min(c.client_timeout, kMaxClientTimeout));
  const double close_after = std::max(kAcceptPeriod, longest_timeout - kLastRequestMargin);
  const Clock::Steady::time_point now = Clock::Steady::now();
  response_deadline_ = now + Clock::to_duration(longest_timeout + kResponseMargin);
  accept_deadline_ = now + Clock::to_duration(close_after);
  // Requests accepted earlier may have later deadlines.
  dispatcher_.limit_deadlines(clock_.now() + longest_timeout + kResponseMargin);
  schedule(kAcceptPeriod, &GracefulShutdown::stop_accepting);
  schedule(close_after, &GracefulShutdown::close_idle_sessions);
}

double GracefulShutdown::time_to_response_deadline() const {
  return std::chrono::duration<double>(response_deadline_ - Clock::Steady::now()).count();
}

void GracefulShutdown::schedule(double seconds, void (GracefulShutdown::*step)()) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::to_duration(seconds));
  timer->async_wait([this, timer, step](error_code) { (this->*step)(); });
}

// Closing the listener resets the connections in the listen queue, which is not empty if the process has run
// out of descriptors.
void GracefulShutdown::stop_accepting() {
  const bool is_queue_empty = listener_.accept_queued();
  if (!is_queue_empty && Clock::Steady::now() < accept_deadline_) {
    return schedule(kAcceptRetryDelay, &GracefulShutdown::stop_accepting);
  }
  listener_.close();
  complete_if_drained();
}

void GracefulShutdown::close_idle_sessions() {
  phase_ = Phase::kClosingSessions;
  for (const std::shared_ptr<ClientSession>& session : sessions_.all()) session->close_gracefully();
  complete_if_drained();
}

void GracefulShutdown::complete_if_drained() {
  if (has_started() && on_complete_ && !listener_.is_open() && sessions_.empty()) {
    asio::post(io_, std::exchange(on_complete_, nullptr));
  }
}

}  // namespace thymewood::node
