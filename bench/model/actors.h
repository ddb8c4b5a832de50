// Who takes part in a fleet's run, and how a scenario file names them: 'node:3', 'node:0-6', 'server:*',
// 'node:70%' (so many, drawn by the run's seed), 'zone:1' (nodes and servers of it), 'discovery',
// "callers" (the clients).
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "random.h"

namespace thymewood::bench {

// `kInner` is the node of a first-tier server of the same number, by which it calls the second tier's
// servers, which are `kBackend`.
enum class ActorKind { kClients, kNode, kServer, kDiscovery, kSidecar, kBackend };

struct Actor {
  ActorKind kind = ActorKind::kNode;
  int number = 0;
  auto operator<=>(const Actor&) const =
      default;  // NOLINT(modernize-use-nullptr): a false alarm of the check
};

std::string name_of(const Actor& actor);  // "node3"

// How many of each there are, and in which zone they stand.
struct Topology {
  std::vector<int> node_zones, server_zones, backend_zones;  // by number
  int sidecar = 0;  // as many as servers where there is a second tier
  std::vector<Actor> everyone() const;
  int zone_of(const Actor& actor) const;  // -1: clients and discovery stand in none
};

// Selects some of the actors. Empty text stands for none.
struct Selector {
  enum class Kind { kNobody, kOne, kRange, kAll, kPart, kZone };
  Kind kind = Kind::kNobody;
  ActorKind of = ActorKind::kNode;
  int first = 0, last = 0;
  double part = 0;

  // Nothing, with `why` set, where the text is not one.
  static std::optional<Selector> parse(const std::string& text, std::string& why);
  // Why no actor of this topology matches; empty where one does.
  std::string misfit(const Topology& topology) const;
  // In the order of their numbers. Takes of `random` with kPart alone.
  std::vector<Actor> pick(const Topology& topology, Random& random) const;
};

}  // namespace thymewood::bench
