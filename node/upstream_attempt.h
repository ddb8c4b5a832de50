// One attempt of a request: sent to one server over one connection, once, and its response.
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
#include "thymewood/balancer.h"
#include "upstream_context.h"

namespace thymewood::node {

class ConnectionPool;
struct UpstreamConnection;

// How an attempt ended.
// NOLINTNEXTLINE(bugprone-exception-escape): Beast 1.74 has no noexcept move assignment.
struct AttemptEnd {
  Outcome outcome = Outcome::kUnknown;
  HttpResponse response;  // only with kSuccess
  // s; how long the response had been unread when this process, which had been suspended, read it; else 0.
  double unread = 0;
};

// What an attempt needs of the owner of its request.
struct AttemptCallbacks {
  // Called right before the first byte is written, which may be long after the start, and after each wait for
  // the server: whether the request is still to be sent. It may update and remove endpoints.
  std::function<bool()> may_send;
  // Called exactly once, never from within Upstream::start.
  std::function<void(AttemptEnd&&)> report;
};

// How long an attempt may take, in s from its start.
struct AttemptTime {
  double timeout = 0;
  // Until its last byte is written; at most `timeout`. A retry is deduplicated for a limited time only.
  double send_by = timeout;
};

// Whether the connection of a finished attempt may carry another request.
enum class ConnectionReuse { kReuse, kClose };

class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
 public:
  UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks);

  // A request that is not `is_retryable` is kept off connections that may have been dropped while idle.
  void start(const std::shared_ptr<ConnectionPool>& pool, const std::shared_ptr<const HttpRequest>& request,
             AttemptTime time, bool is_retryable);

  // Called by the pool: the connection is the attempt's until it ends.
  void send_on(std::shared_ptr<UpstreamConnection> connection);

  void shorten_deadline(Clock::Steady::time_point deadline);
  void withdraw();

  // Nothing more is written from here on; the outcome is reported from the event loop.
  void end_later(Outcome outcome);

  // Frees the connection, then reports the outcome, so that the next request may use the connection.
  void finish(Outcome outcome, ConnectionReuse reuse);

  [[nodiscard]] bool is_retryable() const { return is_retryable_; }

 private:
  enum class State { kActive, kEnding, kEnded };  // kEnding: the outcome is decided, not yet reported

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
  // Returns AttemptEnd::unread.
  [[nodiscard]] double free_connection(const std::shared_ptr<UpstreamConnection>& connection,
                                       ConnectionReuse reuse);

  std::shared_ptr<UpstreamContext> context_;
  boost::asio::steady_timer timer_;
  AttemptCallbacks callbacks_;
  std::shared_ptr<ConnectionPool> pool_;
  std::shared_ptr<UpstreamConnection> connection_;
  std::shared_ptr<const HttpRequest> request_;  // until it is serialized
  Clock::Steady::time_point deadline_, send_by_;
  bool is_retryable_ = true;
  State state_ = State::kActive;

  std::string serialized_;  // the request, until it is sent
  std::size_t written_ = 0;
  bool is_sent_ = false;  // its last byte is written: from here on it may have been processed
  Clock::Steady::time_point write_began_at_;
  std::optional<double> connection_idle_;  // s; how long its connection had been idle; none on a new one

  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  int interim_responses_ = 0;
  MemoryBudget::Reservation memory_;  // of the serialized request, then of the response
};

}  // namespace thymewood::node
