// Expands a scenario into the timed steps that the rig applies to the fleet, in order. Deterministic: the
// same scenario and seed give the same plan. If a fault affects a share of the actors, such as 'node:70%',
// they are drawn at random once for the whole fault, from the seed and the index of the fault in the file.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "scenario.h"

namespace thymewood::fleet {

using bench::Actor;
using bench::Fault;
using bench::Shape;

// One direction of the link between two actors.
struct DirectedLink {
  Actor from, to;
  auto operator<=>(const DirectedLink&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

struct Step {
  enum class What {
    kFaultBegins,  // `fault` begins
    kFaultEnds,    // `fault` ends
    kServerChange  // the scenario's change `change` is applied, to servers or to a replica of the node
  };
  double at = 0;
  What what = What::kFaultBegins;
  std::size_t fault = 0, change = 0;  // indices in the scenario
  std::uint64_t interval_id = 0;      // identifies one active interval of a fault
  std::vector<Actor> actors;          // nodes, sidecar nodes or discovery; empty for a link fault
  std::vector<DirectedLink> links;    // link directions that the fault affects
  Shape shape;                        // applied to `links`
  std::string note;                   // such as "cut zone:1, 2 of 5": its second active interval of 5
};

// All links of the topology: clients to nodes; nodes to servers, discovery and each other; the servers'
// sidecar nodes to backends, discovery and each other. Each pair occurs once, in the direction from the actor
// that opens the connection, or between two nodes from the one with the lower number.
std::vector<DirectedLink> links_of(const bench::Topology& topology);

// The shapes that [[link]] rules apply to each direction from the beginning, in the order of the rules. If
// several rules apply to a direction, their shapes are combined (see link_table.h).
std::vector<std::pair<DirectedLink, Shape>> configured_link_shapes(const bench::Scenario& scenario);

std::vector<Step> plan(const bench::Scenario& scenario, std::uint64_t seed);

}  // namespace thymewood::fleet
