#include "checkers.h"

#include <algorithm>

#include "answer_checkers.h"
#include "run_checkers.h"
#include "server_checkers.h"

namespace thymewood::fleet {

Rules Rules::of(const bench::Scenario& scenario) {
  Rules out;
  out.view_convergence_time = scenario.view_convergence_time;
  for (const bench::LoadClass& c : scenario.classes) out.classes.push_back(c.settings);
  for (const bench::ScenarioServer& s : scenario.servers) {
    out.server_cells.push_back(s.cell);
    out.server_zones.push_back(s.zone);
  }
  for (const bench::ScenarioServer& s : scenario.backends) {
    out.backend_cells.push_back(s.cell);
    out.backend_zones.push_back(s.zone);
  }
  return out;
}

std::size_t Verdict::violation_count(const std::string& rule) const {
  return static_cast<std::size_t>(
      std::count_if(violations.begin(), violations.end(), [&](const Finding& f) { return f.rule == rule; }));
}

Verdict check_history(const History& history, const Rules& rules) {
  Verdict out;
  // Runs first: it sets Verdict::max_lateness, which the other checkers add to their tolerances.
  CompletenessChecker(history, rules, out).check();
  FinalAnswerChecker(history, rules, out).check();
  DoubleEffectChecker(history, rules, out).check();
  DrainChecker(history, rules, out).check();
  ColdServerChecker(history, rules, out).check();
  AbandonmentChecker(history, rules, out).check();
  check_views(history, rules, out);
  UsageChecker(history, out).check();
  if (out.requests_sent == 0) out.missing_input.emplace_back("no client sent a request");
  return out;
}

}  // namespace thymewood::fleet
