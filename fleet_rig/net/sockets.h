// How every listener of the rig begins and how its connections are broken off; the same everywhere, so that a
// stand-in that starts again finds its port free.
#pragma once

#include <boost/asio/ip/tcp.hpp>

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

// Its peer sees a reset.
inline void end_hard(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace thymewood::fleet
