#include "address_block.h"

#include <unistd.h>

#include <stdexcept>

namespace thymewood::fleet {
namespace {

constexpr int kFirstBlock = 16,
              kLastBlock = 239;  // 127.16 to 127.239; lower blocks are left to other programs
constexpr unsigned short kReservationPort = 47111;  // arbitrary, but the same in every process
constexpr unsigned kLoopback = 127U << 24;

}  // namespace

AddressBlock::AddressBlock(boost::asio::io_context& io) : reservation_(io) {
  // Processes start at different blocks, so that many that start at once don't all probe the same block
  // first.
  const int offset = static_cast<int>(::getpid());
  for (int i = 0; i <= kLastBlock - kFirstBlock; ++i) {
    number_ = kFirstBlock + (offset + i) % (kLastBlock - kFirstBlock + 1);
    boost::system::error_code error;
    reservation_.open(boost::asio::ip::tcp::v4(), error);
    // No reuse_address: the bind must fail if another process holds the block.
    reservation_.bind({at(0, 1), kReservationPort}, error);
    if (!error) reservation_.listen(1, error);
    if (!error) return;
    reservation_.close(error);
  }
  throw std::runtime_error("no free block of loopback addresses: too many fleets are running");
}

boost::asio::ip::address_v4 AddressBlock::at(int group, int member) const {
  return boost::asio::ip::address_v4(kLoopback | static_cast<unsigned>(number_) << 16 |
                                     static_cast<unsigned>(group) << 8 | static_cast<unsigned>(member));
}

}  // namespace thymewood::fleet
