// Runs a short scenario with the node that was built, and holds what every run has to keep: the rules,
// checkers that could see, and a rig that was in time. What is peculiar to a run is for its test.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "scenario_run.h"

namespace thymewood::fleet {

// s; of a machine that others use too. Violations that this looks for are seconds long.
constexpr double kTestSlack = 0.5;

// A class that is keyed and one that must not run twice.
constexpr const char* kTestClasses = R"([[class]]
name = "note"
share = 55
aim_ms = 800
give_up_ms = 2500
effect = "keyed"
scope = "cell"
window_ms = 4000
mean_ms = 20
[[class]]
name = "seal"
share = 45
aim_ms = 1500
give_up_ms = 3000
effect = "unsafe"
mean_ms = 30
)";

struct CheckedRun {
  ScenarioRun day;
  History history;
};

// `text` is the scenario.
inline CheckedRun run_and_check(const std::string& text, const std::string& name) {
  const bench::Scenario scenario = bench::parse_scenario(text, name);
  ScenarioRunOptions options;
  options.program = NODE_PROGRAM;
  options.folder = testing::TempDir() + "/fleet_" + std::to_string(::getpid()) + "_" + name;
  options.slack = kTestSlack;
  options.max_runs = 3;
  CheckedRun out;
  out.day = run_scenario(scenario, options);
  out.history = History::read(out.day.history);
  for (const Finding& f : out.day.verdict.broken) ADD_FAILURE() << f.t << " s, " << f.rule << ": " << f.what;
  for (const std::string& what : out.day.verdict.blind) ADD_FAILURE() << "could not see: " << what;
  EXPECT_FALSE(out.day.verdict.void_run) << "the rig ran late by " << out.day.verdict.latest;
  EXPECT_TRUE(out.day.verdict.passed());
  EXPECT_GT(out.day.verdict.asked, 200u);
  EXPECT_GT(out.day.figures.served, 100);
  if (testing::Test::HasFailure()) {
    std::fprintf(stderr, "kept for a look: %s\n", options.folder.c_str());
  } else {
    std::filesystem::remove_all(options.folder);
  }
  return out;
}

}  // namespace thymewood::fleet
