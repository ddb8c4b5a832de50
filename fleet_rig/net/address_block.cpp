#include "address_block.h"

#include <unistd.h>

#include <stdexcept>

namespace thymewood::fleet {
namespace {

constexpr int kFirst = 16, kLast = 239;   // 127.16 to 127.239; the low ones are left to others
constexpr unsigned short kClaim = 47111;  // the port of the claim; any fixed one does
constexpr unsigned kLoopback = 127U << 24;

}  // namespace

AddressBlock::AddressBlock(boost::asio::io_context& io) : claim_(io) {
  // Processes begin at different places, so that many that start at once do not all probe the same block
  // first.
  const int begin = static_cast<int>(::getpid());
  for (int i = 0; i <= kLast - kFirst; ++i) {
    number_ = kFirst + (begin + i) % (kLast - kFirst + 1);
    boost::system::error_code bad;
    claim_.open(boost::asio::ip::tcp::v4(), bad);
    // Without reuse_address: a second listener has to fail.
    claim_.bind({at(0, 1), kClaim}, bad);
    if (!bad) claim_.listen(1, bad);
    if (!bad) return;
    claim_.close(bad);
  }
  throw std::runtime_error("no block of loopback addresses is free: too many fleets at once");
}

boost::asio::ip::address_v4 AddressBlock::at(int group, int member) const {
  return boost::asio::ip::address_v4(kLoopback | static_cast<unsigned>(number_) << 16 |
                                     static_cast<unsigned>(group) << 8 | static_cast<unsigned>(member));
}

}  // namespace thymewood::fleet
