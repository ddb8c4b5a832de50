#include "discovery.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include "event_log.h"
#include "object_stream.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// What a watch misses counts as told 6 s after it fell silent, whether or not it arrived. By then the next
// watch has to be answered, and if that one is accepted and says nothing, the one after it: so that these two
// waits come to 6 s together.
//
// s. An empty line comes every 2 s: one that is missed, and some lateness, tell of a watch that is dead.
constexpr double kSilence = 2.9;
// s. Discovery that is asked works through calls in turn, and lets one wait for 3 s at most.
constexpr double kFirstWord = 3.1;
// Watches in a row may be given up so soon. Danger: where lines come late for all nodes, their new calls
// would keep discovery busy and the lines late.
constexpr int kSoon = 2;
constexpr double kLateSilence = 4.5;  // s; from then on
constexpr double kLived = 10;         // s; a watch that was open for so long was no such case
constexpr double kDial = 1.0;         // s; for the connection alone
constexpr std::size_t kReadSize = std::size_t{16} * 1024;
constexpr std::size_t kLongestObject = std::size_t{4} * 1024 * 1024;

double seconds_since(Clock::Steady::time_point then) {
  return std::chrono::duration<double>(Clock::Steady::now() - then).count();
}

}  // namespace

// One call to discovery, from the dial to the end of its answer.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {}

  void start(const tcp::endpoint& where, std::optional<std::uint64_t> index) {
    parser_.body_limit(boost::none);
    parser_.header_limit(16 * 1024);
    request_.method(http::verb::get);
    std::string target = "/catalog/members?watch=1";
    if (index) target += "&after=" + std::to_string(*index);
    request_.target(target);
    request_.version(11);
    request_.set(http::field::host, where.address().to_string() + ":" + std::to_string(where.port()));
    allow(kDial);
    socket_.async_connect(where, [self = shared_from_this()](error_code problem) {
      if (problem || self->owner_ == nullptr) return self->end("connect_failed", problem);
      self->allow(self->owner_->patience(false));
      http::async_write(self->socket_, self->request_, [self](error_code bad, std::size_t) {
        if (bad) return self->end("write_failed", bad);
        self->asked_at_ = Clock::Steady::now();
        self->wait();
      });
    });
  }

  // Ends it without a word.
  void abandon() {
    owner_ = nullptr;
    error_code ignored;
    halt(timer_);
    socket_.close(ignored);
  }

  // `reason`: for the log.
  void end(const char* reason, error_code problem = {}, End why = End::kBroken) {
    Discovery* owner = std::exchange(owner_, nullptr);
    error_code ignored;
    halt(timer_);
    socket_.close(ignored);
    if (owner == nullptr) return;
    {
      LogEvent line = log_info("watch_ended");
      line.with("reason", reason).with("age", seconds_since(begun_at_)).with("answered", answered_);
      if (problem) line.with("error", problem.message());
    }
    WatchFailure failure;
    failure.was_open = answered_;
    // A connection that never came up has waited in nobody's queue.
    if (asked_ && !answered_) failure.waited = seconds_since(asked_at_);
    owner->end(shared_from_this(), why, failure, heard_at_);
  }

  double heard_at() const { return heard_at_; }

 private:
  void allow(double seconds) {
    timer_.expires_after(Clock::span(seconds));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || Clock::Steady::now() < self->timer_.expiry() || self->owner_ == nullptr) return;
      // Danger: a node that was away finds its timer over before what came meanwhile.
      if (!self->pull() || Clock::Steady::now() < self->timer_.expiry()) return;
      if (self->objects_.pending()) self->owner_->warn("discovery: an object without its end");
      self->end(self->asked_ ? "silent" : "connect_timed_out", {},
                self->asked_ ? End::kSilent : End::kBroken);
    });
  }

  void wait() {
    asked_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code bad) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->end("wait_failed", bad);
      if (self->pull()) self->wait();
    });
  }

 public:
  // Reads until nothing more is there. Between two calls no operation works on parser and buffer, so that
  // this may come at any time. False: the watch has ended, or another has taken over.
  bool pull() {
    if (std::exchange(pulling_, true)) return true;  // a listener's doing, from within a line
    const bool open = read_all();
    pulling_ = false;
    return open;
  }

 private:
  bool read_all() {
    while (asked_ && owner_ != nullptr) {
      error_code bad;
      const asio::mutable_buffer room = buffer_.prepare(kReadSize);
      const ssize_t got = ::recv(socket_.native_handle(), room.data(), room.size(), MSG_DONTWAIT);
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return true;
      if (got <= 0) {
        end(got == 0 ? "closed" : "read_failed",
            got == 0 ? error_code() : error_code(errno, boost::system::system_category()));
        return false;
      }
      buffer_.commit(static_cast<std::size_t>(got));
      while (buffer_.size() > 0 && !bad && !parser_.is_done()) {
        const std::size_t used = parser_.put(buffer_.data(), bad);
        buffer_.consume(used);
        if (parser_.is_header_done()) {
          if (parser_.get().result() != http::status::ok) {
            end(parser_.get().result() == http::status::service_unavailable ? "status_503" : "status");
            return false;
          }
          if (!std::exchange(answered_, true))
            owner_->start_times_.set_discovery_time(
                owner_->clock_.reading(), parse_http_date(std::string(parser_.get()[http::field::date])));
          take();
          if (owner_ == nullptr) return false;
        }
        if (used == 0) break;
      }
      if (bad == http::error::need_more) bad = {};
      if (bad || parser_.is_done()) {
        end(bad ? "malformed" : "complete", bad);
        return false;
      }
    }
    return owner_ != nullptr;
  }

  // Objects come split and joined as the chunks please.
  void take() {
    std::string& body = parser_.get().body();
    if (body.empty()) return;
    const std::string bytes = std::exchange(body, {});
    // What comes now is what has changed since the last word.
    if (owner_->current_) owner_->start_times_.set_list_current_until(heard_at_);
    heard_at_ = owner_->clock_.now();
    // Danger: the empty lines of a watch whose last object was torn would keep it, and what it holds is lost.
    if (!objects_.pending() || bytes.find_first_not_of(" \t\r\n") != std::string::npos)
      allow(owner_->patience(true));
    const bool well = objects_.feed(bytes, [this](std::string_view object) {
      owner_->take_object(shared_from_this(), object);
      return owner_ != nullptr;  // it was bad, or another watch has taken over
    });
    if (well && owner_ != nullptr && !objects_.pending()) owner_->became_current();
    if (well || owner_ == nullptr) return;
    owner_->warn("discovery: neither an object nor white space, or an object over 4 MiB");
    end("malformed_list");
  }

  Discovery* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  boost::beast::flat_buffer buffer_;
  ObjectStream objects_{kLongestObject};
  Clock::Steady::time_point begun_at_ = Clock::Steady::now();
  Clock::Steady::time_point asked_at_;  // when the call was written
  double heard_at_ = 0;                 // s on the clock; when anything came last
  bool asked_ = false;                  // the call is written: an answer may come
  bool answered_ = false;               // with a status of 200
  bool pulling_ = false;                // a listener's doing, from within an object
};

Discovery::Discovery(asio::io_context& io, tcp::endpoint where, ZoneNames zone_names, const Clock& clock,
                     StartTimes start_times, Listener listener)
    : io_(io),
      where_(std::move(where)),
      zone_names_(std::move(zone_names)),
      clock_(clock),
      listener_(std::move(listener)),
      start_times_(std::move(start_times)) {}

Discovery::~Discovery() {
  if (watch_) watch_->abandon();
}

// Guards against a timer for a new watch that was set before discovery moved: a second call would cost its
// turn at a discovery that works through calls one by one, and the first one's answer with it.
void Discovery::watch() {
  if (!watch_) open();
}

void Discovery::refresh() {
  if (const std::shared_ptr<Watch> held = watch_) held->pull();
}

void Discovery::recover() {
  if (watch_) became_stale(watch_->heard_at());
  open();
}

void Discovery::open() {
  if (watch_) watch_->abandon();
  watch_ = std::make_shared<Watch>(*this);
  opened_at_ = clock_.now();
  if (LogEvent line = log_info("watch_started"); version_) line.with("index", *version_);
  watch_->start(where_, version_);
}

double Discovery::patience(bool heard) const {
  if (silences_ >= kSoon) return kLateSilence;
  return heard ? kSilence : kFirstWord;
}

void Discovery::move_to(const tcp::endpoint& where) {
  if (where == where_ && watch_) return;
  // What the old address has written counts, read or not.
  refresh();
  if (watch_) became_stale(watch_->heard_at());
  where_ = where;
  // Nothing says that versions are counted alike at both addresses: a change between them must not be missed.
  version_.reset();
  silences_ = 0;
  listener_.moved();
  open();
}

// Whatever discovery says shows that it is there, an empty line too: it may have nothing to tell.
void Discovery::became_current() {
  if (std::exchange(current_, true)) return;
  log_info("list_current");
  listener_.current();
}

void Discovery::became_stale(double heard_at) {
  if (!std::exchange(current_, false)) return;
  log_info("list_stale").with("for", clock_.now() - heard_at);
  start_times_.set_list_current_until(heard_at);
  listener_.stale(heard_at);
}

void Discovery::take_object(const std::shared_ptr<Watch>& from, std::string_view object) {
  EndpointList update;
  try {
    rapidjson::Document in;
    in.Parse<rapidjson::kParseIterativeFlag>(object.data(), object.size());
    if (in.HasParseError()) throw std::runtime_error("not valid JSON");
    update = read_endpoint_list(in, zone_names_, clock_.reading(), start_times_);
  } catch (const std::exception& problem) {
    // The old list stays. These changes are missed, so the watch start_times again from before them.
    warn(std::string("discovery: ") + problem.what());
    return from->end("malformed_list");
  }
  // An entry that can't be read is one server's: the others' drains count.
  if (update.problem.empty()) {
    has_warned_ = false;
  } else {
    warn("discovery: " + update.problem);
  }
  // Danger: a change that is older than the list in hand would take back what came after it, a drain for one.
  // A whole list is another matter: discovery may have begun to count anew.
  if (!update.is_full && version_ && update.version < *version_) return;
  version_ = update.version;
  log_info("list_received")
      .with("index", update.version)
      .with("full", update.is_full)
      .with("entries", std::uint64_t{update.endpoints.size()});
  listener_.update(update);
}

void Discovery::end(const std::shared_ptr<Watch>& from, End why, WatchFailure failure, double heard_at) {
  if (watch_ != from) return;
  watch_.reset();
  became_stale(heard_at);
  if (clock_.now() - opened_at_ >= kLived) silences_ = 0;
  // Danger: a pause comes on top of the time that the silence took. Nodes notice it at different times, as
  // their lines came.
  if (why == End::kSilent && silences_++ < kSoon) return open();
  listener_.failed(failure);
}

void Discovery::warn(const std::string& text) {
  if (!std::exchange(has_warned_, true)) log_warning("list_unreadable").with("problem", text);
}

}  // namespace thymewood::node
