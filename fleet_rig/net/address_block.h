// A block of loopback addresses, 127.B.x.y, that this process alone uses: each actor of a fleet has an
// address of its own, so that no port has to be sought, and none can be taken between choice and use. The
// claim is a socket that listens on 127.B.0.1; the kernel frees it when the process ends, however it ends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace thymewood::fleet {

class AddressBlock {
 public:
  // Throws std::runtime_error when all blocks are in use.
  explicit AddressBlock(boost::asio::io_context& io);

  int number() const { return number_; }
  // 127.B.`group`.`member`; both from 1 to 254.
  boost::asio::ip::address_v4 at(int group, int member) const;
  boost::asio::ip::tcp::endpoint tcp(int group, int member, unsigned short port) const {
    return {at(group, member), port};
  }
  boost::asio::ip::udp::endpoint udp(int group, int member, unsigned short port) const {
    return {at(group, member), port};
  }

 private:
  int number_ = 0;
  boost::asio::ip::tcp::acceptor claim_;
};

}  // namespace thymewood::fleet
