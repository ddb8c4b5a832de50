#include "frontend.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string_view>
#include <utility>

#include "event_log.h"
#include "socket_arrival.h"

namespace thymewood::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// s; from the connection to the last byte of its first request. Who has not asked by then is told so or
// closed on within 3 s.
constexpr double kFirstWait = 2.5;
constexpr double kSpareWait = 0.3;   // s; the same on the spare descriptor, for which others wait
constexpr double kAboutToAsk = 0.1;  // s; for which a new connection is not closed for others
constexpr double kReadWait = 2.5;    // s; from the first byte of a later request to its last
constexpr double kIdleWait = 10;     // s; between requests
constexpr double kErrorPause = 0.1;  // s; after an error of the caller's, before the next request is read
constexpr double kWriteWait = 5;     // s; for a client to take an answer
constexpr double kLinger = 0.5;  // s; for a client to read the last answer before the connection is closed
// A drain, in s from its start. It is killed once the longest time that a client waits, or 3 s, and 0.7 s
// more have gone by: by then all that was taken is answered. Clients go on using their connections as long as
// these stay open, and where no other node stands beside this one they have nowhere else to go.
constexpr double kMostDrain = 3;
constexpr double kLastAnswer = 0.35;   // after that longest wait, or 3 s
constexpr double kLastRequest = 0.2;   // before it
constexpr double kAcceptOn = 0.5;      // s; of accepting after the drain has begun
constexpr double kAcceptPause = 0.02;  // s; after an accept that failed
constexpr std::size_t kReadSize = 4096;
// Bytes that may wait to be parsed: a whole head, or as much of requests that came before their turn.
constexpr std::size_t kMostAhead = kHeaderLimit + kReadSize;
constexpr std::size_t kMostLingered =
    std::size_t{256} * 1024;  // bytes that are passed over after the last answer
constexpr std::size_t kMostLooked = std::size_t{256} * 1024;  // bytes that are read at once to find its end
constexpr std::size_t kKeptAhead =
    kReadSize;                           // bytes of read-ahead that an idle connection may keep room for
constexpr std::size_t kHeadCost = 1024;  // bytes; what a request holds besides its body, about
constexpr int kBacklog = 1024;

std::string decimal_seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return text.data();
}

// For what fails for want of memory: a refusal that takes none. What has come is read, for a close over
// unread bytes would reset the connection and take the refusal with it.
void refuse_by_hand(tcp::socket& socket) {
  static constexpr std::string_view kRefusal =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  std::array<char, kReadSize> piece{};
  for (std::size_t n = 0; n < kMostLooked;) {
    const ssize_t got = ::recv(socket.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT);
    if (got <= 0 && (got == 0 || errno != EINTR)) break;
    n += got > 0 ? static_cast<std::size_t>(got) : 0;
  }
  ::send(socket.native_handle(), kRefusal.data(), kRefusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(socket.native_handle(), SHUT_WR);
}

// Whether accept(2) has failed over one connection alone, so that the next may be taken at once.
bool is_of_one_connection(error_code bad) {
  return bad == asio::error::connection_aborted || bad.value() == EPROTO || bad == asio::error::interrupted;
}

// A request on its way, with what it holds of the memory.
struct Message {
  explicit Message(MemoryBudget& budget) : share(budget) {}
  HttpRequest request;
  MemoryBudget::Reservation share;
};

}  // namespace

// One client's connection. There is always a read on it, so that a client that goes is noticed; what comes
// ahead of its turn is kept, up to a bound. What comes beyond that while a request waits is read all the same
// and passed over, for the client's end may stand behind it; what was kept is answered, then the rest is told
// so and the connection closed.
//
// A client that ends its sending has gone, with all that it has asked (PROTOCOL, callers to nodes: one that
// closes its connection has gone away; TCP tells no close from a half-close). An answer that was begun is
// finished, for what it costs; nothing else is owed.
class Frontend::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Frontend& owner, tcp::socket socket, bool turned_away)
      : owner_(&owner),
        socket_(std::move(socket)),
        timer_(owner.io_),
        turned_away_(turned_away),
        share_(owner.budget_) {}

  void start(double patience) {
    guarded([&] {
      allow(patience);
      next_request();
    });
  }
  // Takes it off the list of those that may be closed for others.
  void unlist() {
    if (list_ != nullptr) std::exchange(list_, nullptr)->erase(listed_at_);
  }

  std::list<std::shared_ptr<Session>>::iterator at;  // in the owner's list
  const Clock::Steady::time_point begun_at = Clock::Steady::now();

  bool is_idle() const { return state_ == State::kReading && ahead_.size() == 0 && !begun_; }
  bool has_unread() {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }
  // Before the kill no connection may be open on which a client could still send. What is not a request by
  // then is none.
  void wind_up() {
    if (is_idle() && !has_unread()) return close("drain");
    if (state_ != State::kReading && state_ != State::kPausing) return;
    const std::chrono::duration<double> left = owner_->last_answer_ - Clock::Steady::now();
    allow(std::clamp(left.count(), 0.0, kLinger));
  }
  // Ends it without a word.
  void close(const char* reason) {
    if (state_ == State::kClosed) return;
    log_debug("client_closed").with("reason", reason);
    const bool waiting = state_ == State::kWaiting;
    state_ = State::kClosed;
    error_code ignored;
    unlist();
    halt(timer_);
    socket_.close(ignored);
    Frontend* owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    if (waiting) owner->dispatcher_.client_gone(id_);
    owner->ended(*this);
  }
  void orphan() {
    unlist();
    owner_ = nullptr;
  }

 private:
  // Danger: what fails for want of memory leaves neither a read nor a timer behind, and a client without an
  // answer.
  template <class Work>
  void guarded(const Work& work) {
    try {
      work();
    } catch (const std::exception& problem) {
      log_warning("client_failed").with("problem", problem.what());
      if (state_ == State::kClosed || state_ == State::kWaiting) return;  // the dispatcher sees to its answer
      if (state_ != State::kWriting) refuse_by_hand(socket_);
      close("no_memory");
    }
  }

  enum class State { kReading, kWaiting, kWriting, kPausing, kLingering, kClosed };

  void allow(double seconds) {
    timer_.expires_after(Clock::span(seconds));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && Clock::Steady::now() >= self->timer_.expiry())
        self->guarded([&] { self->timed_out(); });
    });
  }

  void timed_out() {
    if (owner_ == nullptr) return;
    if (state_ == State::kPausing && !owner_->closing_) {
      allow(kIdleWait);
      return next_request();
    }
    if (state_ == State::kReading && begun_)
      return reject({http::status::request_timeout, "request too slow"});
    if (state_ != State::kWaiting) close("timed_out");
  }

  // ---------------------------------------------------------------- reading

  void next_request() {
    state_ = State::kReading;
    begun_ = false;
    parser_.emplace();
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kRequestBodyLimit);
    // Danger: when eager, this parser passes over its own body limit if the head and a part of the body come
    // together, and a length of gigabytes is then taken in.
    parser_->eager(false);
    continue_sent_ = false;
    parse();
    if (state_ != State::kReading) return;
    if (proven_ ? !begun_ : list_ == nullptr) enlist(proven_ ? owner_->idle_ : owner_->strangers_);
    if (!begun_) trim();
    read();
    if (owner_->closing_) wind_up();
  }

  void enlist(std::list<Session*>& list) {
    unlist();
    list_ = &list;
    listed_at_ = list.insert(list.end(), this);
  }

  // Guards against buffers that stay as large as the largest request that a connection has ever carried.
  void trim() {
    if (ahead_.capacity() > kKeptAhead) ahead_.shrink_to_fit();
    share_.resize(ahead_.capacity());
  }

  void read() {
    // A caller of errors is made to wait by leaving his bytes where they are; any other may leave meanwhile.
    const bool full = ahead_.size() > kMostAhead - kReadSize;
    if (reading_ || state_ == State::kClosed || (full && state_ == State::kPausing)) return;
    socket_.async_read_some(asio::buffer(scratch_),
                            [self = shared_from_this()](error_code bad, std::size_t n) {
                              self->reading_ = false;
                              self->guarded([&] { self->take(bad, n); });
                            });
    reading_ = true;
  }

  void take(error_code bad, std::size_t n) {
    if (owner_ == nullptr || state_ == State::kClosed) return;
    if (bad) {
      gone_ = true;
      if (state_ != State::kWriting) close("client_gone");
      return;
    }
    if (state_ == State::kLingering) {
      lingered_ += n;
      if (lingered_ > kMostLingered) return close("answered");
      return read();
    }
    keep(scratch_.data(), n);
    if (state_ == State::kReading) parse();
    if (state_ == State::kReading &&
        !share_.try_resize(ahead_.capacity() + parser_->get().body().capacity())) {
      keep_alive_ = false;
      return respond(refusal(owner_->limits_.busy_retry_after));
    }
    read();
  }

  // Of what comes ahead of its turn, as much as there is room for; from the first byte beyond on nothing.
  void keep(const char* bytes, std::size_t n) {
    const std::size_t room = overrun_ ? 0 : kMostAhead - std::min(kMostAhead, ahead_.size());
    const std::size_t kept = std::min(room, n);
    if (kept < n) overrun_ = true;
    if (kept == 0) return;
    std::copy_n(bytes, kept, static_cast<char*>(ahead_.prepare(kept).data()));
    ahead_.commit(kept);
  }

  // Reads what has come, without waiting. False: the caller has gone, or has sent so much ahead of his turn
  // that his end may stand behind it. This is what the kernel can't fail to tell: TCP_INFO may not be there,
  // and counts no end that has not come in yet.
  bool look() {
    std::array<char, kReadSize> piece{};
    for (std::size_t n = 0; !gone_;) {
      if (n > kMostLooked) return false;
      const ssize_t got = ::recv(socket_.native_handle(), piece.data(), piece.size(), MSG_DONTWAIT);
      if (got > 0) {
        keep(piece.data(), static_cast<std::size_t>(got));
        n += static_cast<std::size_t>(got);
      } else if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        break;
      } else if (got == 0 || errno != EINTR) {
        gone_ = true;
        // Not from within what asks, which may be in the midst of this very request.
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
          if (self->state_ != State::kWriting) self->close("client_gone");
        });
      }
    }
    return !gone_;
  }

  // Feeds the parser with what has come, up to the end of one request.
  void parse() {
    while (state_ == State::kReading && ahead_.size() > 0) {
      if (!begun_) {
        begun_ = true;
        if (proven_) {
          unlist();
          allow(kReadWait);
        }
      }
      error_code bad;
      const std::size_t used = parser_->put(ahead_.data(), bad);
      ahead_.consume(used);
      if (bad == http::error::need_more) bad = {};
      if (bad == http::error::body_limit || parser_->get().body().size() > kRequestBodyLimit)
        return reject({http::status::payload_too_large, "body too large"});
      if (bad == http::error::header_limit) {
        return reject({http::status::request_header_fields_too_large, "header too large"});
      }
      if (bad) return reject({http::status::bad_request, "malformed request"});
      if (parser_->is_done()) return handle();
      if (parser_->is_header_done() && !check_framing()) return;
      if (used == 0) break;
    }
    // Danger: what was passed over would be missing from the midst of this request.
    if (overrun_ && state_ == State::kReading)
      reject({http::status::payload_too_large, "too much sent ahead"});
  }

  // What the head says of the body, before the body has come.
  bool check_framing() {
    const HttpRequest& request = parser_->get();
    // Danger: two ways to tell the length may hide a second request in the body.
    if (is_length_ambiguous(request)) {
      reject({http::status::bad_request, "ambiguous length"});
      return false;
    }
    if (!continue_sent_ && boost::beast::iequals(request[http::field::expect], "100-continue")) {
      continue_sent_ = true;
      // Danger: a write that is still out when the answer's begins would mix with it. Nothing else is being
      // written now, so that so few bytes go at once or not at all.
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      ssize_t sent = 0;
      do {
        sent =
            ::send(socket_.native_handle(), kContinue.data(), kContinue.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      } while (sent < 0 && errno == EINTR);
      if (sent != static_cast<ssize_t>(kContinue.size())) {
        close("write_failed");
        return false;
      }
    }
    return true;
  }

  // ---------------------------------------------------------------- what may be asked

  void handle() {
    if (!check_framing()) return;
    request_ = parser_->release();
    keep_alive_ = request_->keep_alive();
    if (path_of(*request_) == "/_health") {
      if (request_->method() != http::verb::get && request_->method() != http::verb::head) {
        return reject({http::status::method_not_allowed, "GET only"});
      }
      proven_ = true;
      if (!owner_->dispatcher_.awaits_list()) return answer_health();
      state_ = State::kWaiting;
      unlist();
      halt(timer_);
      return owner_->dispatcher_.when_listed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->guarded([&] { self->answer_health(); });
      });
    }
    Request event;
    if (const auto bad = read_request(*request_, owner_->catalog_, event)) return reject(*bad, false);
    if (owner_->dispatcher_.holds(event.id)) {
      return reject({http::status::bad_request, "X-Request-ID is that of an open request"}, false);
    }
    proven_ = true;
    // Danger: a request's time counts from its last byte. While the node was away, or its connection lay in
    // the listener's queue, that time went by, and a caller that has given up must not make a server work.
    const SocketArrival came = read_socket_arrival(socket_.native_handle());
    if ((!came.known || came.age >= kLateRead || ahead_.size() > 0) && !look())
      return gone_ ? close("client_gone") : respond(refusal(owner_->limits_.busy_retry_after));
    // So much of it lies in the margins that every request has (kMargin of the dispatcher).
    event.time_left -= std::max(0.0, came.age - kLateRead);
    const auto message = std::make_shared<Message>(owner_->budget_);
    share_.resize(ahead_.capacity());  // the rest goes with the request
    if (!message->share.try_resize(kHeadCost + request_->body().capacity()))
      return respond(refusal(owner_->limits_.busy_retry_after));
    if (turned_away_ || event.time_left <= 0) return respond(refusal(owner_->limits_.busy_retry_after));
    id_ = event.id;
    remove_hop_by_hop_fields(*request_);
    request_->erase("X-Timeout-Ms");
    request_->prepare_payload();
    request_->version(11);
    message->request = std::move(*request_);
    request_.reset();
    state_ = State::kWaiting;
    unlist();
    halt(timer_);
    hand_over(std::move(event), {message, &message->request});
  }

  void answer_health() {
    if (owner_ == nullptr || state_ == State::kClosed) return;
    const bool well = owner_->dispatcher_.can_serve() && !owner_->draining_;
    respond(
        plain(well ? http::status::ok : http::status::service_unavailable, well ? "ok\n" : "not ready\n"));
  }

  // Danger: where the memory is short this may fail halfway, and what was read is owed an answer all the
  // same.
  void hand_over(Request&& event, std::shared_ptr<const HttpRequest> request) {
    const auto weak = weak_from_this();
    try {
      owner_->dispatcher_.take(std::move(event), std::move(request),
                               {[weak](Answer&& answer) {
                                  if (const auto self = weak.lock()) self->answer(std::move(answer));
                                },
                                [weak] {
                                  const auto self = weak.lock();
                                  return self && self->still_waits();
                                }});
    } catch (const std::exception& problem) {
      log_warning("request_not_taken").with("id", id_).with("problem", problem.what());
      if (owner_ != nullptr && state_ == State::kWaiting) respond(refusal(owner_->limits_.busy_retry_after));
    }
  }

  // Whether its caller is there: the read that would tell may not have had its turn.
  bool still_waits() { return state_ == State::kWaiting && look(); }

  // ---------------------------------------------------------------- answers

  static HttpResponse plain(http::status status, const std::string& text) {
    HttpResponse out(status, 11);
    out.set(http::field::content_type, "text/plain");
    out.body() = text;
    return out;
  }

  static HttpResponse refusal(double retry_after) {
    HttpResponse out = plain(http::status::service_unavailable, "refused\n");
    if (retry_after > 0) out.set(http::field::retry_after, decimal_seconds(retry_after));
    return out;
  }

  // An error of the caller's. After one that leaves the framing in doubt nothing more is read as requests.
  void reject(const Rejected& why, bool lost = true) {
    if (lost) keep_alive_ = false;
    pause_ = true;
    respond(plain(why.status, std::string(why.text) + "\n"));
  }

  void answer(Answer&& answer) {
    if (state_ != State::kWaiting || owner_ == nullptr) return;
    switch (answer.kind) {
      case Answer::Kind::kServed:
        remove_hop_by_hop_fields(answer.response);
        return respond(std::move(answer.response));
      case Answer::Kind::kRefused:
        return respond(refusal(answer.retry_after));
      case Answer::Kind::kFailed:
        return respond(plain(http::status::bad_gateway, "failed\n"));
    }
  }

  void respond(HttpResponse&& response) {
    if (proven_) unlist();
    state_ = State::kWriting;
    share_.resize(ahead_.capacity() + response.body().size());
    if (owner_->closing_ || turned_away_) keep_alive_ = false;
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    allow(kWriteWait);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      self->guarded([&] { self->written(bad); });
    });
  }

  void written(error_code bad) {
    if (owner_ == nullptr || state_ != State::kWriting) return;
    if (bad) return close("write_failed");
    response_ = {};
    share_.resize(ahead_.capacity());
    // What he has sent ahead is nobody's any more.
    if (gone_) return close("client_gone");
    if (!keep_alive_) return linger();
    if (std::exchange(pause_, false)) {
      // Guards the others against one who asks the same again at full speed: he is read from now and then.
      state_ = State::kPausing;
      return allow(kErrorPause);
    }
    allow(kIdleWait);
    next_request();
  }

  // Danger: closing with unread bytes resets the connection, and the client may lose the answer.
  void linger() {
    state_ = State::kLingering;
    // Danger: with a buffer that is full nothing more would be read, and the close would reset the
    // connection.
    ahead_.clear();
    ahead_.shrink_to_fit();
    error_code bad;
    socket_.shutdown(tcp::socket::shutdown_send, bad);
    if (bad) return close("answered");
    allow(kLinger);
    read();
  }

  Frontend* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool turned_away_;
  State state_ = State::kReading;
  bool reading_ = false;  // a read is out
  bool proven_ = false;   // has asked for something that can be served
  bool pause_ = false;    // after this answer
  bool begun_ = false;    // a byte of the request has come
  bool gone_ = false;     // its end was read, or it was reset
  bool overrun_ = false;  // more came ahead of its turn than was kept
  bool keep_alive_ = true, continue_sent_ = false;
  std::array<char, kReadSize> scratch_{};
  boost::beast::flat_buffer ahead_;
  MemoryBudget::Reservation
      share_;  // of read-ahead, and of the body that is coming or the answer that is going
  std::list<Session*>* list_ = nullptr;
  std::list<Session*>::iterator listed_at_;
  std::size_t lingered_ = 0;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<HttpRequest> request_;
  std::string id_;
  HttpResponse response_;
};

Frontend::Frontend(asio::io_context& io, const Clock& clock, const Limits& limits, Catalog catalog,
                   MemoryBudget& budget, Dispatcher& dispatcher)
    : io_(io),
      clock_(clock),
      acceptor_(io),
      timer_(io),
      limits_(limits),
      catalog_(std::move(catalog)),
      budget_(budget),
      dispatcher_(dispatcher),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {}

void Frontend::listen(const tcp::endpoint& where) {
  acceptor_.open(where.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // Danger: without it Asio waits for the next connection after ECONNABORTED, and whoever stands behind the
  // one that was aborted waits with it.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(where);
  acceptor_.listen(kBacklog);
}

Frontend::~Frontend() {
  for (const std::shared_ptr<Session>& session : sessions_) session->orphan();
  if (spare_ >= 0) ::close(spare_);
}

void Frontend::start() { accept(); }

void Frontend::accept() {
  if (accepting_ || pausing_ || !acceptor_.is_open() || sessions_.size() >= limits_.most + limits_.overflow)
    return;
  acceptor_.async_accept([this, turn = accept_turn_](error_code bad, tcp::socket socket) {
    if (turn != accept_turn_) {  // another has taken its place, see recover()
      if (!bad) admit(std::move(socket));
      return;
    }
    accepting_ = false;
    if (bad == asio::error::operation_aborted) return;
    if (is_of_one_connection(bad)) return accept();
    if (bad) return accept_failed(bad);
    admit(std::move(socket));
    accept();
  });
  accepting_ = true;
}

// Guards against running out of descriptors: a listener that stays readable with nothing accepted would spin,
// and clients in its queue would wait in vain. The spare descriptor takes one in at a time, to be told so:
// what it has asked is taken, and is owed an answer.
void Frontend::accept_failed(error_code bad) {
  log_warning("accept_failed").with("error", bad.message());
  accept_with_spare();
  timer_.expires_after(Clock::span(kAcceptPause));
  timer_.async_wait([this](error_code cancelled) {
    pausing_ = false;
    if (!cancelled) accept();
  });
  pausing_ = true;
}

// The accept may have failed within Asio, which then calls nobody.
void Frontend::recover() {
  if (!acceptor_.is_open() || !accepting_) return accept();
  ++accept_turn_;
  accepting_ = false;
  error_code ignored;
  acceptor_.cancel(ignored);
  accept();
}

// Whether one was taken in.
bool Frontend::accept_with_spare() {
  // Danger: who has just connected is about to ask; what it has written by then would be lost.
  evict(kAboutToAsk);
  if (spare_ < 0) return false;
  ::close(std::exchange(spare_, -1));
  error_code bad;
  tcp::socket socket(io_);
  acceptor_.non_blocking(true, bad);
  acceptor_.accept(socket, bad);
  if (bad) {
    keep_spare();
    return false;
  }
  admit(std::move(socket), true, kSpareWait);
  return true;
}

void Frontend::keep_spare() {
  if (spare_ < 0) spare_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void Frontend::admit(tcp::socket socket) {
  const bool full = sessions_.size() >= limits_.most && !evict(0);
  admit(std::move(socket), full, kFirstWait);
}

void Frontend::admit(tcp::socket socket, bool full, double patience) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::shared_ptr<Session> session;
  try {
    sessions_.emplace_back();
    session = std::make_shared<Session>(*this, std::move(socket), full);
  } catch (const std::exception& problem) {
    log_warning("client_not_admitted").with("problem", problem.what());
    if (!session) sessions_.pop_back();
    return refuse_by_hand(socket);
  }
  sessions_.back() = session;
  session->at = std::prev(sessions_.end());
  session->start(patience);
}

// Danger: by idle time alone, hundreds of connections that say nothing push out the callers that wait between
// two requests. Who has never asked for anything goes first, the one that has been there the longest before
// the others.
bool Frontend::evict(double spared) {
  const Clock::Steady::time_point before = Clock::Steady::now() - Clock::span(spared);
  for (const std::list<Session*>* list : {&strangers_, &idle_}) {
    for (Session* session : *list) {
      if (list == &strangers_ && session->begun_at > before) break;  // and all behind it are younger
      if (session->has_unread()) continue;
      session->close("evicted");
      return true;
    }
  }
  return false;
}

void Frontend::ended(Session& session) {
  sessions_.erase(session.at);
  keep_spare();
  end_if_drained();
  accept();
}

void Frontend::drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  double longest = 0;
  for (const RequestClass& c : catalog_.classes)
    longest = std::max(longest, std::min(c.client_timeout, kMostDrain));
  const Clock::Steady::time_point now = Clock::Steady::now();
  last_answer_ = now + Clock::span(longest + kLastAnswer);
  last_accept_ = now + Clock::span(std::max(kAcceptOn, longest - kLastRequest));
  // Danger: what was taken before the drain has a time of its own, which may be longer than the node lives.
  dispatcher_.answer_by(clock_.now() + longest + kLastAnswer);
  const auto after = [this](double seconds, void (Frontend::*step)()) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(seconds));
    timer->async_wait([this, timer, step](error_code) { (this->*step)(); });
  };
  after(kAcceptOn, &Frontend::stop_accepting);
  after(std::max(kAcceptOn, longest - kLastRequest), &Frontend::close_idle);
}

void Frontend::stop_accepting() {
  // What has come up to now is still taken in. Danger: where descriptors are short the queue of the listener
  // is not empty, and closing it resets them all.
  error_code bad;
  acceptor_.non_blocking(true, bad);
  while (sessions_.size() < limits_.most + limits_.overflow) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, bad);
    if (bad == asio::error::would_block || bad == asio::error::try_again) break;
    if (!bad) {
      admit(std::move(socket));
    } else if (!accept_with_spare()) {
      break;
    }
  }
  const bool empty = bad == asio::error::would_block || bad == asio::error::try_again;
  if (!empty && Clock::Steady::now() < last_accept_) {
    // Not the timer of a failed accept: one may be under way beside this.
    const auto again = std::make_shared<asio::steady_timer>(io_, Clock::span(kAcceptPause));
    return again->async_wait([this, again](error_code) { stop_accepting(); });
  }
  acceptor_.close(bad);
  end_if_drained();
}

void Frontend::close_idle() {
  closing_ = true;
  const std::vector<std::shared_ptr<Session>> all(sessions_.begin(), sessions_.end());
  for (const std::shared_ptr<Session>& session : all) session->wind_up();
  end_if_drained();
}

void Frontend::end_if_drained() {
  if (draining_ && drained_ && !acceptor_.is_open() && sessions_.empty()) {
    asio::post(io_, std::exchange(drained_, nullptr));
  }
}

}  // namespace thymewood::node
