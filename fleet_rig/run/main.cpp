// thymewood_fleet: runs scenarios with a fleet of real processes, checks their histories and prints the
// results.
//
// Exit status: 0 all passed, 1 a rule was violated, a checker lacked its input or the rig ran late, 2 a
// scenario could not be run.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "fleet.h"
#include "relay_cost.h"
#include "scenario_run.h"
#include "soak_scenario.h"

namespace {

using namespace thymewood;
using namespace thymewood::fleet;

struct CommandLine {
  std::vector<std::string> files;
  std::string node, against, logs = "logs/fleet", report;
  std::vector<std::uint64_t> seeds{1};
  double load_factor = 1, time_tolerance = 0.05;
  bool quiet = false, standalone = false, keep = false;
};

std::string scenario_name(const std::string& file) { return std::filesystem::path(file).stem().string(); }

ScenarioRun run_one(const CommandLine& command_line, const std::string& file, const std::string& program,
                    const std::string& label, std::uint64_t seed) {
  bench::Scenario scenario = bench::read_scenario(file, command_line.load_factor);
  if (command_line.standalone) {
    scenario.operators.clear();
    scenario.view_convergence_time = 0;
  }
  ScenarioRunOptions options;
  options.program = program;
  options.folder = command_line.logs + "/" + scenario_name(file) + "-" + label + "-" + std::to_string(seed);
  options.seed = seed;
  options.time_tolerance = command_line.time_tolerance;
  constexpr int kMaxRuns = 3;
  options.max_runs = kMaxRuns;
  if (!command_line.quiet && ::isatty(STDERR_FILENO) != 0) {
    options.progress = [&](double seconds, const std::string& what) {
      std::fprintf(stderr, "\r%-16s %5.1f of %.0f s  %-50.50s", scenario_name(file).c_str(), seconds,
                   scenario.seconds, what.c_str());
    };
  }
  ScenarioRun result = run_scenario(scenario, options);
  if (options.progress) std::fprintf(stderr, "\r%80s\r", "");
  return result;
}

int run(const CommandLine& command_line) {
  bool passed = true;
  print_header(stdout);
  for (const std::string& file : command_line.files) {
    for (const std::uint64_t seed : command_line.seeds) {
      const ScenarioRun result = run_one(command_line, file, command_line.node, "now", seed);
      print_row(stdout, scenario_name(file), "now", seed, result);
      print_findings(stdout, result.verdict);
      if (!command_line.report.empty()) write_report(command_line.report, scenario_name(file), result);
      passed = passed && result.verdict.passed();
    }
  }
  return passed ? 0 : 1;
}

// Runs two programs alternately on the same machine, in an order that changes with each seed, and prints
// their runs in one table; then the mean and the range of each figure.
int compare(const CommandLine& command_line) {
  struct Samples {
    std::vector<double> served, in_time, worst_second, first_tier, recovery;
    std::size_t violations = 0;
  };
  std::map<std::pair<std::string, std::string>, Samples> all;
  bool passed = true;
  print_header(stdout);
  for (const std::string& file : command_line.files) {
    for (const std::uint64_t seed : command_line.seeds) {
      std::vector<std::pair<std::string, std::string>> programs{{"now", command_line.node},
                                                                {"then", command_line.against}};
      if (seed % 2 == 0) std::swap(programs[0], programs[1]);
      for (const auto& [label, program] : programs) {
        const ScenarioRun result = run_one(command_line, file, program, label, seed);
        print_row(stdout, scenario_name(file), label, seed, result);
        print_findings(stdout, result.verdict, 1);
        Samples& samples = all[{scenario_name(file), label}];
        samples.served.push_back(100 * result.figures.served_share());
        samples.in_time.push_back(100 * result.figures.in_time_share());
        samples.worst_second.push_back(result.figures.min_second_share);
        samples.first_tier.push_back(result.figures.first_tier);
        samples.recovery.push_back(result.figures.recovery_seconds);
        samples.violations += result.verdict.violations.size();
        if (label == "now") passed = passed && result.verdict.passed();
      }
    }
  }
  const auto mean_and_range = [](std::vector<double> v) {
    std::sort(v.begin(), v.end());
    double sum = 0;
    for (const double x : v) sum += x;
    char text[64];
    std::snprintf(text, sizeof text, "%.2f (%.2f-%.2f)", sum / static_cast<double>(v.size()), v.front(),
                  v.back());
    return std::string(text);
  };
  std::printf(
      "\n| day | node | served %% | in time %% | worst second | attempts per request | recovery s | broken "
      "|\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [key, s] : all)
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %zu |\n", key.first.c_str(), key.second.c_str(),
                mean_and_range(s.served).c_str(), mean_and_range(s.in_time).c_str(),
                mean_and_range(s.worst_second).c_str(), mean_and_range(s.first_tier).c_str(),
                mean_and_range(s.recovery).c_str(), s.violations);
  return passed ? 0 : 1;
}

// Runs scenarios generated from seeds. A failed one prints the command that reproduces it.
int run_soak(const CommandLine& command_line, std::uint64_t first, std::uint64_t last) {
  std::vector<std::uint64_t> failed;
  print_header(stdout);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string name = "soak-" + std::to_string(seed);
    const std::string folder = command_line.logs + "/" + name;
    std::filesystem::create_directories(folder);
    const std::string text = soak_scenario(seed);
    std::ofstream(folder + "/day.toml") << text;
    ScenarioRunOptions options;
    options.program = command_line.node;
    options.folder = folder;
    options.seed = seed;
    options.time_tolerance = command_line.time_tolerance;
    constexpr int kMaxRuns = 3;
    options.max_runs = kMaxRuns;
    const ScenarioRun result = run_scenario(bench::parse_scenario(text, name), options);
    print_row(stdout, name, "now", seed, result);
    print_findings(stdout, result.verdict);
    if (result.verdict.passed()) {
      if (!command_line.keep) std::filesystem::remove_all(folder);
      continue;
    }
    failed.push_back(seed);
    std::printf("  reproduce with: thymewood_fleet soak --from %llu --to %llu --node %s\n",
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed),
                command_line.node.c_str());
  }
  const std::uint64_t count = last - first + 1;
  std::printf("%llu scenarios, %zu failed\n", static_cast<unsigned long long>(count), failed.size());
  return failed.empty() ? 0 : 1;
}

int check_file(const std::string& history, const std::string& scenario_file, double time_tolerance) {
  const bench::Scenario scenario = bench::read_scenario(scenario_file);
  Rules rules = Rules::of(scenario);
  rules.time_tolerance = time_tolerance;
  ScenarioRun result;
  const History recorded = History::read(history);
  result.verdict = check_history(recorded, rules);
  result.figures = compute_figures(recorded, scenario);
  print_header(stdout);
  print_row(stdout, scenario_name(scenario_file), "", 0, result);
  print_findings(stdout, result.verdict, 20);
  return result.verdict.passed() ? 0 : 1;
}

int parse_and_run(int argc, char** argv) {
  CLI::App app{
      "Runs scenarios with a fleet of real nodes on loopback sockets and injects faults between them."};
  app.require_subcommand(1);
  CommandLine command_line;
  const auto common = [&command_line](CLI::App* command) {
    command->add_option("files", command_line.files, "scenario files")->required()->check(CLI::ExistingFile);
    command->add_option("--node", command_line.node, "the node's program")
        ->required()
        ->check(CLI::ExistingFile);
    command->add_option("--seed,--seeds", command_line.seeds, "one or more seeds");
    command->add_option("--times", command_line.load_factor, "factor on the load of the files");
    command->add_option("--slack", command_line.time_tolerance,
                        "seconds by which a time limit may be missed");
    command->add_option("--logs", command_line.logs, "folder for histories, configurations and logs");
    command->add_flag("--alone", command_line.standalone, "no operators' file: the nodes run without peers");
    command->add_flag("--quiet", command_line.quiet, "no progress");
  };
  CLI::App* const run_command = app.add_subcommand("run", "run scenarios and check their histories");
  common(run_command);
  run_command->add_option("--report", command_line.report, "folder for a page with plots (needs gnuplot)");
  CLI::App* const table_command = app.add_subcommand("table", "run scenarios with two programs alternately");
  common(table_command);
  table_command->add_option("--against", command_line.against, "the other program")
      ->required()
      ->check(CLI::ExistingFile);
  std::string history, scenario;
  CLI::App* const check_command = app.add_subcommand("judge", "check a recorded history again");
  check_command->add_option("history", history)->required()->check(CLI::ExistingFile);
  check_command->add_option("scenario", scenario)->required()->check(CLI::ExistingFile);
  check_command->add_option("--slack", command_line.time_tolerance,
                            "seconds by which a time limit may be missed");
  std::size_t connections = 9900;  // the relay uses two descriptors for each
  CLI::App* const cost_command = app.add_subcommand("relay-cost", "what a relay adds to a round trip");
  cost_command->add_option("--connections", connections, "connections held open during the measurement");
  std::uint64_t first = 1, last = 1;
  CLI::App* const soak_command = app.add_subcommand("soak", "run scenarios that are generated from seeds");
  soak_command->add_option("--from", first, "the first seed");
  soak_command->add_option("--to", last, "the last seed");
  soak_command->add_option("--node", command_line.node, "the node's program")
      ->required()
      ->check(CLI::ExistingFile);
  soak_command->add_option("--slack", command_line.time_tolerance,
                           "seconds by which a time limit may be missed");
  soak_command->add_option("--logs", command_line.logs,
                           "folder for histories, configurations and logs of failed scenarios");
  soak_command->add_flag("--keep", command_line.keep, "keep those of passed scenarios too");
  CLI11_PARSE(app, argc, argv);
  if (soak_command->parsed()) return run_soak(command_line, first, last);
  if (run_command->parsed()) return run(command_line);
  if (table_command->parsed()) return compare(command_line);
  if (check_command->parsed()) return check_file(history, scenario, command_line.time_tolerance);
  return print_relay_cost(connections);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return parse_and_run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "thymewood_fleet: %s\n", error.what());
    return 2;
  }
}
