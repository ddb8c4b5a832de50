#include "tcp_relay.h"

#include <sys/socket.h>

#include <tuple>
#include <utility>

#include "sockets.h"
#include "tcp_relay_connection.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

TcpRelay::TcpRelay(asio::io_context& io, LinkTable& table, const Actor& from, const Actor& to,
                   const Endpoint& endpoint, const Endpoint& target, std::uint64_t seed)
    : io_(io),
      table_(table),
      from_(from),
      to_(to),
      endpoint_(endpoint),
      target_(target),
      random_(seed),
      acceptor_(io) {
  open();
  endpoint_ = acceptor_.local_endpoint();
  on_link_changed();
}

TcpRelay::~TcpRelay() {
  try {
    while (!connections_.empty())
      std::shared_ptr<Connection>(connections_.front())->close(Connection::Close::kReset);
  } catch (const std::exception&) {
    connections_.clear();  // nothing above throws, but the static analyzer can't prove it
  }
}

void TcpRelay::open() {
  listen_at(acceptor_, endpoint_);
  ++generation_;
  accepting_ = false;
  accept();
}

void TcpRelay::accept() {
  if (accepting_ || blocked_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this, generation = generation_](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || generation != generation_) return;
    accepting_ = false;
    if (!error) add_connection(std::move(socket));
    accept();
  });
}

void TcpRelay::add_connection(tcp::socket socket) {
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connection->position = connections_.insert(connections_.end(), connection);
  connection->start();
}

void TcpRelay::on_link_changed() {
  const bool block = !table_.both_open(from_, to_);
  if (block != blocked_) {
    blocked_ = block;
    if (acceptor_.is_open()) block ? fill_backlog() : drain_backlog();
  }
  // Iterates over a copy: a connection may close, and so remove itself, as it resumes.
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const std::shared_ptr<Connection>& connection : all) connection->resume();
}

// A backlog of 0 holds one connection, and the kernel drops further attempts (listen(2), with
// tcp_abort_on_overflow off). A connection that an actor has just opened may already occupy that slot.
void TcpRelay::fill_backlog() {
  error_code ignored;
  ++generation_;
  accepting_ = false;
  acceptor_.cancel(ignored);
  acceptor_.listen(0, ignored);
  fillers_.emplace_back(io_);
  fillers_.back().open(tcp::v4(), ignored);
  // Not asio's connect, which waits for the attempt to end even on a non-blocking socket: that takes minutes
  // if an actor's connection occupies the only slot.
  fillers_.back().native_non_blocking(true, ignored);
  // The backlog is full whether this connection is established or waits behind another.
  std::ignore =
      ::connect(fillers_.back().native_handle(), endpoint_.data(), static_cast<socklen_t>(endpoint_.size()));
}

void TcpRelay::drain_backlog() {
  error_code ignored;
  std::vector<Endpoint> filler_endpoints;
  for (tcp::socket& filler : fillers_) filler_endpoints.push_back(filler.local_endpoint(ignored));
  acceptor_.non_blocking(true, ignored);
  for (;;) {
    tcp::socket socket(io_);
    error_code error;
    acceptor_.accept(socket, error);
    if (error) break;
    bool filler = false;
    for (const Endpoint& endpoint : filler_endpoints)
      filler = filler || socket.remote_endpoint(ignored) == endpoint;
    if (!filler) add_connection(std::move(socket));
  }
  for (tcp::socket& filler : fillers_) reset_connection(filler);
  fillers_.clear();
  acceptor_.listen(kListenBacklog, ignored);
  accept();
}

void TcpRelay::reset() {
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const std::shared_ptr<Connection>& connection : all) connection->close(Connection::Close::kReset);
}

void TcpRelay::set_refusing(bool on) {
  if (on == refusing_) return;
  refusing_ = on;
  if (on) {
    error_code ignored;
    ++generation_;
    fillers_.clear();
    acceptor_.close(ignored);
    return;
  }
  open();
  if (blocked_) fill_backlog();
}

std::optional<TcpRelay::Origin> TcpRelay::origin(unsigned short port) const {
  for (const std::shared_ptr<Connection>& connection : connections_) {
    if (connection->port() == port) return Origin{from_, connection->last_read()};
  }
  return std::nullopt;
}

}  // namespace thymewood::fleet
