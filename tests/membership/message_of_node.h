// Builds messages that appear to come from a node of a simulated network.
#pragma once

#include "simulated_network.h"

namespace thymewood::membership {

// A ping from `sender` to node 0 with a higher sequence number than any datagram that `sender` has sent.
inline Message message_of(SimulatedNetwork& net, int sender) {
  Message m;
  m.kind = MessageKind::kPing;
  m.replica_set_id = SimulatedNetwork::replica_set_id();
  m.sender = static_cast<NodeId>(sender);
  m.target = 0;
  m.sequence_number = 1'000'000;
  m.peer_count = static_cast<std::uint16_t>(net.size());
  m.incarnation = net.detector(sender).record(static_cast<NodeId>(sender)).incarnation;
  return m;
}

}  // namespace thymewood::membership
