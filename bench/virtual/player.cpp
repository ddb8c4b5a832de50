#include "player.h"

#include <stdexcept>

#include "session.h"

namespace thymewood::bench {

Report play(const Scenario& scenario, Front front, std::uint64_t seed) {
  if (!scenario.fleet_only.empty())
    throw std::runtime_error(scenario.fleet_only.front() + " is supported only by thymewood_fleet");
  return Session(scenario, front, seed).play();
}

}  // namespace thymewood::bench
