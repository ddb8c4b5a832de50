// thymewood_rig: runs a scenario on loopback sockets. Nodes are child processes; this process runs the fake
// servers in one thread and the load generator in another, and checks the rules against what both observed.
#include <cstdio>
#include <filesystem>

#include "histogram.h"
#include "options.h"
#include "run.h"

namespace {

using namespace thymewood;
using namespace thymewood::bench;
constexpr double kPercent = 100, kMilli = 1000;

bool print_row(const Scenario& scenario, const char* front, double times, const RunObservations& observations,
               bool checked) {
  double offered = 0, in_time = 0, rejected = 0, failed = 0;
  Histogram latency;
  for (const LoadGenerator::CompletedRequest& e : observations.completed) {
    if (!scenario.counts_at(e.due)) continue;
    offered += 1;
    if (e.result == Final::kRejected) rejected += 1;
    if (e.result == Final::kFailed) failed += 1;
    if (e.result != Final::kServed) continue;
    latency.add(e.completed_at - e.due);
    if (e.completed_at - e.due <= scenario.classes[e.request_class].settings.latency_objective) in_time += 1;
  }
  double counted = 0;
  for (int i = 0; i < static_cast<int>(scenario.seconds); ++i) counted += scenario.counts_at(i) ? 1 : 0;
  const std::uint64_t violation_count = checked ? check_rules(scenario, observations).broken() : 0;
  const double completed = std::max(1.0, static_cast<double>(observations.completed.size()));
  std::printf("%-24s %-6s %5.2f %9.0f %10.1f %8.3f %8.3f %9.2f %9.2f %9.2f %9.1f %6llu\n",
              scenario.name.c_str(), front, times, offered, in_time / std::max(1.0, counted),
              kPercent * rejected / std::max(1.0, offered), kPercent * failed / std::max(1.0, offered),
              kMilli * latency.quantile(0.5), kMilli * latency.quantile(0.99),
              kMilli * latency.quantile(0.999), 1e6 * observations.cpu / completed,
              static_cast<unsigned long long>(violation_count));
  std::fflush(stdout);
  if (!observations.nodes_stayed_up) std::printf("  A NODE ENDED\n");
  return violation_count == 0 && observations.nodes_stayed_up;
}

int run(int argc, char** argv) {
  CLI::App app{
      "Runs scenarios on loopback sockets: nodes as processes, with fake servers and generated load."};
  PlayOptions options;
  std::string program, folder = "logs/rig";
  options.add_to(app);
  app.add_option("--node", program, "path of the node executable")->required()->check(CLI::ExistingFile);
  app.add_option("--logs", folder, "directory for node configurations and logs");
  CLI11_PARSE(app, argc, argv);
  std::filesystem::create_directories(folder);
  std::printf("%-24s %-6s %5s %9s %10s %8s %8s %9s %9s %9s %9s %6s\n", "scenario", "front", "load", "offered",
              "in time/s", "refused%", "failed%", "p50 ms", "p99 ms", "p999 ms", "cpu us/r", "broken");
  bool all_passed = true;
  for (const std::string& file : options.files) {
    for (const double load_factor : options.times) {
      const Scenario scenario = read_scenario(file, load_factor);
      all_passed = print_row(scenario, "node", load_factor,
                             run_on_sockets(scenario, program, false, folder, options.seed), true) &&
                   all_passed;
      if (options.direct)
        print_row(scenario, "direct", load_factor,
                  run_on_sockets(scenario, program, true, folder, options.seed), false);
    }
  }
  return all_passed ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return guarded([&] { return run(argc, argv); });
}
