#include "upstream_attempt.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cmath>
#include <sstream>
#include <utility>

#include "connection_pool.h"
#include "socket_arrival.h"
#include "upstream_connection.h"

namespace thymewood::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one

Outcome outcome_of(const HttpResponse& response) {
  switch (response.result_int()) {
    case 200:
      return Outcome::kSuccess;
    case 503:
    case 504:
      // Without the header field, the response may come from a tier behind the server, and the request may
      // have been processed.
      return response["X-Not-Processed"] == "1" ? Outcome::kRejected : Outcome::kError;
    default:
      return Outcome::kError;
  }
}

// Returns whether the connection was closed or failed, as opposed to a malformed response.
bool is_connection_error(error_code error) {
  return error == http::error::end_of_stream || error == http::error::partial_message ||
         error.category() == boost::system::system_category() ||
         error.category() == asio::error::get_misc_category();
}

// A response delimited by the end of the connection may be truncated, unless the server announced the close.
bool may_be_truncated(const http::response_parser<http::string_body>& parser) {
  const HttpResponse& response = parser.get();
  return response.need_eof() && !response.has_content_length() && !response.chunked() &&
         !http::token_list(response[http::field::connection]).exists("close");
}

}  // namespace

UpstreamAttempt::UpstreamAttempt(std::shared_ptr<UpstreamContext> context, AttemptCallbacks callbacks)
    : context_(std::move(context)),
      timer_(context_->io),
      callbacks_(std::move(callbacks)),
      memory_(context_->memory_budget) {}

void UpstreamAttempt::start(const std::shared_ptr<ConnectionPool>& pool,
                            const std::shared_ptr<const HttpRequest>& request, AttemptTimeouts timeouts,
                            bool is_retryable) {
  pool_ = pool;
  request_ = request;
  is_retryable_ = is_retryable;
  const Clock::Steady::time_point now = Clock::Steady::now();
  deadline_ = now + Clock::to_duration(timeouts.timeout);
  send_by_ = now + Clock::to_duration(std::min(timeouts.timeout, timeouts.send_timeout));
  arm_timer();
  pool_->assign_connection(shared_from_this());
}

// ---------------------------------------------------------------- time

// A single timer covers sending, if that has the earlier deadline, and then the response.
void UpstreamAttempt::arm_timer() {
  timer_.expires_at(is_sent_ ? deadline_ : send_by_);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && self->context_->is_alive && self->state_ != State::kEnded) self->on_timer();
  });
}

void UpstreamAttempt::on_timer() {
  if (is_sent_ && Clock::Steady::now() < deadline_) return arm_timer();
  if (is_sent_) return finish(Outcome::kTimedOut, ConnectionReuse::kClose);
  // An expired send deadline of a retry is not a failure of the server.
  const bool is_only_send_deadline_over = send_by_ < deadline_;
  finish(is_only_send_deadline_over ? Outcome::kNotSent : Outcome::kConnectFailed, ConnectionReuse::kClose);
}

void UpstreamAttempt::shorten_deadline(Clock::Steady::time_point deadline) {
  if (state_ == State::kEnded || deadline_ <= deadline) return;
  deadline_ = deadline;
  send_by_ = std::min(send_by_, deadline);
  if (pool_) arm_timer();
}

void UpstreamAttempt::cancel_if_unsent() {
  if (!is_sent_) finish_later(Outcome::kNotSent);
}

// ---------------------------------------------------------------- request

void UpstreamAttempt::send_on(std::shared_ptr<UpstreamConnection> connection) {
  connection_ = std::move(connection);
  // This process may have been suspended before the connection became available. By now the deadline may have
  // passed, the client may have disconnected, or the server may be draining, and the handlers that report it
  // may run later.
  const bool may_send = may_continue();
  write_started_at_ = Clock::Steady::now();
  if (state_ != State::kActive) return;
  if (!may_send) return finish_later(Outcome::kNotSent);
  if (std::exchange(connection_->has_carried_request, true)) {
    connection_idle_time_ = to_seconds(write_started_at_ - connection_->cool_down_until);
  }
  serialized_ = serialize_request();
  request_.reset();
  if (!memory_.try_resize(serialized_.size())) return finish_later(Outcome::kNotSent);
  write();
}

std::string UpstreamAttempt::serialize_request() const {
  HttpRequest head;
  head.base() = request_->base();
  const tcp::endpoint& server = pool_->endpoint();
  head.set(http::field::host, server.address().to_string() + ":" + std::to_string(server.port()));
  // Forwards the remaining time: waiting for the connection has used part of the timeout.
  constexpr double kMillisecondsPerSecond = 1000;
  const double remaining = to_seconds(deadline_ - Clock::Steady::now());
  const double milliseconds = std::max(1.0, std::floor(remaining * kMillisecondsPerSecond));
  head.set("X-Timeout-Ms", std::to_string(static_cast<long long>(milliseconds)));
  std::ostringstream text;
  text << head.base();
  return std::move(text).str() + request_->body();
}

bool UpstreamAttempt::may_continue() {
  const bool may_send = callbacks_.may_send();
  if (state_ != State::kActive) return false;
  return may_send && pool_->is_usable(*connection_) && Clock::Steady::now() < send_by_;
}

// Data received before the last byte is written cannot be the response. It is a surplus response to the
// previous request, so the connection is closed. A request whose last byte is not written has not been
// processed.
void UpstreamAttempt::write() {
  while (written_ < serialized_.size()) {
    if (connection_->is_readable()) return finish_later(Outcome::kConnectFailed);
    const ssize_t n = ::send(connection_->socket.native_handle(), serialized_.data() + written_,
                             serialized_.size() - written_, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0) {
      written_ += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return wait_until_writable();
    } else if (n == 0 || errno != EINTR) {
      return finish_later(Outcome::kConnectFailed);
    }
  }
  is_sent_ = true;
  if (send_by_ < deadline_) arm_timer();
  release_memory(serialized_);
  memory_.resize(0);
  read_response();
}

void UpstreamAttempt::wait_until_writable() {
  pool_->add_partly_written(shared_from_this());
  connection_->socket.async_wait(tcp::socket::wait_write,
                                 [self = shared_from_this(), connection = connection_](error_code error) {
                                   if (!self->context_->is_alive) return;
                                   self->pool_->remove_partly_written(self);
                                   if (self->state_ != State::kActive) return;
                                   if (error)
                                     return self->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
                                   self->on_writable();
                                 });
}

// May run before the client's FIN or an endpoint update is read.
void UpstreamAttempt::on_writable() {
  const bool may_send = may_continue();
  if (state_ != State::kActive) return;
  if (!may_send) return finish_later(Outcome::kNotSent);
  write();
}

// ---------------------------------------------------------------- response

void UpstreamAttempt::read_response() {
  parser_.emplace();
  parser_->header_limit(kHeaderLimit);
  parser_->body_limit(kResponseBodyLimit);
  // An eager parser does not enforce its body limit if the head and part of the body arrive together.
  parser_->eager(false);
  read_some();
}

// The handler holds a reference to the connection because it uses the connection's buffer: an attempt that
// ends releases its connection before the read is cancelled.
void UpstreamAttempt::read_some() {
  http::async_read_some(connection_->socket, connection_->buffer, *parser_,
                        [self = shared_from_this(), connection = connection_](error_code error, std::size_t) {
                          if (!self->context_->is_alive || self->state_ == State::kEnded) return;
                          self->on_read(error);
                        });
}

void UpstreamAttempt::on_read(error_code error) {
  if (error && !parser_->is_done()) {
    // The server has received the request and may have processed it, even if its response is malformed.
    return finish(is_connection_error(error) ? Outcome::kReset : Outcome::kUnknown, ConnectionReuse::kClose);
  }
  const std::size_t body_size = parser_->get().body().size();
  const std::size_t buffered = connection_->buffer.capacity() + parser_->message_memory();
  if (body_size > kResponseBodyLimit || !memory_.try_resize(buffered)) {
    return finish(Outcome::kUnknown, ConnectionReuse::kClose);
  }
  if (parser_->is_done()) return on_response();
  read_some();
}

void UpstreamAttempt::on_response() {
  const HttpResponse& response = parser_->get();
  if (http::to_status_class(response.result_int()) == http::status_class::informational) {
    const bool is_upgrade = response.result() == http::status::switching_protocols;
    if (is_upgrade || ++interim_responses_ > kMaxInterimResponses) {
      return finish(Outcome::kUnknown, ConnectionReuse::kClose);
    }
    return read_response();
  }
  if (may_be_truncated(*parser_)) return finish(Outcome::kReset, ConnectionReuse::kClose);
  finish(outcome_of(response), parser_->keep_alive() ? ConnectionReuse::kReuse : ConnectionReuse::kClose);
}

// ---------------------------------------------------------------- end

void UpstreamAttempt::finish_later(Outcome outcome) {
  if (state_ != State::kActive) return;
  state_ = State::kEnding;
  // A connection that becomes available in the meantime must serve another attempt.
  if (pool_) pool_->remove_waiting(shared_from_this());
  asio::post(context_->io, [self = shared_from_this(), outcome] {
    if (self->context_->is_alive) self->finish(outcome, ConnectionReuse::kClose);
  });
}

void UpstreamAttempt::finish(Outcome outcome, ConnectionReuse reuse) {
  if (std::exchange(state_, State::kEnded) == State::kEnded) return;
  cancel_timer(timer_);
  record_idle_lifetime(outcome);
  if (pool_) {
    pool_->remove_waiting(shared_from_this());
    pool_->remove_partly_written(shared_from_this());
  }
  UpstreamAttemptResult result;
  result.outcome = outcome;
  if (const std::shared_ptr<UpstreamConnection> connection = std::exchange(connection_, nullptr)) {
    result.unread_time = free_connection(connection, reuse);
  }
  if (outcome == Outcome::kSuccess) result.response = parser_->release();
  const AttemptCallbacks callbacks = std::move(callbacks_);
  callbacks.report(std::move(result));
}

void UpstreamAttempt::record_idle_lifetime(Outcome outcome) {
  if (!is_sent_ || !connection_idle_time_) return;
  const Clock::Steady::time_point now = Clock::Steady::now();
  const bool was_reset = outcome == Outcome::kReset &&
                         to_seconds(now - write_started_at_) < IdleLifetimeEstimate::kMaxResetDelay;
  context_->idle_lifetime.record_use(to_seconds(now), *connection_idle_time_, was_reset);
}

double UpstreamAttempt::free_connection(const std::shared_ptr<UpstreamConnection>& connection,
                                        ConnectionReuse reuse) {
  const Clock::Steady::time_point now = Clock::Steady::now();
  const bool is_complete = parser_ && parser_->is_done();
  // A quick response cannot have been unread for long, which saves most attempts the system call.
  double age = 0;
  if (to_seconds(now - write_started_at_) >= kLateReadThreshold && is_complete) {
    age = read_socket_arrival(connection->socket.native_handle()).age;
  }
  if (reuse == ConnectionReuse::kReuse) {
    pool_->release(connection, now - Clock::to_duration(age));
  } else {
    pool_->close(connection, CloseReason::kNotReusable);
  }
  return age >= kSuspensionThreshold ? age : 0;
}

}  // namespace thymewood::node
