// The actors of a fleet run and the selectors by which a scenario file names them: 'node:3', 'node:0-6',
// 'server:*', 'node:70%' (that percentage, chosen by the run's seed), 'zone:1' (the nodes and servers of the
// zone), 'discovery', "callers" (the clients).
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "random.h"

namespace thymewood::bench {

// `kSidecar` is the node beside the first-tier server of the same number, through which that server calls the
// servers of the second tier, which are `kBackend`.
enum class ActorKind { kClients, kNode, kServer, kDiscovery, kSidecar, kBackend };

struct Actor {
  ActorKind kind = ActorKind::kNode;
  int number = 0;
  auto operator<=>(const Actor&) const =
      default;  // NOLINT(modernize-use-nullptr): a false positive of the check
};

std::string name_of(const Actor& actor);  // "node3"

// The number of actors of each kind and their zones.
struct Topology {
  std::vector<int> node_zones, server_zones, backend_zones;  // zone of each actor, by its number
  int sidecar = 0;  // number of sidecars: one for each server where there is a second tier, else 0
  std::vector<Actor> all_actors() const;
  int zone_of(const Actor& actor) const;  // -1: clients and discovery are in no zone
};

// Selects some of the actors. Empty text selects none.
struct Selector {
  enum class Kind { kNobody, kOne, kRange, kAll, kPart, kZone };
  Kind kind = Kind::kNobody;
  ActorKind of = ActorKind::kNode;
  int first = 0, last = 0;
  double part = 0;

  // Returns nullopt and sets `error` if the text is not a selector.
  static std::optional<Selector> parse(const std::string& text, std::string& error);
  // Returns why this topology lacks the selected actors; empty if it has them.
  std::string mismatch_reason(const Topology& topology) const;
  // Returns the selected actors in the order of their numbers. Uses `random` only for kPart.
  std::vector<Actor> pick(const Topology& topology, Random& random) const;
};

}  // namespace thymewood::bench
