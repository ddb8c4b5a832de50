// How every listener of the rig is opened and how its connections are reset; the same everywhere, so that a
// stand-in that restarts finds its port free.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <sstream>
#include <string>

namespace thymewood::fleet {

constexpr int kListenBacklog = 1024;

// Opens, binds and listens; returns where, which has the port that was chosen for port 0. Throws
// boost::system::system_error.
inline boost::asio::ip::tcp::endpoint listen_at(boost::asio::ip::tcp::acceptor& acceptor,
                                                const boost::asio::ip::tcp::endpoint& where) {
  acceptor.open(where.protocol());
  acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
  acceptor.bind(where);
  acceptor.listen(kListenBacklog);
  return acceptor.local_endpoint();
}

// "ADDRESS:PORT".
template <class Endpoint>
std::string endpoint_text(const Endpoint& endpoint) {
  std::ostringstream out;
  out << endpoint;
  return out.str();
}

// Its peer sees a reset.
inline void reset_connection(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace thymewood::fleet
