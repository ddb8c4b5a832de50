#include "frontend.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string_view>
#include <utility>

namespace thymewood::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr double kFirstWait = 15;   // s; for the first byte on a new connection
constexpr double kIdleWait = 120;   // s; between requests
constexpr double kReadWait = 5;     // s; from the first byte of a request to its last
constexpr double kWriteWait = 5;    // s; for a client to take an answer
constexpr double kLinger = 0.5;     // s; for a client to read the last answer before the connection is closed
constexpr double kFreshWait = 1.5;  // s; after that, for a first request on a connection that was just made
constexpr double kAcceptOn = 0.5;   // s; of accepting after the drain has begun
constexpr double kAcceptPause = 0.02;  // s; after an accept that failed
constexpr std::size_t kReadSize = 4096;
constexpr std::size_t kMostAhead =
    kHeaderLimit + kBodyLimit;  // bytes of requests that came before their turn
constexpr std::size_t kLongestId = 128;
constexpr int kBacklog = 1024;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> whole(std::string_view digits) {
  constexpr std::size_t kMostDigits = 9;
  std::uint64_t out = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), out);
  if (problem != std::errc() || end != digits.data() + digits.size() || digits.size() > kMostDigits) {
    return std::nullopt;
  }
  return out;
}

std::string decimal_seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return text.data();
}

struct Rejected {
  http::status status;
  const char* text;
};

}  // namespace

// One client's connection. There is always a read on it, so that a client that goes is noticed; what comes
// ahead of its turn is kept, up to a bound.
class Frontend::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Frontend& owner, tcp::socket socket, bool turned_away)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_), turned_away_(turned_away) {}

  void start() {
    allow(kFirstWait);
    next_request();
  }

  std::list<std::shared_ptr<Session>>::iterator at;  // in the owner's lists
  std::list<Session*>::iterator idle_at;
  bool listed_idle = false;

  bool is_idle() const { return state_ == State::kReading && ahead_.size() == 0 && !begun_; }
  bool has_unread() {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }
  bool has_served() const { return served_; }
  void hurry(double seconds) { allow(seconds); }
  // Ends it without a word.
  void close() {
    if (state_ == State::kClosed) return;
    const bool waiting = state_ == State::kWaiting;
    state_ = State::kClosed;
    error_code ignored;
    halt(timer_);
    socket_.close(ignored);
    Frontend* owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    if (waiting) owner->dispatcher_.client_gone(id_);
    owner->ended(*this);
  }
  void orphan() { owner_ = nullptr; }

 private:
  enum class State { kReading, kWaiting, kWriting, kLingering, kClosed };

  void allow(double seconds) {
    timer_.expires_after(Clock::span(seconds));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && Clock::Steady::now() >= self->timer_.expiry()) self->timed_out();
    });
  }

  void timed_out() {
    if (owner_ == nullptr) return;
    if (state_ == State::kReading && begun_)
      return reject({http::status::request_timeout, "request too slow"});
    if (state_ != State::kWaiting) close();
  }

  // ---------------------------------------------------------------- reading

  void next_request() {
    state_ = State::kReading;
    begun_ = false;
    parser_.emplace();
    parser_->header_limit(kHeaderLimit);
    parser_->body_limit(kBodyLimit);
    // Danger: when eager, this parser passes over its own body limit if the head and a part of the body come
    // together, and a length of gigabytes is then taken in.
    parser_->eager(false);
    continue_sent_ = false;
    parse();
    if (state_ != State::kReading) return;
    if (!begun_) {
      idle_at = owner_->idle_.insert(owner_->idle_.end(), this);
      listed_idle = true;
    }
    read();
  }

  void leave_idle() {
    if (std::exchange(listed_idle, false)) owner_->idle_.erase(idle_at);
  }

  void read() {
    if (reading_ || state_ == State::kClosed || ahead_.size() >= kMostAhead) return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(scratch_),
                            [self = shared_from_this()](error_code bad, std::size_t n) {
                              self->reading_ = false;
                              self->take(bad, n);
                            });
  }

  void take(error_code bad, std::size_t n) {
    if (owner_ == nullptr || state_ == State::kClosed) return;
    // A client that closes has gone, whatever it still has a right to.
    if (bad) {
      if (state_ != State::kWriting) close();
      return;
    }
    if (state_ == State::kLingering) {
      lingered_ += n;
      if (lingered_ > kMostAhead) return close();
      return read();
    }
    const asio::mutable_buffer room = ahead_.prepare(n);
    std::copy_n(scratch_.begin(), n, static_cast<char*>(room.data()));
    ahead_.commit(n);
    if (state_ == State::kReading) parse();
    read();
  }

  // Feeds the parser with what has come, up to the end of one request.
  void parse() {
    while (state_ == State::kReading && ahead_.size() > 0) {
      if (!begun_) {
        begun_ = true;
        leave_idle();
        allow(kReadWait);
      }
      error_code bad;
      const std::size_t used = parser_->put(ahead_.data(), bad);
      ahead_.consume(used);
      if (bad == http::error::need_more) bad = {};
      if (bad == http::error::body_limit || parser_->get().body().size() > kBodyLimit)
        return reject({http::status::payload_too_large, "body too large"});
      if (bad == http::error::header_limit) {
        return reject({http::status::request_header_fields_too_large, "header too large"});
      }
      if (bad) return reject({http::status::bad_request, "malformed request"});
      if (parser_->is_done()) return handle();
      if (parser_->is_header_done() && !check_framing()) return;
      if (used == 0) return;
    }
  }

  // What the head says of the body, before the body has come.
  bool check_framing() {
    const HttpRequest& request = parser_->get();
    // Danger: two ways to tell the length may hide a second request in the body.
    const auto encoding = request.find(http::field::transfer_encoding);
    if (encoding != request.end() &&
        (request.has_content_length() || !boost::beast::iequals(encoding->value(), "chunked"))) {
      reject({http::status::bad_request, "ambiguous length"});
      return false;
    }
    if (!continue_sent_ && boost::beast::iequals(request[http::field::expect], "100-continue")) {
      continue_sent_ = true;
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      asio::async_write(socket_, asio::buffer(kContinue),
                        [self = shared_from_this()](error_code, std::size_t) {});
    }
    return true;
  }

  // ---------------------------------------------------------------- what may be asked

  void handle() {
    if (!check_framing()) return;
    request_ = std::make_shared<HttpRequest>(parser_->release());
    keep_alive_ = request_->keep_alive();
    const std::string_view path = view(request_->target()).substr(0, request_->target().find('?'));
    if (path == "/_health") {
      if (request_->method() != http::verb::get && request_->method() != http::verb::head) {
        return reject({http::status::method_not_allowed, "GET only"});
      }
      const bool well = owner_->dispatcher_.can_serve() && !owner_->draining_;
      return respond(
          plain(well ? http::status::ok : http::status::service_unavailable, well ? "ok\n" : "not ready\n"));
    }
    Request event;
    if (const std::optional<Rejected> bad = check(path, event)) return reject(*bad, false);
    if (turned_away_) return respond(refusal(owner_->limits_.busy_retry_after));
    id_ = event.id;
    drop_hop_by_hop(*request_);
    request_->erase("X-Timeout-Ms");
    request_->prepare_payload();
    request_->version(11);
    state_ = State::kWaiting;
    halt(timer_);
    owner_->dispatcher_.take(std::move(event), std::exchange(request_, nullptr),
                             [weak = weak_from_this()](Answer&& answer) {
                               if (const auto self = weak.lock()) self->answer(std::move(answer));
                             });
  }

  std::optional<std::string_view> only(boost::beast::string_view name) const {
    const auto [first, last] = request_->equal_range(name);
    if (first == last || std::next(first) != last) return std::nullopt;
    return view(first->value());
  }

  // Fills in the event, or says what is wrong with the request.
  std::optional<Rejected> check(std::string_view path, Request& event) const {
    const HttpRequest& request = *request_;
    const auto bad = [](const char* text) { return Rejected{http::status::bad_request, text}; };
    const std::vector<std::string>& names = owner_->catalog_.class_names;
    if (path.empty() || path.front() != '/') return bad("not a path");
    const std::string_view first = path.substr(1, path.find('/', 1) - 1);
    const auto named = std::find(names.begin(), names.end(), first);
    if (request.count("X-Priority-Class") == 0) {
      if (named == names.end()) return Rejected{http::status::not_found, "no such path"};
      return bad("X-Priority-Class is missing");
    }
    const auto told = only("X-Priority-Class");
    if (!told || std::find(names.begin(), names.end(), *told) == names.end()) {
      return bad("X-Priority-Class is unknown");
    }
    if (first != *told) return bad("X-Priority-Class is not that of the path");
    event.request_class = static_cast<std::size_t>(named - names.begin());

    const auto id = only("X-Request-ID");
    if (!id || id->empty() || id->size() > kLongestId) return bad("X-Request-ID is missing or unfit");
    event.id = *id;
    if (owner_->dispatcher_.holds(event.id)) return bad("X-Request-ID is that of an open request");

    const RequestClass& c = owner_->catalog_.classes[event.request_class];
    event.time_left = c.give_up;
    if (request.count("X-Timeout-Ms") > 0) {
      const auto text = only("X-Timeout-Ms");
      const auto ms = text ? whole(*text) : std::nullopt;
      if (!ms || *ms == 0) return bad("X-Timeout-Ms is not a number of milliseconds");
      event.time_left = static_cast<double>(*ms) / 1000;
    }

    const auto key = only("Idempotency-Key");
    const bool has_key = request.count("Idempotency-Key") > 0;
    if (c.effect == Effect::kSafe) {
      if (request.method() != http::verb::get || !request.body().empty())
        return bad("GET without a body only");
    } else if (request.method() != http::verb::post) {
      return bad("POST only");
    }
    if (c.effect == Effect::kKeyed ? !key || key->empty() : has_key) {
      return bad("Idempotency-Key does not fit the class");
    }

    const std::vector<std::string>& tenants = owner_->catalog_.tenant_names;
    const auto tenant = std::find(tenants.begin(), tenants.end(), view(request["X-Tenant-Id"]));
    event.tenant = static_cast<std::size_t>(tenant - tenants.begin());  // past the end: untold traffic
    event.is_repeat = request["X-Retried"] == "1";
    constexpr double kMicroseconds = 1e-6;
    if (const auto cost = whole(view(request["X-Cost"]))) {
      event.work = static_cast<double>(*cost) * kMicroseconds;
    }
    return std::nullopt;
  }

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
    leave_idle();
    if (lost) keep_alive_ = false;
    respond(plain(why.status, std::string(why.text) + "\n"));
  }

  void answer(Answer&& answer) {
    if (state_ != State::kWaiting || owner_ == nullptr) return;
    switch (answer.kind) {
      case Answer::Kind::kServed:
        drop_hop_by_hop(answer.response);
        return respond(std::move(answer.response));
      case Answer::Kind::kRefused:
        return respond(refusal(answer.retry_after));
      case Answer::Kind::kFailed:
        return respond(plain(http::status::bad_gateway, "failed\n"));
    }
  }

  void respond(HttpResponse&& response) {
    leave_idle();
    state_ = State::kWriting;
    served_ = true;
    if (owner_->draining_ || turned_away_) keep_alive_ = false;
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    allow(kWriteWait);
    http::async_write(socket_, response_, [self = shared_from_this()](error_code bad, std::size_t) {
      if (self->owner_ == nullptr || self->state_ != State::kWriting) return;
      if (bad) return self->close();
      self->response_ = {};
      if (self->keep_alive_) {
        self->allow(kIdleWait);
        return self->next_request();
      }
      self->linger();
    });
  }

  // Danger: closing with unread bytes resets the connection, and the client may lose the answer.
  void linger() {
    state_ = State::kLingering;
    error_code bad;
    socket_.shutdown(tcp::socket::shutdown_send, bad);
    if (bad) return close();
    allow(kLinger);
    read();
  }

  Frontend* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  bool turned_away_;
  State state_ = State::kReading;
  bool reading_ = false;  // a read is out
  bool served_ = false;   // has had an answer
  bool begun_ = false;    // a byte of the request has come
  bool keep_alive_ = true, continue_sent_ = false;
  std::array<char, kReadSize> scratch_{};
  boost::beast::flat_buffer ahead_;
  std::size_t lingered_ = 0;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::shared_ptr<HttpRequest> request_;
  std::string id_;
  HttpResponse response_;
};

Frontend::Frontend(asio::io_context& io, const Limits& limits, Catalog catalog, Dispatcher& dispatcher)
    : io_(io),
      acceptor_(io),
      timer_(io),
      limits_(limits),
      catalog_(std::move(catalog)),
      dispatcher_(dispatcher),
      spare_(::open("/dev/null", O_RDONLY | O_CLOEXEC)) {}

void Frontend::listen(const tcp::endpoint& where) {
  acceptor_.open(where.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(where);
  acceptor_.listen(kBacklog);
}

Frontend::~Frontend() {
  for (const std::shared_ptr<Session>& session : sessions_) session->orphan();
  if (spare_ >= 0) ::close(spare_);
}

void Frontend::start() { accept(); }

void Frontend::accept() {
  if (accepting_ || !acceptor_.is_open() || sessions_.size() >= limits_.most + limits_.overflow) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code bad, tcp::socket socket) {
    accepting_ = false;
    if (bad == asio::error::operation_aborted) return;
    if (bad) return accept_failed();
    admit(std::move(socket));
    accept();
  });
}

// Guards against running out of descriptors: a listener that stays readable with nothing accepted would spin,
// and clients in its queue would wait in vain. The spare descriptor takes one in, to be told so.
void Frontend::accept_failed() {
  evict_idle();
  if (spare_ >= 0) {
    ::close(std::exchange(spare_, -1));
    error_code bad;
    tcp::socket socket(io_);
    acceptor_.non_blocking(true, bad);
    acceptor_.accept(socket, bad);
    if (!bad) {
      socket.close(bad);
    }
    spare_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  }
  timer_.expires_after(Clock::span(kAcceptPause));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

void Frontend::admit(tcp::socket socket) {
  const bool full = sessions_.size() >= limits_.most && !evict_idle();
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket), full);
  session->at = sessions_.insert(sessions_.end(), session);
  session->start();
}

bool Frontend::evict_idle() {
  for (Session* session : idle_) {
    if (session->has_unread()) continue;
    session->close();
    return true;
  }
  return false;
}

void Frontend::ended(Session& session) {
  if (std::exchange(session.listed_idle, false)) idle_.erase(session.idle_at);
  sessions_.erase(session.at);
  if (draining_ && drained_ && !acceptor_.is_open() && sessions_.empty()) {
    asio::post(io_, std::exchange(drained_, nullptr));
    return;
  }
  accept();
}

void Frontend::drain(std::function<void()> done) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  const auto timer = std::make_shared<asio::steady_timer>(io_, Clock::span(kAcceptOn));
  timer->async_wait([this, timer](error_code) { stop_accepting(); });
}

void Frontend::stop_accepting() {
  // What has come up to now is still taken in.
  error_code bad;
  acceptor_.non_blocking(true, bad);
  while (sessions_.size() < limits_.most + limits_.overflow) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, bad);
    if (bad) break;
    admit(std::move(socket));
  }
  acceptor_.close(bad);
  std::vector<std::shared_ptr<Session>> quiet;
  for (const std::shared_ptr<Session>& session : sessions_) {
    if (!session->is_idle() || session->has_unread()) continue;
    // Danger: the first request on a new connection may be on its way, and its client has nothing to tell it
    // that the connection was closed for good reason.
    if (session->has_served()) {
      quiet.push_back(session);
    } else {
      session->hurry(kFreshWait);
    }
  }
  for (const std::shared_ptr<Session>& session : quiet) session->close();
  if (sessions_.empty() && drained_) asio::post(io_, std::exchange(drained_, nullptr));
}

}  // namespace thymewood::node
