// Generates the text of a random scenario from a seed: the size of the fleet, its request classes and client
// timeouts, and several faults, which may overlap. Deterministic: the same seed gives the same scenario.
#pragma once

#include <cstdint>
#include <string>

namespace thymewood::fleet {

std::string soak_scenario(std::uint64_t seed);

}  // namespace thymewood::fleet
