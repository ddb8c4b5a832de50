// The configuration of a node for a scenario, in the form that DEPLOY gives it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario.h"

namespace thymewood::fleet {

struct NodeParameters {
  std::string name = "n0", listen, discovery;  // "ADDRESS:PORT"
  std::uint64_t seed = 1;
  int position = 0, count = 1, tier = 0, zone = 0;
  int sockets = 1024, memory_mb = 192;
  bool can_hedge = true,
       cancel = true;  // whether two attempts may be out together, and one be called off
  std::string known;   // the list that it starts with, in discovery's form; empty: none
  // Between nodes: none where it is empty.
  std::string peer_listen, peers_all;
  std::vector<std::string> peers;
};

std::string node_config(const bench::Scenario& scenario, const NodeParameters& node);

}  // namespace thymewood::fleet
