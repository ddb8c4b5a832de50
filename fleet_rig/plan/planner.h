// Expands a scenario into the timed steps that the rig applies to the fleet, in order. Deterministic: the
// same scenario and seed give the same plan. The actors of a share such as 'node:70%' are drawn once per
// fault, from the seed and the index of the fault in the file.
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
    kServerChange  // `change` of the scenario is applied to servers
  };
  double at = 0;
  What what = What::kFaultBegins;
  std::size_t fault = 0, change = 0;  // indices in the scenario
  std::uint64_t interval_id = 0;      // identifies one active interval of a fault
  std::vector<Actor> actors;          // actors that the fault affects: machines or discovery
  std::vector<DirectedLink> links;    // link directions that the fault affects
  Shape shape;                        // applied to `links`
  std::string note;                   // such as "cut zone:1, 2 of 5"
};

// All links of the topology: clients to nodes; nodes to servers, discovery and each other; the servers'
// sidecar nodes to backends, discovery and each other. Each pair occurs once, in the direction in which it
// connects.
std::vector<DirectedLink> links_of(const bench::Topology& topology);

// The shapes that [[link]] rules apply to each direction from the beginning; those of later rules come on top
// of those of earlier ones.
std::vector<std::pair<DirectedLink, Shape>> configured_link_shapes(const bench::Scenario& scenario);

std::vector<Step> plan(const bench::Scenario& scenario, std::uint64_t seed);

}  // namespace thymewood::fleet
