// Checks of the run as a whole: that the history is complete, that no node crashed, and that no node leaks
// memory or descriptors.
#pragma once

#include <map>

#include "checkers.h"

namespace thymewood::fleet {

// crash: reports crashed nodes. Also checks that all actors wrote records up to the end of the run and that
// the rig itself was not late.
class CompletenessChecker {
 public:
  // All arguments must outlive the checker.
  CompletenessChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), rules_(rules), verdict_(verdict) {}
  // Sets Verdict::max_lateness and Verdict::void_run.
  void check();

 private:
  const History& history_;
  const Rules& rules_;
  Verdict& verdict_;
};

// levels: reports a node that has considerably more descriptors open or memory in use well after the last
// fault than any node had before the first. A run that begins with a fault, or ends soon after one, has no
// baseline or no settled usage and is not checked.
class UsageChecker {
 public:
  // All arguments must outlive the checker.
  UsageChecker(const History& history, Verdict& verdict) : history_(history), verdict_(verdict) {}
  void check();

 private:
  // s
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
