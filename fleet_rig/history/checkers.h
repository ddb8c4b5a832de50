// The invariants that the history of a fleet has to satisfy, over all its processes. Each checker reads only
// the history and writes only the verdict.
//
// Violations that no node can prevent are excused: a response from a node that was killed or paused during
// the request, or that had to cross a faulty link. A checker whose input is missing reports that in
// Verdict::missing_input, and the run doesn't pass.
#pragma once

#include <string>
#include <vector>

#include "record.h"
#include "scenario.h"

namespace thymewood::fleet {

struct Rules {
  std::vector<RequestClass> classes;
  std::vector<int> server_cells, server_zones, backend_cells, backend_zones;  // indexed by actor number
  double drain_grace = 1;        // s; from PROTOCOL, the rules on sockets
  double fall_multiple = 4;      // times the current capacity of a server that is warming up ...
  double fall_s = 1;             // ... over this many seconds
  double time_tolerance = 0.05;  // s; tolerance on all time limits
  double abandoned = 0.1;        // s; attempts may still be sent for so long after the client disconnected
  double view_convergence_time = 0;  // s; see bench::Scenario
  double max_rig_lateness = 1;       // s; if the rig itself ran later than this, the run is void

  static Rules of(const bench::Scenario& scenario);
};

struct Finding {
  std::string rule;  // one-final-answer, no-double-effect, drains-kept, cold-servers, abandoned, fleet-views,
                     // levels, crash
  std::string what;
  double t = 0;
};

struct Verdict {
  std::vector<Finding> violations;
  std::vector<std::string> missing_input;  // missing or unreadable checker input
  double max_lateness = 0;                 // s; maximum lateness of the rig itself, added to every tolerance
  std::uint64_t requests_sent = 0, attempts_received = 0, excused = 0;  // by servers; excused violations
  bool void_run = false;
  bool passed() const { return violations.empty() && missing_input.empty() && !void_run; }
  std::size_t violation_count(const std::string& rule) const;
};

// Runs all checkers of answer_checkers.h, server_checkers.h, run_checkers.h and views.cpp.
Verdict check_history(const History& history, const Rules& rules);

// fleet-views: reports a node whose max_count is below the number of running nodes, or whose view of the
// replica set still differs from the running nodes `view_convergence_time` after the last change.
// `verdict.max_lateness` has to be set before.
void check_views(const History& history, const Rules& rules, Verdict& verdict);

}  // namespace thymewood::fleet
