// A fleet's run that is drawn from a seed, as the text of a scenario: the size of the fleet, what its clients
// ask and for how long they wait, and several faults, some of them at once. Pure: the same seed gives the
// same run.
#pragma once

#include <cstdint>
#include <string>

namespace thymewood::fleet {

std::string soak_scenario(std::uint64_t seed);

}  // namespace thymewood::fleet
