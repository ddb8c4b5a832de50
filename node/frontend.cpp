#include "frontend.h"

#include <exception>
#include <memory>
#include <utility>

#include "event_log.h"
#include "local_response.h"

namespace thymewood::node {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

// From accept to the last byte of the first request. Slower clients are rejected or closed within the 3 s
// that the protocol allows.
constexpr double kFirstRequestTimeout = 2.5;         // s
constexpr double kReserveFirstRequestTimeout = 0.3;  // s; shorter, since others wait for the descriptor
// A younger connection is not evicted, since its first request may be in transit and would be lost.
constexpr double kMinEvictionAge = 0.1;  // s

}  // namespace

Frontend::Frontend(boost::asio::io_context& io, const Clock& clock, const Limits& limits, Catalog catalog,
                   MemoryBudget& memory_budget, Dispatcher& dispatcher)
    : limits_(limits),
      catalog_(std::move(catalog)),
      listener_(io, *this),
      shutdown_(io, clock, listener_, sessions_, dispatcher),
      session_context_{
          *this, sessions_, shutdown_, dispatcher, memory_budget, catalog_, limits.overload_retry_after} {}

Frontend::~Frontend() {
  for (const std::shared_ptr<ClientSession>& session : sessions_.all()) session->detach();
}

bool Frontend::can_accept() const {
  return sessions_.size() < limits_.max_connections + limits_.max_rejected;
}

void Frontend::on_accept(tcp::socket socket) {
  const bool is_full = sessions_.size() >= limits_.max_connections && !sessions_.evict(0);
  start_session(std::move(socket), is_full ? ClientSession::Mode::kRejecting : ClientSession::Mode::kServing,
                kFirstRequestTimeout);
}

void Frontend::on_accept_on_reserve(tcp::socket socket) {
  start_session(std::move(socket), ClientSession::Mode::kRejecting, kReserveFirstRequestTimeout);
}

void Frontend::free_descriptor() { sessions_.evict(kMinEvictionAge); }

void Frontend::start_session(tcp::socket socket, ClientSession::Mode mode, double first_request_timeout) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::shared_ptr<ClientSession> session;
  try {
    sessions_.reserve();
    session = std::make_shared<ClientSession>(session_context_, std::move(socket), mode);
  } catch (const std::exception& error) {
    log_warning("client_not_admitted").with("problem", error.what());
    if (!session) sessions_.cancel_reservation();
    return send_overload_response(socket);
  }
  sessions_.insert(session);
  session->start(first_request_timeout);
}

void Frontend::on_session_ended(ClientSession& session) {
  sessions_.erase(session);
  listener_.on_descriptor_freed();
  shutdown_.complete_if_drained();
  listener_.accept();
}

}  // namespace thymewood::node
