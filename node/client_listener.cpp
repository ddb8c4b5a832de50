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

// Whether accept(2) failed for one connection only, so that the next may be accepted at once.
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

ClientListener::ClientListener(asio::io_context& io, ConnectionAdmission& admission)
    : io_(io), admission_(admission), acceptor_(io), retry_timer_(io) {}

void ClientListener::listen(const tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // Without it, Asio waits for another connection after ECONNABORTED instead of reporting it.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
}

void ClientListener::accept() {
  if (is_accepting_ || is_retry_pending_ || !acceptor_.is_open() || !admission_.can_accept()) return;
  acceptor_.async_accept([this, number = accept_number_](error_code error, tcp::socket socket) {
    if (number != accept_number_) {  // replaced by recover()
      if (!error) admission_.admit(std::move(socket));
      return;
    }
    is_accepting_ = false;
    if (error == asio::error::operation_aborted) return;
    if (is_connection_specific(error)) return accept();
    if (error) return on_accept_failed(error);
    admission_.admit(std::move(socket));
    accept();
  });
  is_accepting_ = true;
}

// Without descriptors, the listener stays readable with nothing accepted, which would busy-loop, and clients
// in its queue would wait in vain. They are accepted one at a time on the reserve descriptor and rejected.
void ClientListener::on_accept_failed(error_code error) {
  log_warning("accept_failed").with("error", error.message());
  static_cast<void>(accept_on_reserve());
  retry_timer_.expires_after(Clock::span(kAcceptRetryDelay));
  retry_timer_.async_wait([this](error_code cancelled) {
    is_retry_pending_ = false;
    if (!cancelled) accept();
  });
  is_retry_pending_ = true;
}

bool ClientListener::accept_on_reserve() {
  admission_.free_descriptor();
  if (!reserve_.release()) return false;
  error_code error;
  tcp::socket socket(io_);
  acceptor_.non_blocking(true, error);
  acceptor_.accept(socket, error);
  if (error) {
    reserve_.acquire();
    return false;
  }
  admission_.admit_on_reserve(std::move(socket));
  return true;
}

void ClientListener::recover() {
  if (!acceptor_.is_open() || !is_accepting_) return accept();
  ++accept_number_;
  is_accepting_ = false;
  error_code ignored;
  acceptor_.cancel(ignored);
  accept();
}

bool ClientListener::accept_queued() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (admission_.can_accept()) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (is_queue_empty(error)) return true;
    if (!error) {
      admission_.admit(std::move(socket));
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
