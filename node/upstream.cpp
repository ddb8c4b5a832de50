#include "upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <cmath>
#include <deque>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "event_log.h"
#include "socket_arrival.h"

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
// s. A connection rests this long after an answer before it carries the next request. Danger: what some
// servers send behind an answer, such as a second copy of it, may come a moment later and would pass for the
// next answer.
constexpr double kRest = 0.004;
// Bytes of an answer that may wait to be parsed: a whole head and some more. Danger: a parser asks for more
// of a line that does not end, as in the extension of a chunk, for as long as there is room.
constexpr std::size_t kMostUnparsed = kHeaderLimit + 16 * 1024;
constexpr std::size_t kKeptBuffer = 4096;  // bytes of buffer that an idle connection may keep

double seconds_of(Clock::Steady::duration span) { return std::chrono::duration<double>(span).count(); }
double seconds_of(Clock::Steady::time_point at) { return seconds_of(at.time_since_epoch()); }

// Whether the server has closed it or sent what nobody asked for. The event loop may not have come to it yet.
bool is_readable(tcp::socket& socket) {
  char byte = 0;
  ssize_t got = 0;
  do {
    got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (got < 0 && errno == EINTR);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Outcome outcome_of(const HttpResponse& answer) {
  switch (answer.result_int()) {
    case 200:
      return Outcome::kSuccess;
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
  boost::beast::flat_buffer buffer{kMostUnparsed};
  std::shared_ptr<Pool> pool;
  tcp::endpoint where;
  std::uint64_t process = 0;         // which process of the server it leads to
  std::uint64_t idle_turn = 0;       // tells a wait of this idling from one of an earlier one
  Clock::Steady::time_point rested;  // when it may carry the next request
  bool used = false;                 // has carried one
  bool idle = false, dialling = true;
};

struct Upstream::Pool {
  std::string server;
  tcp::endpoint where;
  double started = 0;
  std::uint64_t process = 1;  // counts the starts that were told
  bool usable = false;
  std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
  // For a connection; each has a dial under way, or one that rests is about to be free.
  std::deque<std::shared_ptr<Attempt>> waiting;
  std::vector<std::shared_ptr<Attempt>> half_written;  // the server takes no more of them for now
  std::size_t dialling = 0;
  std::size_t rests = 0;  // waits for a connection to have rested
  PreconnectPolicy preconnect;
};

class Upstream::Attempt {
 public:
  Attempt(asio::io_context& io, MemoryBudget& budget, Sender from)
      : timer(io), sender(std::move(from)), share(budget) {}
  asio::steady_timer timer;
  Sender sender;
  std::shared_ptr<const HttpRequest> request;
  Clock::Steady::time_point until, send_by;
  std::string wire;  // the request as it is sent; empty again once it is out
  std::size_t written = 0;
  bool sent = false;  // its last byte is written: from here on it may have run
  bool repeatable = true;
  double idle = -1;  // s; how long its connection had stood idle; negative on a new one
  Clock::Steady::time_point begun;
  std::optional<http::response_parser<http::string_body>> parser;
  std::shared_ptr<Connection> connection;
  std::shared_ptr<Pool> pool;
  MemoryBudget::Reservation share;  // of the request as it is sent, then of the answer as it comes
  int interim = 0;
  std::optional<Outcome> ending;  // how it will be reported: decided, but not done yet
  bool ended = false;

  void begin(Upstream& owner, const std::shared_ptr<Attempt>& self, std::shared_ptr<Connection> on);
  bool may_go_on();
  void write(Upstream& owner, const std::shared_ptr<Attempt>& self);
  void read(Upstream& owner, const std::shared_ptr<Attempt>& self);
  void read_more(Upstream& owner, const std::shared_ptr<Attempt>& self);
  void answered(Upstream& owner, const std::shared_ptr<Attempt>& self);
};

Upstream::Upstream(asio::io_context& io, const Limits& limits, MemoryBudget& budget)
    : io_(io), limits_(limits), budget_(budget) {}

Upstream::~Upstream() {
  *alive_ = false;
  for (auto& [name, pool] : pools_) {
    drop_idle(*pool);
    pool->waiting.clear();  // attempts and pools hold each other
    pool->half_written.clear();
  }
}

void Upstream::place(const std::string& server, const tcp::endpoint& where, double started, bool usable) {
  std::shared_ptr<Pool>& pool = pools_[server];
  if (!pool) {
    pool = std::make_shared<Pool>();
    pool->server = server;
  }
  const bool same = pool->where == where && pool->started == started;
  if (!same) pool->process += 1;
  pool->started = started;
  pool->usable = usable;
  if (where.port() != 0) pool->where = where;
  if (!same || !usable) drop_idle(*pool);
  if (!same || !usable) end_half_written(*pool);
}

void Upstream::retire(const std::string& server) {
  const auto at = pools_.find(server);
  if (at == pools_.end()) return;
  const std::shared_ptr<Pool> pool = at->second;
  pool->usable = false;
  drop_idle(*pool);
  end_half_written(*pool);
  pools_.erase(at);  // what is still out on its connections holds on to it; names are ever new
  // Danger: another server may stand at its address by now, and take in what was meant for this one. The
  // module hears of the end after it has heard that the server is gone.
  const std::deque<std::shared_ptr<Attempt>> waiting = std::exchange(pool->waiting, {});
  for (const std::shared_ptr<Attempt>& attempt : waiting) end_later(attempt, Outcome::kConnectFailed);
}

// Danger: the server takes the rest whenever it likes, long after the grace, and then the request begins
// there. What has no last byte yet has not run.
void Upstream::end_half_written(Pool& pool) {
  const std::vector<std::shared_ptr<Attempt>> attempts = std::exchange(pool.half_written, {});
  for (const std::shared_ptr<Attempt>& attempt : attempts) end_later(attempt, Outcome::kNotSent);
}

Upstream::Handle Upstream::start(const std::string& server, const std::shared_ptr<const HttpRequest>& request,
                                 Time time, bool repeatable, Sender sender) {
  const auto attempt = std::make_shared<Attempt>(io_, budget_, std::move(sender));
  const auto at = pools_.find(server);
  if (at == pools_.end() || !(time.timeout > 0) || !(time.send_by > 0)) {
    end_later(attempt, Outcome::kNotSent);
    return attempt;
  }
  attempt->pool = at->second;
  attempt->request = request;
  attempt->repeatable = repeatable;
  attempt->pool->preconnect.on_request();
  const Clock::Steady::time_point now = Clock::Steady::now();
  attempt->until = now + Clock::span(time.timeout);
  attempt->send_by = now + Clock::span(std::min(time.timeout, time.send_by));
  arm(attempt);
  if (std::shared_ptr<Connection> connection = take_idle(*attempt->pool, repeatable)) {
    attempt->begin(*this, attempt, std::move(connection));
  } else if (is_resting(*attempt->pool)) {
    // Whichever is free first; often one that rests is, sooner than a new one is up.
    attempt->pool->waiting.push_back(attempt);
    if (connections_ < limits_.max_connections && attempt->pool->preconnect.try_preconnect())
      dial(attempt->pool);
    serve_rested(attempt->pool);
  } else if (make_room()) {
    attempt->pool->waiting.push_back(attempt);
    dial(attempt->pool);
  } else {
    end_later(attempt, Outcome::kNotSent);
  }
  return attempt;
}

// One timer: first for the sending, where that has less time, then for the answer.
void Upstream::arm(const std::shared_ptr<Attempt>& attempt) {
  attempt->timer.expires_at(attempt->sent ? attempt->until : attempt->send_by);
  attempt->timer.async_wait([this, alive = alive_, attempt](error_code cancelled) {
    if (cancelled || !*alive || attempt->ended) return;
    if (attempt->sent && Clock::Steady::now() < attempt->until) return arm(attempt);
    // Where a repeat may not be sent any more, that is not the server's doing.
    const bool over = attempt->send_by < attempt->until;
    finish(attempt,
           attempt->sent ? Outcome::kTimedOut
           : over        ? Outcome::kNotSent
                         : Outcome::kConnectFailed,
           false);
  });
}

void Upstream::end_by(const Handle& handle, Clock::Steady::time_point latest) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (!attempt || attempt->ended || attempt->until <= latest) return;
  attempt->until = latest;
  attempt->send_by = std::min(attempt->send_by, latest);
  if (attempt->pool) arm(attempt);
}

void Upstream::withdraw(const Handle& handle) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (attempt && !attempt->sent) end_later(attempt, Outcome::kNotSent);
}

void Upstream::end_later(const std::shared_ptr<Attempt>& attempt, Outcome outcome) {
  if (attempt->ended || attempt->ending) return;
  attempt->ending = outcome;
  // Danger: a connection that is free in the meantime would be given to it.
  if (attempt->pool) std::erase(attempt->pool->waiting, attempt);
  asio::post(io_, [this, alive = alive_, attempt, outcome] {
    if (*alive) finish(attempt, outcome, false);
  });
}

void Upstream::cancel(const Handle& handle) {
  const std::shared_ptr<Attempt> attempt = handle.lock();
  if (attempt) end_later(attempt, Outcome::kCancelled);
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
    return release(connection, true, Clock::Steady::now());
  }
  drop(connection, "connect_failed");
  pool->preconnect.on_connect_failed();
  // Each that waits has a dial; one whose place was taken over by a freed connection leaves a spare.
  if (pool->rests == 0 && pool->waiting.size() > pool->dialling)
    finish(pool->waiting.front(), Outcome::kConnectFailed, false);
}

void Upstream::forget(Pool& pool, const Connection& connection) {
  connections_ -= 1;
  if (connection.idle) {
    pool.idle.erase(std::find_if(pool.idle.begin(), pool.idle.end(),
                                 [&](const auto& held) { return held.get() == &connection; }));
  }
}

// Whether one that has just carried an answer will be free for one more attempt.
bool Upstream::is_resting(const Pool& pool) {
  const Clock::Steady::time_point now = Clock::Steady::now();
  const auto resting = std::count_if(pool.idle.begin(), pool.idle.end(),
                                     [now](const auto& connection) { return connection->rested > now; });
  return static_cast<std::size_t>(resting) > pool.waiting.size();
}

std::shared_ptr<Upstream::Connection> Upstream::take_idle(Pool& pool, bool repeatable) {
  const Clock::Steady::time_point now = Clock::Steady::now();
  const double longest =
      repeatable ? std::numeric_limits<double>::infinity() : idle_lifetime_.max_idle(seconds_of(now));
  std::size_t at = pool.idle.size();
  while (at-- > 0) {
    std::shared_ptr<Connection> connection = pool.idle[at];
    if (connection->rested > now) continue;
    // The rest were used even longer ago.
    if (seconds_of(now - connection->rested) > longest) return nullptr;
    // Danger: neither the timer nor the close may have been seen yet, on a core that others share.
    if (connection->timer.expiry() > now && !is_readable(connection->socket)) {
      pool.idle.erase(pool.idle.begin() + static_cast<std::ptrdiff_t>(at));
      connection->idle = false;
      connection->idle_turn += 1;
      halt(connection->timer);
      error_code ignored;
      connection->socket.cancel(ignored);  // the wait for the server's close
      return connection;
    }
    drop(connection, connection->timer.expiry() > now ? "closed_by_server" : "idle");
  }
  return nullptr;
}

// Closes a connection that carries nothing.
void Upstream::drop(const std::shared_ptr<Connection>& connection, const char* reason) {
  log_debug("connection_closed").with("server", connection->pool->server).with("reason", reason);
  forget(*connection->pool, *connection);
  connection->idle = false;
  halt(connection->timer);
  error_code ignored;
  connection->socket.close(ignored);
}

// A connection that is free serves who waits for one, even while that one's own dial is under way; but one
// that has just carried an answer rests before.
void Upstream::release(const std::shared_ptr<Connection>& connection, bool fresh,
                       Clock::Steady::time_point since) {
  const std::shared_ptr<Pool> pool = connection->pool;
  // Danger: bytes that nobody asked for would be taken for the answer to the next request.
  if (connection->process != pool->process || !pool->usable || connection->buffer.size() > 0 ||
      is_readable(connection->socket)) {
    drop(connection, !pool->usable                          ? "server_unusable"
                     : connection->process != pool->process ? "another_process"
                                                            : "unasked_bytes");
    // Each that waits has a dial. This one may have been the last one's, to where the server no longer
    // listens or to one that speaks unasked.
    if (pool->rests == 0 && pool->waiting.size() > pool->dialling)
      finish(pool->waiting.front(), Outcome::kConnectFailed, false);
    return;
  }
  // Danger: by way of the idle ones a new connection could count as too old for who dialled it, and nothing
  // else would be on its way there.
  if (fresh && !pool->waiting.empty()) {
    const std::shared_ptr<Attempt> next = pool->waiting.front();
    pool->waiting.pop_front();
    return next->begin(*this, next, connection);
  }
  if (connection->buffer.capacity() > kKeptBuffer) connection->buffer.shrink_to_fit();
  connection->idle = true;
  connection->rested = Clock::Steady::now() + (fresh ? Clock::Steady::duration{} : Clock::span(kRest));
  pool->idle.push_back(connection);
  const std::uint64_t turn = ++connection->idle_turn;
  const auto end_for = [this, connection, turn](const char* reason) {
    return [this, alive = alive_, connection, turn, reason](error_code cancelled) {
      if (!cancelled && *alive && connection->idle && connection->idle_turn == turn) drop(connection, reason);
    };
  };
  // Danger: the server counts from its answer, which may have lain here while this node was away.
  connection->timer.expires_at(since + Clock::span(limits_.idle_close * kIdlePart));
  connection->timer.async_wait(end_for("idle"));
  connection->socket.async_wait(tcp::socket::wait_read, end_for("closed_by_server"));
  if (!pool->waiting.empty()) serve_rested(pool);
}

// Once what is idle has rested. It may turn out to be of no use, so that a dial is needed after all.
void Upstream::serve_rested(const std::shared_ptr<Pool>& pool) {
  pool->rests += 1;
  const auto rest = std::make_shared<asio::steady_timer>(io_, Clock::span(kRest));
  rest->async_wait([this, alive = alive_, pool, rest](error_code) {
    if (!*alive) return;
    pool->rests -= 1;
    serve_waiting(*pool);
    if (pool->rests > 0) return;
    for (std::size_t n = pool->waiting.size(); n > pool->dialling && !pool->waiting.empty();) {
      if (pool->usable && make_room()) {
        dial(pool);
      } else {
        finish(pool->waiting.front(), Outcome::kConnectFailed, false);
        --n;
      }
    }
  });
}

void Upstream::serve_waiting(Pool& pool) {
  while (!pool.waiting.empty()) {
    const std::shared_ptr<Attempt> next = pool.waiting.front();
    std::shared_ptr<Connection> connection = take_idle(pool, next->repeatable);
    if (!connection) return;
    pool.waiting.pop_front();
    next->begin(*this, next, std::move(connection));
  }
}

void Upstream::drop_idle(Pool& pool) {
  for (const std::shared_ptr<Connection>& connection : pool.idle) {
    log_debug("connection_closed").with("server", pool.server).with("reason", "server_unusable");
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
  drop(std::shared_ptr<Connection>(oldest->idle.front()), "descriptors");
  return true;
}

// ---------------------------------------------------------------- attempts

void Upstream::Attempt::begin(Upstream& owner, const std::shared_ptr<Attempt>& self,
                              std::shared_ptr<Connection> on) {
  connection = std::move(on);
  // Danger: the connection may have come up, or rested, while this node was away. By now the time may be
  // over, the caller gone, or the server drained, and timers and reads that would have told may have their
  // turn after this.
  const bool may = may_go_on();
  begun = Clock::Steady::now();
  if (ended || ending) return;
  if (!may) return owner.end_later(self, Outcome::kNotSent);
  if (std::exchange(connection->used, true)) idle = seconds_of(begun - connection->rested);
  HttpRequest head;
  head.base() = request->base();
  head.set(http::field::host, pool->where.address().to_string() + ":" + std::to_string(pool->where.port()));
  // What is left now: a part of the time may have gone by in the wait for the connection.
  const double left = std::chrono::duration<double>(until - Clock::Steady::now()).count();
  head.set("X-Timeout-Ms", std::to_string(static_cast<long long>(std::max(1.0, std::floor(left * 1000)))));
  std::ostringstream text;
  text << head.base();
  wire = std::move(text).str() + request->body();
  request.reset();
  if (!share.try_resize(wire.size())) return owner.end_later(self, Outcome::kNotSent);
  write(owner, self);
}

// Asked before the first byte, and again after each wait for the server to take more.
bool Upstream::Attempt::may_go_on() {
  const bool wanted = sender.may_send();
  if (ended || ending) return false;
  return wanted && pool->usable && connection->process == pool->process && Clock::Steady::now() < send_by;
}

// Guards against an answer to the last request that comes while this one is being written: up to its last
// byte nothing that arrives can be meant for it, and a connection that is closed before that byte has run
// nothing.
void Upstream::Attempt::write(Upstream& owner, const std::shared_ptr<Attempt>& self) {
  while (written < wire.size()) {
    if (is_readable(connection->socket)) return owner.end_later(self, Outcome::kConnectFailed);
    const ssize_t n = ::send(connection->socket.native_handle(), wire.data() + written, wire.size() - written,
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0) {
      written += static_cast<std::size_t>(n);
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      pool->half_written.push_back(self);
      return connection->socket.async_wait(tcp::socket::wait_write, [&owner, alive = owner.alive_, self,
                                                                     held = connection](error_code problem) {
        if (!*alive) return;
        std::erase(self->pool->half_written, self);
        if (self->ended || self->ending) return;
        if (problem) return owner.finish(self, Outcome::kConnectFailed, false);
        // Danger: this may have its turn before the caller's close, or discovery's word, is read.
        const bool may = self->may_go_on();
        if (self->ended || self->ending) return;
        if (!may) return owner.end_later(self, Outcome::kNotSent);
        self->write(owner, self);
      });
    } else if (n == 0 || errno != EINTR) {
      return owner.end_later(self,
                             Outcome::kConnectFailed);  // the last byte was not written: it can't have run
    }
  }
  sent = true;
  if (send_by < until) owner.arm(self);
  wire = {};
  share.resize(0);
  read(owner, self);
}

void Upstream::Attempt::read(Upstream& owner, const std::shared_ptr<Attempt>& self) {
  parser.emplace();
  parser->header_limit(kHeaderLimit);
  parser->body_limit(kResponseBodyLimit);
  // Danger: a parser that is eager (as the whole-message read makes it) passes over its body limit if the
  // head and a part of the body come together: an answer of gigabytes would be taken in. Hence piece by
  // piece.
  parser->eager(false);
  read_more(owner, self);
}

// Danger: an attempt that ends lets go of its connection while the socket's operation is still to be called
// off, and that one works on the connection's buffer: each operation holds on to it.
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
        if (self->parser->get().body().size() > kResponseBodyLimit ||
            !self->share.try_resize(held->buffer.capacity() + self->parser->get().body().capacity())) {
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
  if (attempt->sent && attempt->idle >= 0) {
    const Clock::Steady::time_point now = Clock::Steady::now();
    const bool dropped =
        outcome == Outcome::kReset && seconds_of(now - attempt->begun) < IdleLifetimeEstimate::kMaxResetDelay;
    idle_lifetime_.record_use(seconds_of(now), attempt->idle, dropped);
  }
  if (attempt->pool) {
    std::deque<std::shared_ptr<Attempt>>& waiting = attempt->pool->waiting;
    const auto at = std::find(waiting.begin(), waiting.end(), attempt);
    if (at != waiting.end()) waiting.erase(at);
    std::erase(attempt->pool->half_written, attempt);
  }
  End end;
  end.outcome = outcome;
  if (const std::shared_ptr<Connection> connection = std::exchange(attempt->connection, nullptr)) {
    // An answer that came soon can't have lain there for long: most are spared the look.
    const Clock::Steady::time_point now = Clock::Steady::now();
    double age = 0;
    if (seconds_of(now - attempt->begun) >= kLateRead && attempt->parser && attempt->parser->is_done())
      age = read_socket_arrival(connection->socket.native_handle()).age;
    end.unread = age >= kSuspendedProcess ? age : 0;
    if (keep) {
      release(connection, false, now - Clock::span(age));
    } else {
      drop(connection, "not_kept");
    }
  }
  if (outcome == Outcome::kSuccess) end.response = attempt->parser->release();
  const Sender sender = std::move(attempt->sender);
  sender.report(std::move(end));
}

}  // namespace thymewood::node
