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

constexpr double kRequestTimeout = 2.5;       // s; from first to last byte of any but the first request
constexpr double kKeepAliveTimeout = 10;      // s; between requests
constexpr double kWriteTimeout = 5;           // s; for writing a response
constexpr double kInvalidRequestDelay = 0.1;  // s; from an invalid request to the next read
constexpr double kLingerTimeout = 0.5;        // s; before the close, for the client to read the last response
constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;  // discarded after the last response
constexpr std::size_t kPendingRequestSize = 1024;  // bytes; of the state of a request besides its message
constexpr unsigned kHttp11 = 11;

// A request in flight and its reservation in the memory budget.
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
      reader_(socket_, context.memory_budget),
      memory_(context.memory_budget) {}

void ClientSession::start(double first_request_timeout) {
  run_guarded([&] {
    set_timeout(first_request_timeout);
    read_request();
  });
}

// Runs `work` and handles exceptions such as std::bad_alloc: no read or timer may stay pending, and the
// client still gets a response.
template <class Work>
void ClientSession::run_guarded(const Work& work) {
  try {
    work();
  } catch (const std::exception& error) {
    log_warning("client_failed").with("problem", error.what());
    if (state_ == State::kClosed || state_ == State::kWaiting) return;  // the dispatcher responds
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
  cancel_timer(timer_);
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

void ClientSession::close_gracefully() {
  if (is_idle() && !has_unread()) return close(SessionEnd::kShutdown);
  if (state_ != State::kReading && state_ != State::kDelaying) return;
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
  timer_.expires_after(Clock::to_duration(seconds));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && Clock::Steady::now() >= self->timer_.expiry()) {
      self->run_guarded([&] { self->on_timeout(); });
    }
  });
}

void ClientSession::on_timeout() {
  if (context_ == nullptr) return;
  if (state_ == State::kDelaying && !context_->shutdown.is_closing_sessions()) {
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
  if (has_sent_valid_request_ && !reader_.has_begun()) {
    context_->sessions.add_idle(*this, SessionTable::IdleKind::kBetweenRequests);
  } else if (!has_sent_valid_request_ && table_entry_.idle_list == nullptr) {
    context_->sessions.add_idle(*this, SessionTable::IdleKind::kNoValidRequest);
  }
  if (!reader_.has_begun()) reader_.shrink_buffer();
  read();
  if (context_->shutdown.is_closing_sessions()) close_gracefully();
}

void ClientSession::read() {
  // Backpressure applies only during the delay after an invalid request. In every other state reading
  // continues, to detect that the client disconnects.
  const bool is_backpressure_due = reader_.is_full() && state_ == State::kDelaying;
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
  read();
}

void ClientSession::parse() {
  if (!reader_.has_begun() && reader_.buffered() > 0 && has_sent_valid_request_) {
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
    case RequestReader::Status::kOutOfMemory:
      keep_alive_ = false;
      return shed();
  }
}

bool ClientSession::read_available() {
  const bool was_closed = reader_.is_peer_closed();
  const bool is_client_waiting = reader_.read_available();
  if (!was_closed && reader_.is_peer_closed()) {
    // Posted because the request being processed may be on the call stack.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->state_ != State::kWriting) self->close(SessionEnd::kClientClosed);
    });
  }
  return is_client_waiting;
}

// ---------------------------------------------------------------- requests

void ClientSession::handle_request(HttpRequest&& request) {
  keep_alive_ = request.keep_alive();
  if (path_without_query(request) == "/_health") return handle_health_check(request);
  handle_forwarded_request(std::move(request));
}

void ClientSession::handle_health_check(const HttpRequest& request) {
  if (request.method() != http::verb::get && request.method() != http::verb::head) {
    return reject({http::status::method_not_allowed, "GET only"}, Framing::kLost);
  }
  has_sent_valid_request_ = true;
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
  if (const auto rejection = parse_request_event(request, context_->catalog, event)) {
    return reject(*rejection, Framing::kIntact);
  }
  if (context_->dispatcher.is_duplicate(event.id)) {
    return reject({http::status::bad_request, "X-Request-ID is that of an earlier request"},
                  Framing::kIntact);
  }
  has_sent_valid_request_ = true;
  // The timeout counts from the arrival of the request. The request may have been unread while this process
  // was suspended or while the connection was in the listen queue, and the client may have disconnected
  // since.
  const SocketArrival arrival = read_socket_arrival(socket_.native_handle());
  const bool may_have_closed = !arrival.known || arrival.age >= kLateReadThreshold || reader_.buffered() > 0;
  if (may_have_closed && !read_available()) {
    return reader_.is_peer_closed() ? close(SessionEnd::kClientClosed) : shed();
  }
  // The dispatcher's deadline margin covers shorter delays.
  event.time_left -= std::max(0.0, arrival.age - kLateReadThreshold);
  dispatch(std::move(event), std::move(request));
}

void ClientSession::dispatch(Request&& event, HttpRequest&& request) {
  const auto in_flight = std::make_shared<RequestInFlight>(context_->memory_budget);
  if (!in_flight->memory.try_resize(kPendingRequestSize + message_memory(request))) return shed();
  if (mode_ == Mode::kRejecting || event.time_left <= 0) return shed();
  request_id_ = event.id;
  remove_hop_by_hop_fields(request);
  request.erase("X-Timeout-Ms");
  request.prepare_payload();
  request.version(kHttp11);
  in_flight->request = std::move(request);
  begin_waiting();
  submit(std::move(event), {in_flight, &in_flight->request});
}

void ClientSession::begin_waiting() {
  state_ = State::kWaiting;
  context_->sessions.remove_idle(*this);
  cancel_timer(timer_);
}

// Dispatcher::submit() may throw halfway when out of memory; the client gets a response in any case.
void ClientSession::submit(Request&& event, std::shared_ptr<const HttpRequest> request) {
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
  } catch (const std::exception& error) {
    log_warning("request_not_taken").with("id", request_id_).with("problem", error.what());
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
  is_delay_due_ = true;
  respond(make_text_response(rejection.status, std::string(rejection.text) + "\n"));
}

void ClientSession::shed() { respond(make_overload_response(context_->overload_retry_after)); }

void ClientSession::respond(HttpResponse&& response) {
  if (has_sent_valid_request_) context_->sessions.remove_idle(*this);
  state_ = State::kWriting;
  memory_.resize(message_memory(response));
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
  release_memory(response_);
  memory_.resize(0);
  // Pipelined requests that are still buffered are abandoned.
  if (reader_.is_peer_closed()) return close(SessionEnd::kClientClosed);
  if (!keep_alive_) return linger();
  if (std::exchange(is_delay_due_, false)) {
    // Limits the request rate of a client that keeps repeating an invalid request.
    state_ = State::kDelaying;
    return set_timeout(kInvalidRequestDelay);
  }
  set_timeout(kKeepAliveTimeout);
  read_request();
}

// Closing a socket with unread data would send an RST, and the client might lose the response.
void ClientSession::linger() {
  state_ = State::kLingering;
  reader_.discard_all();  // a full buffer would prevent further reads
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  if (error) return close(SessionEnd::kAnswered);
  set_timeout(kLingerTimeout);
  read();
}

}  // namespace thymewood::node
