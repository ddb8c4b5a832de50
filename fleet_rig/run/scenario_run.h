// Runs a scenario, checks its history and prints the verdict and the figures.
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
  double time_tolerance = 0.05;  // s; see Rules
  int max_runs = 1;              // in total: a run in which the rig itself ran late is repeated
  std::function<void(double, const std::string&)> progress;
};

struct ScenarioRun {
  Verdict verdict;
  Figures figures;
  std::string history;  // path of the file
};

// Throws std::runtime_error if the scenario cannot be run.
ScenarioRun run_scenario(const bench::Scenario& scenario, const ScenarioRunOptions& options);

void print_header(std::FILE* to);
void print_row(std::FILE* to, const std::string& scenario, const std::string& node, std::uint64_t seed,
               const ScenarioRun& result);
// One line for each rule violation and for each checker that lacked its input, at most `max_per_rule` of a
// kind.
void print_findings(std::FILE* to, const Verdict& verdict, std::size_t max_per_rule = 3);

// Writes a page with gnuplot plots over time: served, rejected and failed requests, attempts at each tier,
// and connections. Faults are shaded. Throws std::runtime_error if gnuplot fails.
void write_report(const std::string& folder, const std::string& scenario, const ScenarioRun& result);

}  // namespace thymewood::fleet
