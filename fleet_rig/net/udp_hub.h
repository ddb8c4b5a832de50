// Carries datagrams between nodes as the link table says. Each node has one face, an address at which all
// others reach it; what comes to it from a peer goes to the node from that peer's own face, so that a node
// sees a datagram come from the sender's address in `peers` (PROTOCOL, Between nodes). What comes to the
// address of all goes to each.
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
    Endpoint face;     // where the others send to
    Endpoint listens;  // the node itself; it sends from here
  };
  struct Counts {
    std::uint64_t came = 0, delivered = 0, dropped = 0, strange = 0, longest = 0, bytes = 0;
  };

  // Ports of faces that are 0 are chosen by the system; see face(). Throws boost::system::system_error.
  UdpHub(boost::asio::io_context& io, LinkTable& table, std::vector<Peer> peers, const Endpoint& all,
         std::uint64_t seed);
  ~UdpHub();
  UdpHub(const UdpHub&) = delete;
  UdpHub& operator=(const UdpHub&) = delete;

  const Endpoint& face(std::size_t peer) const { return peers_[peer].face; }
  const Endpoint& all() const { return all_; }
  const Counts& counts() const { return counts_; }

 private:
  struct Socket;
  void receive(std::size_t at);
  void pass_on(std::size_t from, std::size_t to, const std::string& bytes);

  boost::asio::io_context& io_;
  LinkTable& table_;
  std::vector<Peer> peers_;
  Endpoint all_;
  Random random_;
  std::vector<std::unique_ptr<Socket>> sockets_;  // a face a peer, then that of all
  Counts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thymewood::fleet
