// One run with its verdict and figures, and how they are printed.
#pragma once

#include <cstdio>
#include <functional>
#include <string>

#include "checkers.h"
#include "figures.h"
#include "scenario.h"

namespace thymewood::fleet {

struct ScenarioRunOptions {
  std::string program, folder;
  std::uint64_t seed = 1;
  double slack = 0.05;  // s; see Rules
  int max_runs = 1;     // a run on which the rig itself ran late is played again, so many times in all
  std::function<void(double, const std::string&)> progress;
};

struct ScenarioRun {
  Verdict verdict;
  Figures figures;
  std::string history;  // the file
};

// Throws std::runtime_error when it can't be played.
ScenarioRun run_scenario(const bench::Scenario& scenario, const ScenarioRunOptions& options);

void print_head(std::FILE* to);
void print_row(std::FILE* to, const std::string& day, const std::string& node, std::uint64_t seed,
               const ScenarioRun& result);
// What broke, what could not be seen: a line each, at most so many of a kind.
void print_findings(std::FILE* to, const Verdict& verdict, std::size_t most = 3);

// A page with plots over time, by gnuplot: served, refused and failed; attempts at each tier; connections.
// Faults are shaded. Throws std::runtime_error when gnuplot does not run.
void write_report(const std::string& folder, const std::string& day, const ScenarioRun& result);

}  // namespace thymewood::fleet
