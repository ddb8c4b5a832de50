#include "client_listener.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "clock.h"
#include "event_log.h"

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr double kAcceptRetryDelay = 0.02;  // s
constexpr int kBacklog = 1024;              // connections

// Returns whether accept(2) failed because of a single connection, so that the next accept can start at once.
bool is_connection_specific(error_code error) {
  return error == asio::error::connection_aborted || error.value() == EPROTO ||
         error == asio::error::interrupted;
}

bool is_queue_empty(error_code error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

ReserveDescriptor::~ReserveDescriptor() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

void ReserveDescriptor::acquire() {
  if (descriptor_ < 0) descriptor_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

bool ReserveDescriptor::release() {
  if (descriptor_ < 0) return false;
  ::close(std::exchange(descriptor_, -1));
  return true;
}

ClientListener::ClientListener(asio::io_context& io, ListenerCallbacks& callbacks)
    : io_(io), callbacks_(callbacks), acceptor_(io), retry_timer_(io) {}

void ClientListener::listen(const tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // Without this option, Asio handles ECONNABORTED internally by waiting for another connection.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
}

void ClientListener::accept() {
  if (is_accepting_ || is_retry_pending_ || !acceptor_.is_open() || !callbacks_.can_accept()) return;
  acceptor_.async_accept([this, generation = accept_generation_](error_code error, tcp::socket socket) {
    if (generation != accept_generation_) {  // replaced by resume_after_exception()
      if (!error) callbacks_.on_accept(std::move(socket));
      return;
    }
    is_accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (is_connection_specific(error)) return accept();
    if (error) return on_accept_failed(error);
    callbacks_.on_accept(std::move(socket));
    accept();
  });
  is_accepting_ = true;
}

// When the process runs out of descriptors, the listening socket stays readable but accept fails, which would
// cause a busy loop, and queued clients would never get a response. They are accepted one at a time on the
// reserve descriptor and rejected.
void ClientListener::on_accept_failed(error_code error) {
  log_warning("accept_failed").with("error", error.message());
  static_cast<void>(accept_on_reserve());
  retry_timer_.expires_after(Clock::to_duration(kAcceptRetryDelay));
  retry_timer_.async_wait([this](error_code cancelled) {
    is_retry_pending_ = false;
    if (!cancelled) accept();
  });
  is_retry_pending_ = true;
}

bool ClientListener::accept_on_reserve() {
  callbacks_.free_descriptor();
  if (!reserve_.release()) return false;
  error_code error;
  tcp::socket socket(io_);
  acceptor_.non_blocking(true, error);
  acceptor_.accept(socket, error);
  if (error) {
    reserve_.acquire();
    return false;
  }
  callbacks_.on_accept_on_reserve(std::move(socket));
  return true;
}

void ClientListener::resume_after_exception() {
  if (!acceptor_.is_open() || !is_accepting_) return accept();
  ++accept_generation_;
  is_accepting_ = false;
  error_code ignored;
  acceptor_.cancel(ignored);
  accept();
}

bool ClientListener::accept_queued() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (callbacks_.can_accept()) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (is_queue_empty(error)) return true;
    if (!error) {
      callbacks_.on_accept(std::move(socket));
    } else if (!accept_on_reserve()) {
      return false;
    }
  }
  return is_queue_empty(error);
}

void ClientListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace thymewood::node
