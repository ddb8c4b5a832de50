// The loopback address of every actor and relay of a fleet. The third part of an address says what listens
// there; the fourth is the actor's number + 1.
#pragma once

#include "actors.h"
#include "address_block.h"

namespace thymewood::fleet {

class FleetAddresses {
 public:
  using Tcp = boost::asio::ip::tcp::endpoint;
  using Udp = boost::asio::ip::udp::endpoint;
  using Actor = bench::Actor;
  using ActorKind = bench::ActorKind;

  static constexpr int kMaxActorsOfAKind = 250;

  explicit FleetAddresses(boost::asio::io_context& io) : block_(io) {}

  Tcp discovery() const { return block_.tcp(kDiscovery, 1, kDiscoveryPort); }
  // A server or backend itself.
  Tcp server(const Actor& server) const {
    return block_.tcp(server.kind == ActorKind::kBackend ? kBackends : kServers, member(server), kHttpPort);
  }
  // A node itself: for HTTP and for datagrams between nodes.
  Tcp node(const Actor& node) const { return block_.tcp(group_of(node), member(node), kHttpPort); }
  Udp node_gossip(const Actor& node) const { return block_.udp(group_of(node), member(node), kGossipPort); }

  // The relay by which clients reach a node.
  Tcp relay_to(const Actor& node) const {
    return block_.tcp(is_sidecar(node) ? kToSidecars : kToNodes, member(node), kHttpPort);
  }
  // The relays by which a node reaches discovery and the server of that number.
  Tcp relay_to_discovery(const Actor& node) const {
    return block_.tcp(relays_of(node), member(node), kDiscoveryPort);
  }
  Tcp relay_to_server(const Actor& node, int server) const {
    return block_.tcp(relays_of(node), member(node), static_cast<unsigned short>(kFirstRelayPort + server));
  }
  // Where the other nodes send a node's datagrams to, and where those for all of them go.
  Udp gossip_proxy(const Actor& node) const {
    return block_.udp(is_sidecar(node) ? kSidecarProxies : kProxies, member(node), kGossipPort);
  }
  Udp gossip_broadcast() const { return block_.udp(kProxies, kBroadcastMember, kGossipPort); }

 private:
  static constexpr int kNodes = 1, kServers = 2, kDiscovery = 3, kProxies = 4, kSidecars = 5, kBackends = 6,
                       kSidecarProxies = 7;
  static constexpr int kToNodes = 10, kOfNodes = 11, kToSidecars = 12, kOfSidecars = 13;
  static constexpr int kBroadcastMember = 254;
  static constexpr unsigned short kHttpPort = 8081, kDiscoveryPort = 8500, kGossipPort = 7946,
                                  kFirstRelayPort = 9000;

  static bool is_sidecar(const Actor& node) { return node.kind == ActorKind::kSidecar; }
  static int member(const Actor& actor) { return actor.number + 1; }
  static int group_of(const Actor& node) { return is_sidecar(node) ? kSidecars : kNodes; }
  static int relays_of(const Actor& node) { return is_sidecar(node) ? kOfSidecars : kOfNodes; }

  AddressBlock block_;
};

}  // namespace thymewood::fleet
