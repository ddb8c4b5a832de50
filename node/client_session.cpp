#include "client_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

#include "event_log.h"
#include "local_response.h"
#include "socket_arrival.h"

namespace thymewood::node {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr double kRequestTimeout = 2.5;   // s; from the first byte of a request after the first to its last
constexpr double kKeepAliveTimeout = 10;  // s; between requests
constexpr double kWriteTimeout = 5;       // s; for a client to receive a response
constexpr double kErrorPause = 0.1;       // s; between an invalid request and the next read
constexpr double kLingerTimeout = 0.5;    // s; for a client to read the last response before the close
constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;  // discarded after the last response
constexpr std::size_t kRequestHeadSize = 1024;  // bytes; estimate of what a request holds besides its body
constexpr unsigned kHttp11 = 11;

// A request in flight, with its part of the memory budget.
struct RequestInFlight {
  explicit RequestInFlight(MemoryBudget& budget) : memory(budget) {}
  HttpRequest request;
  MemoryBudget::Reservation memory;
};

}  // namespace

const char* name_of(SessionEnd end) {
  switch (end) {
    case SessionEnd::kAnswered:
      return "answered";
    case SessionEnd::kClientClosed:
      return "client_gone";
    case SessionEnd::kTimedOut:
      return "timed_out";
    case SessionEnd::kWriteFailed:
      return "write_failed";
    case SessionEnd::kEvicted:
      return "evicted";
    case SessionEnd::kShutdown:
      return "drain";
    case SessionEnd::kOutOfMemory:
      return "no_memory";
  }
  return "unknown";
}

ClientSession::ClientSession(SessionContext& context, tcp::socket socket, Mode mode)
    : context_(&context),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      mode_(mode),
      reader_(socket_),
      memory_(context.memory_budget) {}

void ClientSession::start(double first_request_timeout) {
  run_guarded([&] {
    set_timeout(first_request_timeout);
    read_request();
  });
}

// An exception, for want of memory, must leave neither a pending read nor a timer behind, nor a client
// without a response.
template <class Work>
void ClientSession::run_guarded(const Work& work) {
  try {
    work();
  } catch (const std::exception& problem) {
    log_warning("client_failed").with("problem", problem.what());
    if (state_ == State::kClosed || state_ == State::kWaiting) return;  // the dispatcher answers it
    if (state_ != State::kWriting) send_overload_response(socket_);
    close(SessionEnd::kOutOfMemory);
  }
}

// ---------------------------------------------------------------- end and time

void ClientSession::close(SessionEnd reason) {
  if (state_ == State::kClosed) return;
  log_debug("client_closed").with("reason", name_of(reason));
  const bool was_waiting = state_ == State::kWaiting;
  state_ = State::kClosed;
  if (context_ != nullptr) context_->sessions.remove_idle(*this);
  halt(timer_);
  error_code ignored;
  socket_.close(ignored);
  SessionContext* context = std::exchange(context_, nullptr);
  if (context == nullptr) return;
  if (was_waiting) context->dispatcher.on_client_disconnected(request_id_);
  context->owner.on_session_ended(*this);
}

void ClientSession::detach() {
  context_->sessions.remove_idle(*this);
  context_ = nullptr;
}

void ClientSession::wind_up() {
  if (is_idle() && !has_unread()) return close(SessionEnd::kShutdown);
  if (state_ != State::kReading && state_ != State::kPausing) return;
  set_timeout(std::clamp(context_->shutdown.time_to_response_deadline(), 0.0, kLingerTimeout));
}

bool ClientSession::is_idle() const {
  return state_ == State::kReading && reader_.buffered() == 0 && !reader_.has_begun();
}

bool ClientSession::has_unread() {
  error_code ignored;
  return socket_.available(ignored) > 0;
}

void ClientSession::set_timeout(double seconds) {
  timer_.expires_after(Clock::span(seconds));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && Clock::Steady::now() >= self->timer_.expiry()) {
      self->run_guarded([&] { self->on_timeout(); });
    }
  });
}

void ClientSession::on_timeout() {
  if (context_ == nullptr) return;
  if (state_ == State::kPausing && !context_->shutdown.is_closing_sessions()) {
    set_timeout(kKeepAliveTimeout);
    return read_request();
  }
  if (state_ == State::kReading && reader_.has_begun()) {
    return reject({http::status::request_timeout, "request too slow"}, Framing::kLost);
  }
  if (state_ != State::kWaiting) close(SessionEnd::kTimedOut);
}

// ---------------------------------------------------------------- reading

void ClientSession::read_request() {
  state_ = State::kReading;
  reader_.start_request();
  parse();
  if (state_ != State::kReading) return;
  if (is_proven_ && !reader_.has_begun()) {
    context_->sessions.add_idle(*this, SessionTable::IdleKind::kBetweenRequests);
  } else if (!is_proven_ && table_entry_.idle_list == nullptr) {
    context_->sessions.add_idle(*this, SessionTable::IdleKind::kUnproven);
  }
  if (!reader_.has_begun()) {
    reader_.shrink_buffer();
    memory_.resize(reader_.buffer_capacity());
  }
  read();
  if (context_->shutdown.is_closing_sessions()) wind_up();
}

void ClientSession::read() {
  // During the pause after an invalid request, backpressure applies; any other client may disconnect
  // meanwhile.
  const bool is_backpressure_due = reader_.is_full() && state_ == State::kPausing;
  if (is_read_pending_ || state_ == State::kClosed || is_backpressure_due) return;
  socket_.async_read_some(reader_.receive_buffer(),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            self->is_read_pending_ = false;
                            self->run_guarded([&] { self->on_read(error, size); });
                          });
  is_read_pending_ = true;
}

void ClientSession::on_read(error_code error, std::size_t size) {
  if (context_ == nullptr || state_ == State::kClosed) return;
  if (error) {
    reader_.on_peer_closed();
    if (state_ != State::kWriting) close(SessionEnd::kClientClosed);
  } else if (state_ == State::kLingering) {
    discarded_ += size;
    if (discarded_ > kMaxLingerBytes) return close(SessionEnd::kAnswered);
    read();
  } else {
    on_received(size);
  }
}

void ClientSession::on_received(std::size_t size) {
  reader_.on_received(size);
  if (state_ == State::kReading) parse();
  if (state_ == State::kReading && !memory_.try_resize(reader_.buffer_capacity() + reader_.body_capacity())) {
    keep_alive_ = false;
    return shed();
  }
  read();
}

void ClientSession::parse() {
  if (!reader_.has_begun() && reader_.buffered() > 0 && is_proven_) {
    context_->sessions.remove_idle(*this);
    set_timeout(kRequestTimeout);
  }
  switch (reader_.parse()) {
    case RequestReader::Status::kIncomplete:
      return;
    case RequestReader::Status::kComplete:
      return handle_request(reader_.release());
    case RequestReader::Status::kRejected:
      return reject(reader_.rejection(), Framing::kLost);
    case RequestReader::Status::kWriteFailed:
      return close(SessionEnd::kWriteFailed);
  }
}

bool ClientSession::read_available() {
  const bool was_closed = reader_.is_peer_closed();
  const bool is_present = reader_.read_available();
  if (!was_closed && reader_.is_peer_closed()) {
    // Posted, since the caller may be in the middle of processing this very request.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->state_ != State::kWriting) self->close(SessionEnd::kClientClosed);
    });
  }
  return is_present;
}

// ---------------------------------------------------------------- requests

void ClientSession::handle_request(HttpRequest&& request) {
  keep_alive_ = request.keep_alive();
  if (path_of(request) == "/_health") return handle_health_check(request);
  handle_forwarded_request(std::move(request));
}

void ClientSession::handle_health_check(const HttpRequest& request) {
  if (request.method() != http::verb::get && request.method() != http::verb::head) {
    return reject({http::status::method_not_allowed, "GET only"}, Framing::kLost);
  }
  is_proven_ = true;
  if (!context_->dispatcher.is_awaiting_first_list()) return respond_to_health_check();
  begin_waiting();
  context_->dispatcher.notify_on_first_list([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->run_guarded([&] { self->respond_to_health_check(); });
  });
}

void ClientSession::respond_to_health_check() {
  if (context_ == nullptr || state_ == State::kClosed) return;
  const bool is_healthy = context_->dispatcher.can_serve() && !context_->shutdown.has_started();
  respond(is_healthy ? make_text_response(http::status::ok, "ok\n")
                     : make_text_response(http::status::service_unavailable, "not ready\n"));
}

void ClientSession::handle_forwarded_request(HttpRequest&& request) {
  Request event;
  if (const auto rejection = read_request_event(request, context_->catalog, event)) {
    return reject(*rejection, Framing::kIntact);
  }
  if (context_->dispatcher.is_pending(event.id)) {
    return reject({http::status::bad_request, "X-Request-ID is that of an open request"}, Framing::kIntact);
  }
  is_proven_ = true;
  // The timeout includes the time since the request arrived. It may have been unread while this process was
  // suspended or the connection was in the listener's queue, and the client may have disconnected.
  const SocketArrival arrival = read_socket_arrival(socket_.native_handle());
  const bool may_have_closed = !arrival.known || arrival.age >= kLateRead || reader_.buffered() > 0;
  if (may_have_closed && !read_available()) {
    return reader_.is_peer_closed() ? close(SessionEnd::kClientClosed) : shed();
  }
  // Shorter delays are covered by the dispatcher's margin.
  event.time_left -= std::max(0.0, arrival.age - kLateRead);
  dispatch(std::move(event), std::move(request));
}

void ClientSession::dispatch(Request&& event, HttpRequest&& request) {
  const auto pending = std::make_shared<RequestInFlight>(context_->memory_budget);
  memory_.resize(reader_.buffer_capacity());  // the body's part goes with the request
  if (!pending->memory.try_resize(kRequestHeadSize + request.body().capacity())) return shed();
  if (mode_ == Mode::kRejecting || event.time_left <= 0) return shed();
  request_id_ = event.id;
  remove_hop_by_hop_fields(request);
  request.erase("X-Timeout-Ms");
  request.prepare_payload();
  request.version(kHttp11);
  pending->request = std::move(request);
  begin_waiting();
  hand_over(std::move(event), {pending, &pending->request});
}

void ClientSession::begin_waiting() {
  state_ = State::kWaiting;
  context_->sessions.remove_idle(*this);
  halt(timer_);
}

// Where memory is short this may fail halfway; the request is answered all the same.
void ClientSession::hand_over(Request&& event, std::shared_ptr<const HttpRequest> request) {
  const auto weak = weak_from_this();
  try {
    context_->dispatcher.submit(std::move(event), std::move(request),
                                {[weak](FinalResponse&& response) {
                                   if (const auto self = weak.lock())
                                     self->on_final_response(std::move(response));
                                 },
                                 [weak] {
                                   const auto self = weak.lock();
                                   return self && self->state_ == State::kWaiting && self->read_available();
                                 }});
  } catch (const std::exception& problem) {
    log_warning("request_not_taken").with("id", request_id_).with("problem", problem.what());
    if (context_ != nullptr && state_ == State::kWaiting) shed();
  }
}

// ---------------------------------------------------------------- responses

void ClientSession::on_final_response(FinalResponse&& final_response) {
  if (state_ != State::kWaiting || context_ == nullptr) return;
  switch (final_response.kind) {
    case FinalResponse::Kind::kFromServer:
      remove_hop_by_hop_fields(final_response.response);
      return respond(std::move(final_response.response));
    case FinalResponse::Kind::kRejected:
      return respond(make_overload_response(final_response.retry_after));
    case FinalResponse::Kind::kFailed:
      return respond(make_text_response(http::status::bad_gateway, "failed\n"));
  }
}

void ClientSession::reject(const Rejection& rejection, Framing framing) {
  if (framing == Framing::kLost) keep_alive_ = false;
  is_pause_due_ = true;
  respond(make_text_response(rejection.status, std::string(rejection.text) + "\n"));
}

void ClientSession::shed() { respond(make_overload_response(context_->overload_retry_after)); }

void ClientSession::respond(HttpResponse&& response) {
  if (is_proven_) context_->sessions.remove_idle(*this);
  state_ = State::kWriting;
  memory_.resize(reader_.buffer_capacity() + response.body().size());
  if (context_->shutdown.is_closing_sessions() || mode_ == Mode::kRejecting) keep_alive_ = false;
  response_ = std::move(response);
  response_.version(kHttp11);
  response_.keep_alive(keep_alive_);
  response_.prepare_payload();
  set_timeout(kWriteTimeout);
  http::async_write(socket_, response_, [self = shared_from_this()](error_code error, std::size_t) {
    self->run_guarded([&] { self->on_written(error); });
  });
}

void ClientSession::on_written(error_code error) {
  if (context_ == nullptr || state_ != State::kWriting) return;
  if (error) return close(SessionEnd::kWriteFailed);
  response_ = {};
  memory_.resize(reader_.buffer_capacity());
  // The requests that it sent ahead are abandoned.
  if (reader_.is_peer_closed()) return close(SessionEnd::kClientClosed);
  if (!keep_alive_) return linger();
  if (std::exchange(is_pause_due_, false)) {
    // Limits the rate of a client that repeats an invalid request in a closed loop.
    state_ = State::kPausing;
    return set_timeout(kErrorPause);
  }
  set_timeout(kKeepAliveTimeout);
  read_request();
}

// Closing with unread bytes would reset the connection, and the client might lose the response.
void ClientSession::linger() {
  state_ = State::kLingering;
  reader_.discard_buffer();  // with a full buffer nothing more would be read
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error) return close(SessionEnd::kAnswered);
  set_timeout(kLingerTimeout);
  read();
}

}  // namespace thymewood::node
