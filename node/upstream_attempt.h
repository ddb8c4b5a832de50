// A single attempt of a request: sends it to one server on one connection and reads the response.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "clock.h"
#include "memory_budget.h"
#include "message.h"
#include "message_memory.h"
#include "thymewood/balancer.h"
#include "upstream_context.h"

namespace thymewood::node {

class ConnectionPool;
struct UpstreamConnection;

// The result of an attempt.
// NOLINTNEXTLINE(bugprone-exception-escape): Beast 1.74 has no noexcept move assignment.
struct UpstreamAttemptResult {
  Outcome outcome = Outcome::kUnknown;
  HttpResponse response;  // only with kSuccess
  // s; how long the response was unread because this process was suspended; otherwise 0.
  double unread_time = 0;
};

// Callbacks to the owner of the request.
struct AttemptCallbacks {
  // Returns whether the request may still be sent. Called right before the first byte is written, which may
  // be long after the start, and each time that the socket becomes writable again. It may update and remove
  // endpoints.
  std::function<bool()> may_send;
  // Called exactly once, never from within Upstream::start.
  std::function<void(UpstreamAttemptResult&&)> report;
};

// Time limits of an attempt, in s from its start.
struct AttemptTimeouts {
  double timeout = 0;
  // Until the last byte is written; at most `timeout`. Limits retries, which the server deduplicates only
  // within a limited time window.
  double send_timeout = timeout;
};

// Whether the connection of a finished attempt can be reused.
enum class ConnectionReuse { kReuse, kClose };

class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks);

  // A request that is not `is_retryable` avoids connections that may have been dropped while idle.
  void start(const std::shared_ptr<ConnectionPool>& pool, const std::shared_ptr<const HttpRequest>& request,
             AttemptTimeouts timeouts, bool is_retryable);

  // Called by the pool: the attempt owns the connection until it ends.
  void send_on(std::shared_ptr<UpstreamConnection> connection);

  void shorten_deadline(Clock::Steady::time_point deadline);
  void cancel_if_unsent();

  // Stops writing; the outcome is reported from the event loop.
  void finish_later(Outcome outcome);

  // Releases the connection before it reports the outcome, so that the next request can use the connection.
  void finish(Outcome outcome, ConnectionReuse reuse);

  [[nodiscard]] bool is_retryable() const { return is_retryable_; }

 private:
  enum class State { kActive, kEnding, kEnded };  // kEnding: outcome known but not reported

  void arm_timer();
  void on_timer();
  [[nodiscard]] bool may_continue();
  [[nodiscard]] std::string serialize_request() const;
  void write();
  void wait_until_writable();
  void on_writable();
  void read_response();
  void read_some();
  void on_read(boost::system::error_code error);
  void on_response();
  void record_idle_lifetime(Outcome outcome);
  // Returns the value for UpstreamAttemptResult::unread_time.
  [[nodiscard]] double free_connection(const std::shared_ptr<UpstreamConnection>& connection,
                                       ConnectionReuse reuse);

  std::shared_ptr<UpstreamContext> context_;
  boost::asio::steady_timer timer_;
  AttemptCallbacks callbacks_;
  std::shared_ptr<ConnectionPool> pool_;
  std::shared_ptr<UpstreamConnection> connection_;
  std::shared_ptr<const HttpRequest> request_;  // null once it is serialized
  Clock::Steady::time_point deadline_, send_by_;
  bool is_retryable_ = true;
  State state_ = State::kActive;

  std::string serialized_;  // the request; empty once it is sent
  std::size_t written_ = 0;
  bool is_sent_ = false;  // the last byte is written, so the server may process the request
  Clock::Steady::time_point write_started_at_;
  std::optional<double> connection_idle_time_;  // s; null for a new connection

  std::optional<MeasuringParser<false>> parser_;
  int interim_responses_ = 0;
  MemoryBudget::Reservation memory_;  // for the serialized request, then for the response
};

}  // namespace thymewood::node
