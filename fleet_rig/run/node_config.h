// Generates the configuration of a node for a scenario, in the format that DEPLOY specifies.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario.h"

namespace thymewood::fleet {

struct NodeParameters {
  std::string name = "n0", listen, discovery;  // "ADDRESS:PORT"
  std::uint64_t seed = 1;
  int replica_index = 0, replica_count = 1, tier = 0, zone = 0;
  int sockets = 1024, memory_mb = 192;
  bool can_hedge = true,
       can_cancel = true;  // whether a request may have two attempts in flight, and an attempt be cancelled
  std::string initial_endpoints;  // the initial endpoint list, in discovery's format; empty: none
  // Gossip addresses; the node has no peers if they are empty.
  std::string peer_listen, peers_all;
  std::vector<std::string> peers;
};

std::string node_config(const bench::Scenario& scenario, const NodeParameters& node);

}  // namespace thymewood::fleet
