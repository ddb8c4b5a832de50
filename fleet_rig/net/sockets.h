// Opens the listeners and resets the connections of the rig. All stand-ins use these functions, so that a
// stand-in that restarts can bind its port again.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <sstream>
#include <string>

namespace thymewood::fleet {

constexpr int kListenBacklog = 1024;

// Opens, binds and listens. Returns the bound endpoint, with the port that the system chose if it was 0.
// Throws boost::system::system_error.
inline boost::asio::ip::tcp::endpoint listen_at(boost::asio::ip::tcp::acceptor& acceptor,
                                                const boost::asio::ip::tcp::endpoint& endpoint) {
  acceptor.open(endpoint.protocol());
  acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
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

// Closes the socket with a TCP reset (RST) instead of a FIN.
inline void reset_connection(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace thymewood::fleet
