// The operators' file: what they set for a node beside what the platform tells it. It is read whole and
// checked whole before any of it counts; deploy/operators.toml is a commented example.
#pragma once

#include <string>

#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::operators {

struct FleetFile {
  bool enabled = false;  // whether nodes may talk, where the platform permits it as well
  std::string name = "thymewood";
  membership::Plan plan;
  membership::ViewPlan view;
  bool refuse_when_cut_off = false;  // cut off from nodes and servers alike, callers are told so at once
};

struct OperatorsFile {
  FleetFile fleet;
};

// Throws std::runtime_error with one line: file, line, the key and what is wrong. A file that is not there
// has all off; one that is there and can't be read is an error.
OperatorsFile read_operators_file(const std::string& path);
OperatorsFile parse_operators_file(const std::string& text, const std::string& name);

}  // namespace thymewood::operators
