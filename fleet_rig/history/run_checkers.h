// Checks of the run as a whole: whether the history is complete, whether a node crashed, and whether nodes
// leak memory or descriptors.
#pragma once

#include <map>

#include "checkers.h"

namespace thymewood::fleet {

// crash; and whether all actors wrote to the end of the run and the rig itself was in time.
class CompletenessChecker {
 public:
  // All outlive it.
  CompletenessChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), rules_(rules), verdict_(verdict) {}
  // Sets `latest` and `void_run` of the verdict.
  void check();

 private:
  const History& history_;
  const Rules& rules_;
  Verdict& verdict_;
};

// levels: a node that has more descriptors open or memory in use long after the last fault than any had
// before the first. A run that begins with a fault, or ends soon after one, has no such levels to compare.
class UsageChecker {
 public:
  // All outlive it.
  UsageChecker(const History& history, Verdict& verdict) : history_(history), verdict_(verdict) {}
  void check();

 private:
  // The times of the run that matter here; s.
  struct Phases {
    double first_fault = 0, last_fault = 0, end = 0;
  };
  struct Baseline {
    double descriptors = 0, memory_kb = 0;
  };

  Phases phases() const;
  Baseline baseline_before(double first_fault) const;
  void check_node(const Record& usage, const Baseline& before);

  const History& history_;
  Verdict& verdict_;
};

}  // namespace thymewood::fleet
