// A fleet's day that is drawn from a seed, as the text of a scenario: the size of the fleet, what its clients
// ask and for how long they wait, and several faults, some of them at once. Pure: the same seed gives the
// same day.
#pragma once

#include <cstdint>
#include <string>

namespace thymewood::fleet {

std::string soak_day(std::uint64_t seed);

}  // namespace thymewood::fleet
