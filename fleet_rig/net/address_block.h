// Reserves a block of loopback addresses, 127.B.x.y, for this process. Each actor of a fleet has an address
// of its own, so ports can be fixed: there is no search for a free port, and no race between choosing and
// binding one. The reservation is a listening socket on 127.B.0.1, which the kernel closes however the
// process ends.
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
  boost::asio::ip::tcp::acceptor reservation_;
};

}  // namespace thymewood::fleet
