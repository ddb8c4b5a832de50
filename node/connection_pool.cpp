#include "connection_pool.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <utility>

#include "event_log.h"
#include "upstream_attempt.h"

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// Connections are closed after this fraction of the idle timeout. A request written while the server closes
// the connection ends in a reset, and a request that is not idempotent cannot be retried.
constexpr double kIdleTimeoutFactor = 0.85;

// A connection is not reused for this long after a response. Some servers send surplus bytes after a
// response, such as a duplicate of it, which may arrive later and would be parsed as the next response.
constexpr double kCoolDown = 0.004;  // s

constexpr std::size_t kMaxIdleBuffer = 4096;  // bytes of buffer retained by an idle connection

}  // namespace

// ---------------------------------------------------------------- endpoint

void ConnectionPool::update_endpoint(const tcp::endpoint& endpoint, double started_at, bool is_usable) {
  const bool is_same_process = endpoint_ == endpoint && started_at_ == started_at;
  if (!is_same_process) server_incarnation_ += 1;
  started_at_ = started_at;
  is_usable_ = is_usable;
  if (endpoint.port() != 0) endpoint_ = endpoint;
  if (is_same_process && is_usable) return;
  close_idle();
  end_partly_written();
}

void ConnectionPool::remove_endpoint() {
  is_usable_ = false;
  close_idle();
  end_partly_written();
  // Another server may use this address by now and must not receive requests for the removed one. The
  // attempts end asynchronously, after the caller has processed the removal.
  const std::deque<std::shared_ptr<UpstreamAttempt>> waiting = std::exchange(waiting_, {});
  for (const std::shared_ptr<UpstreamAttempt>& attempt : waiting)
    attempt->finish_later(Outcome::kConnectFailed);
}

void ConnectionPool::shut_down() {
  close_idle();
  waiting_.clear();
  partly_written_.clear();
}

// The server could read the rest at any later time and would then process the request. A request whose last
// byte is not written has not been processed.
void ConnectionPool::end_partly_written() {
  const std::vector<std::shared_ptr<UpstreamAttempt>> attempts = std::exchange(partly_written_, {});
  for (const std::shared_ptr<UpstreamAttempt>& attempt : attempts) attempt->finish_later(Outcome::kNotSent);
}

// ---------------------------------------------------------------- attempts

void ConnectionPool::assign_connection(const std::shared_ptr<UpstreamAttempt>& attempt) {
  preconnect_.on_request();
  if (std::shared_ptr<UpstreamConnection> connection = take_idle(attempt->is_retryable())) {
    attempt->send_on(std::move(connection));
  } else if (has_spare_cooling_down()) {
    // A cool-down often ends before a new connection is established; the attempt uses whichever is available
    // first.
    waiting_.push_back(attempt);
    const UpstreamContext& context = *context_;
    if (context.connection_count < context.limits.max_connections && preconnect_.try_preconnect()) connect();
    serve_waiting_after_cool_down();
  } else if (reserve_capacity()) {
    waiting_.push_back(attempt);
    connect();
  } else {
    attempt->finish_later(Outcome::kNotSent);
  }
}

void ConnectionPool::remove_waiting(const std::shared_ptr<UpstreamAttempt>& attempt) {
  std::erase(waiting_, attempt);
}

void ConnectionPool::add_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt) {
  partly_written_.push_back(attempt);
}

void ConnectionPool::remove_partly_written(const std::shared_ptr<UpstreamAttempt>& attempt) {
  std::erase(partly_written_, attempt);
}

void ConnectionPool::serve_waiting() {
  while (!waiting_.empty()) {
    const std::shared_ptr<UpstreamAttempt> attempt = waiting_.front();
    std::shared_ptr<UpstreamConnection> connection = take_idle(attempt->is_retryable());
    if (!connection) return;
    waiting_.pop_front();
    attempt->send_on(std::move(connection));
  }
}

void ConnectionPool::serve_waiting_after_cool_down() {
  cool_down_waits_ += 1;
  const auto timer = std::make_shared<asio::steady_timer>(context_->io, Clock::to_duration(kCoolDown));
  timer->async_wait([self = shared_from_this(), timer](error_code) {
    if (self->context_->is_alive) self->on_cool_down_ended();
  });
}

// The connections may have become unusable, in which case new ones are needed.
void ConnectionPool::on_cool_down_ended() {
  cool_down_waits_ -= 1;
  serve_waiting();
  if (cool_down_waits_ > 0) return;
  for (std::size_t unserved = waiting_.size(); unserved > connecting_count_ && !waiting_.empty();) {
    if (is_usable_ && reserve_capacity()) {
      connect();
    } else {
      const std::shared_ptr<UpstreamAttempt> attempt = waiting_.front();
      attempt->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
      --unserved;
    }
  }
}

// A connection could not be established or is unusable. Each waiting attempt has a connect in progress, so
// one attempt fails, unless a released connection has already served an attempt and left a connect in excess.
void ConnectionPool::fail_unserved_attempt() {
  if (cool_down_waits_ > 0 || waiting_.size() <= connecting_count_) return;
  const std::shared_ptr<UpstreamAttempt> attempt = waiting_.front();
  attempt->finish(Outcome::kConnectFailed, ConnectionReuse::kClose);
}

// ---------------------------------------------------------------- connecting

void ConnectionPool::connect() {
  const auto connection = std::make_shared<UpstreamConnection>(context_->io, shared_from_this());
  connection->endpoint = endpoint_;
  connecting_count_ += 1;
  context_->connection_count += 1;
  connection->timer.expires_after(Clock::to_duration(context_->limits.connect_timeout));
  connection->timer.async_wait([connection](error_code cancelled) {
    ConnectionPool& pool = *connection->pool;
    if (!cancelled && pool.context_->is_alive) pool.on_connect_ended(connection, false);
  });
  connection->socket.async_connect(endpoint_, [connection](error_code error) {
    ConnectionPool& pool = *connection->pool;
    if (pool.context_->is_alive) pool.on_connect_ended(connection, !error);
  });
}

void ConnectionPool::on_connect_ended(const std::shared_ptr<UpstreamConnection>& connection,
                                      bool is_connected) {
  // Both the timeout and the completion of the connect may be reported.
  if (connection->state != UpstreamConnection::State::kConnecting) return;
  connection->state = UpstreamConnection::State::kInUse;
  cancel_timer(connection->timer);
  connecting_count_ -= 1;
  if (!is_connected) {
    close(connection, CloseReason::kConnectFailed);
    preconnect_.on_connect_failed();
    return fail_unserved_attempt();
  }
  // If the server restarted during the connect, the new process accepted the connection, unless the address
  // has changed.
  if (connection->endpoint == endpoint_) connection->server_incarnation = server_incarnation_;
  error_code ignored;
  connection->socket.set_option(tcp::no_delay(true), ignored);
  make_available(connection, Origin::kConnected, Clock::Steady::now());
}

bool ConnectionPool::reserve_capacity() {
  return context_->connection_count < context_->limits.max_connections ||
         context_->evictor.evict_longest_idle();
}

// ---------------------------------------------------------------- idle connections

void ConnectionPool::release(const std::shared_ptr<UpstreamConnection>& connection,
                             Clock::Steady::time_point idle_since) {
  make_available(connection, Origin::kReleased, idle_since);
}

// Serves a waiting attempt, even while a connect for it is in progress. A connection that has just received a
// response cools down first.
void ConnectionPool::make_available(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                                    Clock::Steady::time_point idle_since) {
  // Unexpected bytes would be parsed as the response to the next request.
  if (!is_usable(*connection) || connection->buffer.size() > 0 || connection->is_readable()) {
    close(connection, close_reason(*connection));
    return fail_unserved_attempt();
  }
  // Bypasses the idle list, where the idle lifetime estimate could refuse this connection to the attempt that
  // it was opened for.
  if (origin == Origin::kConnected && !waiting_.empty()) {
    const std::shared_ptr<UpstreamAttempt> attempt = waiting_.front();
    waiting_.pop_front();
    return attempt->send_on(connection);
  }
  add_idle(connection, origin, idle_since);
  if (!waiting_.empty()) serve_waiting_after_cool_down();
}

CloseReason ConnectionPool::close_reason(const UpstreamConnection& connection) const {
  if (!is_usable_) return CloseReason::kEndpointUnusable;
  if (connection.server_incarnation != server_incarnation_) return CloseReason::kServerRestarted;
  return CloseReason::kUnexpectedBytes;
}

void ConnectionPool::add_idle(const std::shared_ptr<UpstreamConnection>& connection, Origin origin,
                              Clock::Steady::time_point idle_since) {
  if (connection->buffer.capacity() > kMaxIdleBuffer) connection->buffer.shrink_to_fit();
  connection->state = UpstreamConnection::State::kIdle;
  const bool needs_cool_down = origin == Origin::kReleased;
  connection->cool_down_until =
      Clock::Steady::now() + (needs_cool_down ? Clock::to_duration(kCoolDown) : Clock::Steady::duration{});
  idle_.push_back(connection);
  const std::uint64_t period = ++connection->idle_period;
  const auto close_for = [connection, period](CloseReason reason) {
    return [connection, period, reason](error_code cancelled) {
      ConnectionPool& pool = *connection->pool;
      const bool is_same_period =
          connection->state == UpstreamConnection::State::kIdle && connection->idle_period == period;
      if (!cancelled && pool.context_->is_alive && is_same_period) pool.close(connection, reason);
    };
  };
  // The server's idle timeout starts when it sends its response, which may have been unread while this
  // process was suspended.
  connection->timer.expires_at(idle_since +
                               Clock::to_duration(context_->limits.idle_timeout * kIdleTimeoutFactor));
  connection->timer.async_wait(close_for(CloseReason::kIdleTimeout));
  connection->socket.async_wait(tcp::socket::wait_read, close_for(CloseReason::kClosedByServer));
}

std::shared_ptr<UpstreamConnection> ConnectionPool::take_idle(bool is_retryable) {
  const Clock::Steady::time_point now = Clock::Steady::now();
  const double max_idle = is_retryable ? std::numeric_limits<double>::infinity()
                                       : context_->idle_lifetime.max_idle(to_seconds(now));
  std::size_t index = idle_.size();
  while (index-- > 0) {
    const std::shared_ptr<UpstreamConnection> connection = idle_[index];
    if (connection->cool_down_until > now) continue;
    // All connections before this one have been idle for longer.
    if (to_seconds(now - connection->cool_down_until) > max_idle) return nullptr;
    // A busy event loop may not have reported the idle timeout or the server's close yet.
    const bool is_expired = connection->timer.expiry() <= now;
    if (!is_expired && !connection->is_readable()) return take_idle_at(index);
    close(connection, is_expired ? CloseReason::kIdleTimeout : CloseReason::kClosedByServer);
  }
  return nullptr;
}

std::shared_ptr<UpstreamConnection> ConnectionPool::take_idle_at(std::size_t index) {
  std::shared_ptr<UpstreamConnection> connection = std::move(idle_[index]);
  idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(index));
  connection->state = UpstreamConnection::State::kInUse;
  connection->idle_period += 1;
  cancel_timer(connection->timer);
  error_code ignored;
  connection->socket.cancel(ignored);  // cancels the wait for the server's close
  return connection;
}

// Returns whether more connections are cooling down than attempts are waiting.
bool ConnectionPool::has_spare_cooling_down() const {
  const Clock::Steady::time_point now = Clock::Steady::now();
  const auto cooling_down = std::count_if(idle_.begin(), idle_.end(), [now](const auto& connection) {
    return connection->cool_down_until > now;
  });
  return static_cast<std::size_t>(cooling_down) > waiting_.size();
}

void ConnectionPool::close(const std::shared_ptr<UpstreamConnection>& connection, CloseReason reason) {
  log_debug("connection_closed").with("server", server_).with("reason", name_of(reason));
  context_->connection_count -= 1;
  if (connection->state == UpstreamConnection::State::kIdle) {
    idle_.erase(std::find(idle_.begin(), idle_.end(), connection));
  }
  connection->close();
}

void ConnectionPool::close_idle() {
  for (const std::shared_ptr<UpstreamConnection>& connection : idle_) {
    log_debug("connection_closed")
        .with("server", server_)
        .with("reason", name_of(CloseReason::kEndpointUnusable));
    connection->close();
    context_->connection_count -= 1;
  }
  idle_.clear();
}

void ConnectionPool::evict_longest_idle() {
  const std::shared_ptr<UpstreamConnection> connection = idle_.front();
  close(connection, CloseReason::kConnectionLimit);
}

}  // namespace thymewood::node
