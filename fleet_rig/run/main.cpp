// thymewood_fleet: plays scenarios with a fleet of real processes and says what they show.
//
// Exit status: 0 all passed, 1 a rule broke, a checker could not see or the rig ran late, 2 it could not be
// played.
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

struct Choice {
  std::vector<std::string> files;
  std::string node, against, logs = "logs/fleet", report;
  std::vector<std::uint64_t> seeds{1};
  double times = 1, slack = 0.05;
  bool quiet = false, alone = false, keep = false;
};

std::string name_of(const std::string& file) { return std::filesystem::path(file).stem().string(); }

ScenarioRun play_one(const Choice& choice, const std::string& file, const std::string& program,
                     const std::string& label, std::uint64_t seed) {
  bench::Scenario scenario = bench::read_scenario(file, choice.times);
  if (choice.alone) {
    scenario.operators.clear();
    scenario.views_within = 0;
  }
  ScenarioRunOptions options;
  options.program = program;
  options.folder = choice.logs + "/" + name_of(file) + "-" + label + "-" + std::to_string(seed);
  options.seed = seed;
  options.slack = choice.slack;
  constexpr int kMaxRuns = 3;
  options.max_runs = kMaxRuns;
  if (!choice.quiet && ::isatty(STDERR_FILENO) != 0) {
    options.progress = [&](double seconds, const std::string& what) {
      std::fprintf(stderr, "\r%-16s %5.1f of %.0f s  %-50.50s", name_of(file).c_str(), seconds,
                   scenario.seconds, what.c_str());
    };
  }
  ScenarioRun day = run_scenario(scenario, options);
  if (options.progress) std::fprintf(stderr, "\r%80s\r", "");
  return day;
}

int run(const Choice& choice) {
  bool well = true;
  print_head(stdout);
  for (const std::string& file : choice.files) {
    for (const std::uint64_t seed : choice.seeds) {
      const ScenarioRun day = play_one(choice, file, choice.node, "now", seed);
      print_row(stdout, name_of(file), "now", seed, day);
      print_findings(stdout, day.verdict);
      if (!choice.report.empty()) write_report(choice.report, name_of(file), day);
      well = well && day.verdict.passed();
    }
  }
  return well ? 0 : 1;
}

// Two programs in turn, the order changing with each seed, on one machine and in one table; then the means
// and the spread of each figure.
int table(const Choice& choice) {
  struct Sums {
    std::vector<double> served, in_time, worst, tier, recovery;
    std::size_t broken = 0;
  };
  std::map<std::pair<std::string, std::string>, Sums> all;
  bool well = true;
  print_head(stdout);
  for (const std::string& file : choice.files) {
    for (const std::uint64_t seed : choice.seeds) {
      std::vector<std::pair<std::string, std::string>> programs{{"now", choice.node},
                                                                {"then", choice.against}};
      if (seed % 2 == 0) std::swap(programs[0], programs[1]);
      for (const auto& [label, program] : programs) {
        const ScenarioRun day = play_one(choice, file, program, label, seed);
        print_row(stdout, name_of(file), label, seed, day);
        print_findings(stdout, day.verdict, 1);
        Sums& sums = all[{name_of(file), label}];
        sums.served.push_back(100 * day.figures.served_part());
        sums.in_time.push_back(100 * day.figures.in_time_part());
        sums.worst.push_back(day.figures.worst_second);
        sums.tier.push_back(day.figures.first_tier);
        sums.recovery.push_back(day.figures.recovery);
        sums.broken += day.verdict.broken.size();
        if (label == "now") well = well && day.verdict.passed();
      }
    }
  }
  const auto spread = [](std::vector<double> v) {
    std::sort(v.begin(), v.end());
    double sum = 0;
    for (const double x : v) sum += x;
    char text[64];
    std::snprintf(text, sizeof text, "%.2f (%.2f-%.2f)", sum / static_cast<double>(v.size()), v.front(),
                  v.back());
    return std::string(text);
  };
  std::printf(
      "\n| day | node | served %% | in time %% | worst second | attempts a want | recovery s | broken |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [key, s] : all)
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %zu |\n", key.first.c_str(), key.second.c_str(),
                spread(s.served).c_str(), spread(s.in_time).c_str(), spread(s.worst).c_str(),
                spread(s.tier).c_str(), spread(s.recovery).c_str(), s.broken);
  return well ? 0 : 1;
}

// Scenarios that are drawn from seeds; a failing one prints the command that plays it again.
int soak(const Choice& choice, std::uint64_t first, std::uint64_t last) {
  std::vector<std::uint64_t> failed;
  print_head(stdout);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const std::string name = "soak-" + std::to_string(seed);
    const std::string folder = choice.logs + "/" + name;
    std::filesystem::create_directories(folder);
    const std::string text = soak_scenario(seed);
    std::ofstream(folder + "/day.toml") << text;
    ScenarioRunOptions options;
    options.program = choice.node;
    options.folder = folder;
    options.seed = seed;
    options.slack = choice.slack;
    constexpr int kMaxRuns = 3;
    options.max_runs = kMaxRuns;
    const ScenarioRun day = run_scenario(bench::parse_scenario(text, name), options);
    print_row(stdout, name, "now", seed, day);
    print_findings(stdout, day.verdict);
    if (day.verdict.passed()) {
      if (!choice.keep) std::filesystem::remove_all(folder);
      continue;
    }
    failed.push_back(seed);
    std::printf("  again: thymewood_fleet soak --from %llu --to %llu --node %s\n",
                static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed),
                choice.node.c_str());
  }
  const std::uint64_t days = last - first + 1;
  std::printf("%llu days, %zu failed\n", static_cast<unsigned long long>(days), failed.size());
  return failed.empty() ? 0 : 1;
}

int check_file(const std::string& history, const std::string& scenario_file, double slack) {
  const bench::Scenario scenario = bench::read_scenario(scenario_file);
  Rules rules = Rules::of(scenario);
  rules.slack = slack;
  ScenarioRun day;
  const History read = History::read(history);
  day.verdict = check_history(read, rules);
  day.figures = figures_of(read, scenario);
  print_head(stdout);
  print_row(stdout, name_of(scenario_file), "", 0, day);
  print_findings(stdout, day.verdict, 20);
  return day.verdict.passed() ? 0 : 1;
}

int start(int argc, char** argv) {
  CLI::App app{"Plays days with a fleet of real nodes on loopback sockets, with faults between them."};
  app.require_subcommand(1);
  Choice choice;
  const auto common = [&choice](CLI::App* to) {
    to->add_option("files", choice.files, "scenario files")->required()->check(CLI::ExistingFile);
    to->add_option("--node", choice.node, "the node's program")->required()->check(CLI::ExistingFile);
    to->add_option("--seed,--seeds", choice.seeds, "one or more seeds");
    to->add_option("--times", choice.times, "x the load of the files");
    to->add_option("--slack", choice.slack, "s by which a time limit may be missed");
    to->add_option("--logs", choice.logs, "where histories, configurations and logs go");
    to->add_flag("--alone", choice.alone, "nodes get no operators' file: they do not know each other");
    to->add_flag("--quiet", choice.quiet, "no progress");
  };
  CLI::App* const runs = app.add_subcommand("run", "play days, and judge them");
  common(runs);
  runs->add_option("--report", choice.report, "a page with plots goes to this folder (needs gnuplot)");
  CLI::App* const tables = app.add_subcommand("table", "play days with two programs in turn");
  common(tables);
  tables->add_option("--against", choice.against, "the other program")->required()->check(CLI::ExistingFile);
  std::string history, scenario;
  CLI::App* const check_command = app.add_subcommand("judge", "judge a history again");
  check_command->add_option("history", history)->required()->check(CLI::ExistingFile);
  check_command->add_option("scenario", scenario)->required()->check(CLI::ExistingFile);
  check_command->add_option("--slack", choice.slack, "s by which a time limit may be missed");
  std::size_t connections = 9900;  // each takes two descriptors of the relay's
  CLI::App* const cost = app.add_subcommand("relay-cost", "what a relay adds to a round trip");
  cost->add_option("--connections", connections, "held open meanwhile");
  std::uint64_t first = 1, last = 1;
  CLI::App* const soaks = app.add_subcommand("soak", "play days that are drawn from seeds");
  soaks->add_option("--from", first, "the first seed");
  soaks->add_option("--to", last, "the last seed");
  soaks->add_option("--node", choice.node, "the node's program")->required()->check(CLI::ExistingFile);
  soaks->add_option("--slack", choice.slack, "s by which a time limit may be missed");
  soaks->add_option("--logs", choice.logs, "where histories, configurations and logs of failed days go");
  soaks->add_flag("--keep", choice.keep, "those of passed days too");
  CLI11_PARSE(app, argc, argv);
  if (soaks->parsed()) return soak(choice, first, last);
  if (runs->parsed()) return run(choice);
  if (tables->parsed()) return table(choice);
  if (check_command->parsed()) return check_file(history, scenario, choice.slack);
  return print_relay_cost(connections);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return start(argc, argv);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "thymewood_fleet: %s\n", problem.what());
    return 2;
  }
}
