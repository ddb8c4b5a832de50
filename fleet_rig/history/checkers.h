// The invariants that a fleet's history has to keep, over all its processes. Each checker reads the history
// alone and has no side effects.
//
// What no node can promise is excused: an answer of a node that was killed or paused meanwhile, or that had
// to cross a faulty link. A checker whose input is missing says so in Verdict::blind, and such a run has not
// passed.
#pragma once

#include <string>
#include <vector>

#include "record.h"
#include "scenario.h"

namespace thymewood::fleet {

struct Rules {
  std::vector<RequestClass> classes;
  std::vector<int> server_cells, server_zones, backend_cells, backend_zones;  // by number
  double drain_grace = 1;    // s; PROTOCOL, the rules on sockets
  double fall_multiple = 4;  // x what a cold server can do at that moment ...
  double fall_s = 1;         // ... for this long
  double slack = 0.05;       // s; how late a time limit may be met
  double abandoned = 0.1;    // s; sends for a client who has closed may go on for so long
  double views_within = 0;   // s; see bench::Scenario
  double most_late = 1;      // s; a rig that ran later than this has measured nothing

  static Rules of(const bench::Scenario& scenario);
};

struct Finding {
  std::string rule;  // one-final-answer, no-double-effect, drains-kept, cold-servers, abandoned, fleet-views,
                     // levels, crash
  std::string what;
  double t = 0;
};

struct Verdict {
  std::vector<Finding> broken;
  std::vector<std::string> blind;  // what a checker could not see
  double latest = 0;               // s; the rig's own worst lateness. All slacks are longer by it.
  std::uint64_t asked = 0, came = 0, excused = 0;  // what was judged, and what was not
  bool void_run = false;
  bool passed() const { return broken.empty() && blind.empty() && !void_run; }
  std::size_t of(const std::string& rule) const;
};

// Runs all checkers: see answer_checkers.h, server_checkers.h, run_checkers.h and views.cpp.
Verdict check_history(const History& history, const Rules& rules);

// fleet-views: a node that reckons with fewer nodes than run, or whose view of the replica set still differs
// from what runs `views_within` after the last change. `verdict.latest` has to be known.
void check_views(const History& history, const Rules& rules, Verdict& verdict);

}  // namespace thymewood::fleet
