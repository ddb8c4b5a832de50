// Forwards datagrams between nodes under the conditions of the link table. Each node has one proxy address
// at which all others reach it. A datagram for it is sent on from the proxy address of the sending peer, so
// that the source is the sender's address in `peers` (PROTOCOL, Between nodes). A datagram to the broadcast
// address, broadcast_endpoint(), goes to every other node.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "link_table.h"

namespace thymewood::fleet {

class UdpHub {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  struct Peer {
    Actor actor;
    Endpoint proxy_endpoint;  // proxy address that the other nodes send to
    Endpoint node_endpoint;   // the node's own socket, which it also sends from
  };
  struct Counts {
    std::uint64_t received = 0, delivered = 0, dropped = 0, unknown_sender = 0, max_datagram_bytes = 0,
                  bytes = 0;
  };

  // The system chooses proxy ports that are 0; see proxy_endpoint(). Throws boost::system::system_error.
  UdpHub(boost::asio::io_context& io, LinkTable& table, std::vector<Peer> peers,
         const Endpoint& broadcast_endpoint, std::uint64_t seed);
  ~UdpHub();
  UdpHub(const UdpHub&) = delete;
  UdpHub& operator=(const UdpHub&) = delete;

  const Endpoint& proxy_endpoint(std::size_t peer) const { return peers_[peer].proxy_endpoint; }
  const Endpoint& broadcast_endpoint() const { return broadcast_endpoint_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Socket;
  void receive(std::size_t socket_index);
  void forward(std::size_t from, std::size_t to, const std::string& bytes);

  boost::asio::io_context& io_;
  LinkTable& table_;
  std::vector<Peer> peers_;
  Endpoint broadcast_endpoint_;
  Random random_;
  std::vector<std::unique_ptr<Socket>> sockets_;  // one per peer, then that of the broadcast address
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thymewood::fleet
