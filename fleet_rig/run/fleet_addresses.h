// The loopback address of every actor and relay of a fleet. The third octet of an address says what listens
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
  // The listener of a server or backend.
  Tcp server(const Actor& server) const {
    return block_.tcp(server.kind == ActorKind::kBackend ? kBackends : kServers, member(server), kHttpPort);
  }
  // A node's own sockets: HTTP and gossip datagrams.
  Tcp node(const Actor& node) const { return block_.tcp(group_of(node), member(node), kHttpPort); }
  Udp node_gossip(const Actor& node) const { return block_.udp(group_of(node), member(node), kGossipPort); }

  // The relay by which clients reach a node.
  Tcp relay_to_node(const Actor& node) const {
    return block_.tcp(is_sidecar(node) ? kRelaysToSidecars : kRelaysToNodes, member(node), kHttpPort);
  }
  // The relays by which a node reaches discovery and server number `server`.
  Tcp relay_to_discovery(const Actor& node) const {
    return block_.tcp(outbound_relays(node), member(node), kDiscoveryPort);
  }
  Tcp relay_to_server(const Actor& node, int server) const {
    return block_.tcp(outbound_relays(node), member(node),
                      static_cast<unsigned short>(kFirstRelayPort + server));
  }
  // Where other nodes send datagrams for a node, and datagrams for all nodes.
  Udp gossip_proxy(const Actor& node) const {
    return block_.udp(is_sidecar(node) ? kSidecarGossipProxies : kGossipProxies, member(node), kGossipPort);
  }
  Udp gossip_broadcast() const { return block_.udp(kGossipProxies, kBroadcastMember, kGossipPort); }

 private:
  static constexpr int kNodes = 1, kServers = 2, kDiscovery = 3, kGossipProxies = 4, kSidecars = 5,
                       kBackends = 6, kSidecarGossipProxies = 7;
  static constexpr int kRelaysToNodes = 10, kNodeOutboundRelays = 11, kRelaysToSidecars = 12,
                       kSidecarOutboundRelays = 13;
  static constexpr int kBroadcastMember = 254;
  static constexpr unsigned short kHttpPort = 8081, kDiscoveryPort = 8500, kGossipPort = 7946,
                                  kFirstRelayPort = 9000;

  static bool is_sidecar(const Actor& node) { return node.kind == ActorKind::kSidecar; }
  static int member(const Actor& actor) { return actor.number + 1; }
  static int group_of(const Actor& node) { return is_sidecar(node) ? kSidecars : kNodes; }
  static int outbound_relays(const Actor& node) {
    return is_sidecar(node) ? kSidecarOutboundRelays : kNodeOutboundRelays;
  }

  AddressBlock block_;
};

}  // namespace thymewood::fleet
