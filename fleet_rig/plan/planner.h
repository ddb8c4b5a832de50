// From a scenario to the moments at which something is done to the fleet, in order. Pure: the same scenario
// and seed give the same plan. Whom a share such as 'node:70%' meets is drawn once a fault, by its place in
// the file.
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

// One way between two actors.
struct Way {
  Actor from, to;
  auto operator<=>(const Way&) const = default;  // NOLINT(modernize-use-nullptr): a false alarm of the check
};

struct Step {
  enum class What {
    kBegins,  // of `fault`
    kEnds,
    kChange  // of servers, `change` of the scenario
  };
  double at = 0;
  What what = What::kBegins;
  std::size_t fault = 0, change = 0;  // by their places in the file
  std::uint64_t number = 0;           // tells this stretch of a fault from all others
  std::vector<Actor> who;             // machines, or discovery
  std::vector<Way> ways;              // links, each way by itself
  Shape shape;                        // what is laid on `ways`
  std::string note;                   // "cut zone:1, 2nd of 5"
};

// All links that there are: clients to nodes, nodes to servers, discovery and each other; nodes of servers to
// the second tier and to discovery. Each pair once, as it is dialled.
std::vector<Way> links_of(const bench::Topology& topology);

// What [[link]] rules lay on each way from the beginning; a later rule is laid on top of an earlier one.
std::vector<std::pair<Way, Shape>> standing_shapes(const bench::Scenario& scenario);

std::vector<Step> plan(const bench::Scenario& scenario, std::uint64_t seed);

}  // namespace thymewood::fleet
