// How nodes see their fleet, as they say in their logs.
#pragma once

#include <optional>
#include <string>

#include "record.h"

namespace thymewood::fleet {

struct SeenView {
  int epoch = 0, rank = 0, live = 0, bound = 0, reached = 0, told = 0;
  std::string confidence;
  bool moving = false;
};
// Nothing where the record is none, or its words are others.
std::optional<SeenView> seen_view(const Record& record);

}  // namespace thymewood::fleet
