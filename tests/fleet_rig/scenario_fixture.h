// Runs a short scenario with the node of this build and checks what holds for every run: no rule is
// violated, every checker had its input, and the rig did not run late. The tests check the rest.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "scenario_run.h"

namespace thymewood::fleet {

// s; allows for other load on the machine. The violations that these tests look for last seconds.
constexpr double kTestSlack = 0.5;

// One class is idempotent with a key, the other must not be executed twice.
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
  ScenarioRun run;
  History history;
};

// `toml`: the scenario.
inline CheckedRun run_and_check(const std::string& toml, const std::string& name) {
  const bench::Scenario scenario = bench::parse_scenario(toml, name);
  ScenarioRunOptions options;
  options.program = NODE_PROGRAM;
  options.folder = testing::TempDir() + "/fleet_" + std::to_string(::getpid()) + "_" + name;
  options.time_tolerance = kTestSlack;
  options.max_runs = 3;
  CheckedRun out;
  out.run = run_scenario(scenario, options);
  out.history = History::read(out.run.history);
  for (const Finding& f : out.run.verdict.violations)
    ADD_FAILURE() << f.t << " s, " << f.rule << ": " << f.what;
  for (const std::string& what : out.run.verdict.missing_input) ADD_FAILURE() << "not checked: " << what;
  EXPECT_FALSE(out.run.verdict.void_run) << "the rig ran late by " << out.run.verdict.max_lateness;
  EXPECT_TRUE(out.run.verdict.passed());
  EXPECT_GT(out.run.verdict.requests_sent, 200u);
  EXPECT_GT(out.run.figures.served, 100);
  if (testing::Test::HasFailure()) {
    std::fprintf(stderr, "files of the failed run: %s\n", options.folder.c_str());
  } else {
    std::filesystem::remove_all(options.folder);
  }
  return out;
}

}  // namespace thymewood::fleet
