#include "upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cmath>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace thymewood::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// A connection is dropped this part of the idle limit early. Danger: a request written to it as the server
// closes it ends as a reset, which an unsafe class can't repeat.
constexpr double kIdlePart = 0.85;
constexpr int kMostInterim = 8;  // 1xx answers ahead of an answer

// Whether the server has closed it or sent what nobody asked for. The event loop may not have come to it yet.
bool is_readable(tcp::socket& socket) {
  char byte = 0;
  const ssize_t got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Outcome outcome_of(const HttpResponse& answer) {
  switch (answer.result_int()) {
    case 200:
      return Outcome::kDelivered;
    case 503:
    case 504:
      // Danger: without the mark it may be the word of a tier behind, and the request may have run.
      return answer["X-Not-Processed"] == "1" ? Outcome::kRejected : Outcome::kError;
    default:
      return Outcome::kError;
  }
}

}  // namespace

class Upstream::Connection {
 public:
  Connection(asio::io_context& io, std::shared_ptr<Pool> of) : socket(io), timer(io), pool(std::move(of)) {}
  tcp::socket socket;
  asio::steady_timer timer;  // for the dial, then for idling
  boost::beast::flat_buffer buffer;
  std::shared_ptr<Pool> pool;
  tcp::endpoint where;
  std::uint64_t process = 0;    // which process of the server it leads to
  std::uint64_t idle_turn = 0;  // tells a wait of this idling from one of an earlier one
  bool idle = false, dialling = true;
};

struct Upstream::Pool {
  tcp::endpoint where;
  double started = 0;
  std::uint64_t process = 1;  // counts the starts that were told
  bool usable = false;
  std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  std::deque<std::shared_ptr<Attempt>> waiting;   // for a connection; each has a dial under way
  std::size_t dialling = 0;
};

class Upstream::Attempt {
 public:
  Attempt(asio::io_context& io, Report to) : timer(io), report(std::move(to)) {}
  asio::steady_timer timer;
  Report report;
  HttpRequest request;
  std::optional<http::response_parser<http::string_body>> parser;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<Pool> pool;
  int interim = 0;
  bool ended = false;

  void begin(Upstream& owner, const std::shared_ptr<Attempt>& self, std::shared_ptr<Connection> on);
  void read(Upstream& owner, const std::shared_ptr<Attempt>& self);
  void read_more(Upstream& owner, const std::shared_ptr<Attempt>& self);
  void answered(Upstream& owner, const std::shared_ptr<Attempt>& self);
};

Upstream::Upstream(asio::io_context& io, const Limits& limits) : io_(io), limits_(limits) {}

Upstream::~Upstream() {
  *alive_ = false;
  for (auto& [name, pool] : pools_) {
    drop_idle(*pool);
    pool->waiting.clear();  // attempts and pools hold each other
  }
}

void Upstream::place(const std::string& server, const tcp::endpoint& where, double started, bool usable) {
  std::shared_ptr<Pool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<Pool>();
  const bool same = pool->where == where && pool->started == started;
  if (!same) pool->process += 1;
  pool->started = started;
  pool->usable = usable;
  if (where.port() != 0) pool->where = where;
  if (!same || !usable) drop_idle(*pool);
}

void Upstream::retire(const std::string& server) {
  const auto at = pools_.find(server);
  if (at == pools_.end()) return;
  at->second->usable = false;
  drop_idle(*at->second);
  pools_.erase(at);  // what is still out on its connections holds on to it; names are ever new
}

Upstream::Handle Upstream::start(const std::string& server, const std::shared_ptr<const HttpRequest>& request,
                                 double timeout, Report report) {
  const auto attempt = std::make_shared<Attempt>(io_, std::move(report));
  const auto at = pools_.find(server);
  if (at == pools_.end() || !(timeout > 0)) {
    asio::post(io_, [this, alive = alive_, attempt] {
      if (*alive) finish(attempt, Outcome::kNotSent, false);
    });
    return attempt;
  }
  attempt->pool = at->second;
  attempt->request = *request;
  const double ms = std::max(1.0, std::floor(timeout * 1000));
  attempt->request.set("X-Timeout-Ms", std::to_string(static_cast<long long>(ms)));
  attempt->timer.expires_after(Clock::span(timeout));
  attempt->timer.async_wait([this, alive = alive_, attempt](error_code cancelled) {
    if (cancelled || !*alive || attempt->ended) return;
    // Nothing of it was written while it waited for a connection. Once the writing has begun, its last byte
    // may be out before the loop hears of it: it may have run.
    finish(attempt, attempt->connection ? Outcome::kTimedOut : Outcome::kDialFailed, false);
  });
  if (std::shared_ptr<Connection> connection = take_idle(*attempt->pool)) {
    attempt->begin(*this, attempt, std::move(connection));
  } else if (make_room()) {
    attempt->pool->waiting.push_back(attempt);
    dial(attempt->pool);
  } else {
    asio::post(io_, [this, alive = alive_, attempt] {
      if (*alive) finish(attempt, Outcome::kNotSent, false);
    });
  }
  return attempt;
}

void Upstream::cancel(const Handle& handle) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (!attempt || attempt->ended) return;
  asio::post(io_, [this, alive = alive_, attempt] {
    if (*alive) finish(attempt, Outcome::kCancelled, false);
  });
}

// ---------------------------------------------------------------- connections

void Upstream::dial(const std::shared_ptr<Pool>& pool) {
  const auto connection = std::make_shared<Connection>(io_, pool);
  connection->where = pool->where;
  pool->dialling += 1;
  connections_ += 1;
  connection->timer.expires_after(Clock::span(limits_.dial_timeout));
  connection->timer.async_wait([this, alive = alive_, connection](error_code cancelled) {
    if (!cancelled && *alive) dialled(connection->pool, connection, false);
  });
  connection->socket.async_connect(pool->where, [this, alive = alive_, connection](error_code problem) {
    if (*alive) dialled(connection->pool, connection, !problem);
  });
}

void Upstream::dialled(const std::shared_ptr<Pool>& pool, const std::shared_ptr<Connection>& connection,
                       bool up) {
  if (!std::exchange(connection->dialling, false)) return;  // timer and connect can both come
  halt(connection->timer);
  pool->dialling -= 1;
  error_code ignored;
  if (up) {
    // A start that was told meanwhile is the one that answered, unless the server has moved.
    if (connection->where == pool->where) connection->process = pool->process;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    return release(connection);
  }
  forget(*pool, *connection);
  connection->socket.close(ignored);
  // Each that waits has a dial; one whose place was taken over by a freed connection leaves a spare.
  if (pool->waiting.size() > pool->dialling) finish(pool->waiting.front(), Outcome::kDialFailed, false);
}

void Upstream::forget(Pool& pool, const Connection& connection) {
  connections_ -= 1;
  if (connection.idle) {
    pool.idle.erase(std::find_if(pool.idle.begin(), pool.idle.end(),
                                 [&](const auto& held) { return held.get() == &connection; }));
  }
}

std::shared_ptr<Upstream::Connection> Upstream::take_idle(Pool& pool) {
  while (!pool.idle.empty()) {
    std::shared_ptr<Connection> connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    connection->idle = false;
    connection->idle_turn += 1;
    halt(connection->timer);
    error_code ignored;
    connection->socket.cancel(ignored);  // the wait for the server's close
    // Danger: neither the timer nor the close may have been seen yet, on a core that others share.
    const auto age = std::chrono::duration<double>(Clock::Steady::now() - connection->timer.expiry()).count();
    if (age < 0 && !is_readable(connection->socket)) return connection;
    connection->socket.close(ignored);
    connections_ -= 1;
  }
  return nullptr;
}

// A connection that is free serves who waits for one, even while that one's own dial is under way.
void Upstream::release(const std::shared_ptr<Connection>& connection) {
  Pool& pool = *connection->pool;
  const bool current = connection->process == pool.process && connection->buffer.size() == 0;
  if (current && !pool.waiting.empty()) {
    const std::shared_ptr<Attempt> next = pool.waiting.front();
    pool.waiting.pop_front();
    return next->begin(*this, next, connection);
  }
  error_code ignored;
  if (!current || !pool.usable) {
    connections_ -= 1;
    connection->socket.close(ignored);
    // A dial to where the server no longer listens has served nobody; who waited for it has no other.
    if (pool.waiting.size() > pool.dialling) finish(pool.waiting.front(), Outcome::kDialFailed, false);
    return;
  }
  connection->idle = true;
  pool.idle.push_back(connection);
  const std::uint64_t turn = ++connection->idle_turn;
  const auto drop = [this, alive = alive_, connection, turn](error_code cancelled) {
    if (cancelled || !*alive || !connection->idle || connection->idle_turn != turn) return;
    forget(*connection->pool, *connection);
    connection->idle = false;
    halt(connection->timer);
    error_code closing;
    connection->socket.close(closing);
  };
  connection->timer.expires_after(Clock::span(limits_.idle_close * kIdlePart));
  connection->timer.async_wait(drop);
  connection->socket.async_wait(tcp::socket::wait_read, drop);
}

void Upstream::drop_idle(Pool& pool) {
  for (const std::shared_ptr<Connection>& connection : pool.idle) {
    connection->idle = false;
    halt(connection->timer);
    error_code ignored;
    connection->socket.close(ignored);
    connections_ -= 1;
  }
  pool.idle.clear();
}

// Closes the connection that has been idle the longest, when there may be no more.
bool Upstream::make_room() {
  if (connections_ < limits_.max_connections) return true;
  Pool* oldest = nullptr;
  for (auto& [name, pool] : pools_) {
    if (pool->idle.empty()) continue;
    if (oldest == nullptr || pool->idle.front()->timer.expiry() < oldest->idle.front()->timer.expiry()) {
      oldest = pool.get();
    }
  }
  if (oldest == nullptr) return false;
  const std::shared_ptr<Connection> connection = oldest->idle.front();
  forget(*oldest, *connection);
  connection->idle = false;
  halt(connection->timer);
  error_code ignored;
  connection->socket.close(ignored);
  return true;
}

// ---------------------------------------------------------------- attempts

void Upstream::Attempt::begin(Upstream& owner, const std::shared_ptr<Attempt>& self,
                              std::shared_ptr<Connection> on) {
  connection = std::move(on);
  // Danger: an attempt that ends lets go of its connection while the socket's operation is still to be called
  // off, and that one works on the connection's buffer: each operation holds on to it.
  request.set(http::field::host,
              pool->where.address().to_string() + ":" + std::to_string(pool->where.port()));
  http::async_write(connection->socket, request,
                    [&owner, alive = owner.alive_, self, held = connection](error_code problem, std::size_t) {
                      if (!*alive || self->ended) return;
                      // The last byte was not written: it can't have run.
                      if (problem) return owner.finish(self, Outcome::kDialFailed, false);
                      self->read(owner, self);
                    });
}

void Upstream::Attempt::read(Upstream& owner, const std::shared_ptr<Attempt>& self) {
  parser.emplace();
  parser->header_limit(kHeaderLimit);
  parser->body_limit(kBodyLimit);
  // Danger: a parser that is eager (as the whole-message read makes it) passes over its body limit if the
  // head and a part of the body come together: an answer of gigabytes would be taken in. Hence piece by
  // piece.
  parser->eager(false);
  read_more(owner, self);
}

void Upstream::Attempt::read_more(Upstream& owner, const std::shared_ptr<Attempt>& self) {
  http::async_read_some(
      connection->socket, connection->buffer, *parser,
      [&owner, alive = owner.alive_, self, held = connection](error_code problem, std::size_t) {
        if (!*alive || self->ended) return;
        if (problem && !self->parser->is_done()) {
          const bool broken = problem == http::error::end_of_stream ||
                              problem == http::error::partial_message ||
                              problem.category() == boost::system::system_category() ||
                              problem.category() == asio::error::get_misc_category();
          // What can't be read as an answer came from a server that had the request: it may
          // have run too.
          return owner.finish(self, broken ? Outcome::kReset : Outcome::kUnknown, false);
        }
        if (self->parser->get().body().size() > kBodyLimit) {
          return owner.finish(self, Outcome::kUnknown, false);
        }
        if (self->parser->is_done()) return self->answered(owner, self);
        self->read_more(owner, self);
      });
}

void Upstream::Attempt::answered(Upstream& owner, const std::shared_ptr<Attempt>& self) {
  const HttpResponse& answer = parser->get();
  const unsigned status = answer.result_int();
  if (status >= 100 && status < 200) {
    if (status == 101 || ++interim > kMostInterim) return owner.finish(self, Outcome::kUnknown, false);
    return read(owner, self);
  }
  // An answer that ends with its connection may have been cut short, unless the server meant to close.
  if (parser->get().need_eof() && !answer.has_content_length() && !answer.chunked() &&
      !http::token_list(answer[http::field::connection]).exists("close")) {
    return owner.finish(self, Outcome::kReset, false);
  }
  owner.finish(self, outcome_of(answer), parser->keep_alive());
}

// The connection is free again before the outcome is told: what the module sends next may use it.
void Upstream::finish(const std::shared_ptr<Attempt>& attempt, Outcome outcome, bool keep) {
  if (std::exchange(attempt->ended, true)) return;
  halt(attempt->timer);
  if (attempt->pool) {
    std::deque<std::shared_ptr<Attempt>>& waiting = attempt->pool->waiting;
    const auto at = std::find(waiting.begin(), waiting.end(), attempt);
    if (at != waiting.end()) waiting.erase(at);
  }
  if (const std::shared_ptr<Connection> connection = std::exchange(attempt->connection, nullptr)) {
    if (keep) {
      release(connection);
    } else {
      connections_ -= 1;
      error_code ignored;
      connection->socket.close(ignored);
    }
  }
  HttpResponse answer;
  if (outcome == Outcome::kDelivered) answer = attempt->parser->release();
  const Report report = std::move(attempt->report);
  report(outcome, std::move(answer));
}

}  // namespace thymewood::node
