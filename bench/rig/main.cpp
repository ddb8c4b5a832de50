// thymewood_rig: plays a scenario on loopback sockets, with nodes as processes of their own, the servers as
// stand-ins in one thread here and the load in another, and checks the rules from what both saw.
#include <cstdio>
#include <filesystem>

#include "histogram.h"
#include "options.h"
#include "run.h"

namespace {

using namespace thymewood;
using namespace thymewood::bench;
constexpr double kPercent = 100, kMilli = 1000;

bool print_row(const Scenario& scenario, const char* front, double times, const Seen& seen, bool checked) {
  double offered = 0, in_time = 0, rejected = 0, failed = 0;
  Histogram latency;
  for (const LoadGenerator::Ended& e : seen.ended) {
    if (!scenario.counts_at(e.due)) continue;
    offered += 1;
    if (e.how == Final::kRejected) rejected += 1;
    if (e.how == Final::kFailed) failed += 1;
    if (e.how != Final::kServed) continue;
    latency.add(e.answered - e.due);
    if (e.answered - e.due <= scenario.classes[e.request_class].settings.latency_objective) in_time += 1;
  }
  double counted = 0;
  for (int i = 0; i < static_cast<int>(scenario.seconds); ++i) counted += scenario.counts_at(i) ? 1 : 0;
  const std::uint64_t broken = checked ? check_rules(scenario, seen).broken() : 0;
  const double all = std::max(1.0, static_cast<double>(seen.ended.size()));
  std::printf("%-24s %-6s %5.2f %9.0f %10.1f %8.3f %8.3f %9.2f %9.2f %9.2f %9.1f %6llu\n",
              scenario.name.c_str(), front, times, offered, in_time / std::max(1.0, counted),
              kPercent * rejected / std::max(1.0, offered), kPercent * failed / std::max(1.0, offered),
              kMilli * latency.quantile(0.5), kMilli * latency.quantile(0.99),
              kMilli * latency.quantile(0.999), 1e6 * seen.cpu / all,
              static_cast<unsigned long long>(broken));
  std::fflush(stdout);
  if (!seen.nodes_lived) std::printf("  A NODE ENDED\n");
  return broken == 0 && seen.nodes_lived;
}

int run(int argc, char** argv) {
  CLI::App app{"Plays scenarios on loopback sockets: nodes as processes, servers and load as stand-ins."};
  PlayOptions options;
  std::string program, folder = "logs/rig";
  options.add_to(app);
  app.add_option("--node", program, "the node's program")->required()->check(CLI::ExistingFile);
  app.add_option("--logs", folder, "where configurations and logs go");
  CLI11_PARSE(app, argc, argv);
  std::filesystem::create_directories(folder);
  std::printf("%-24s %-6s %5s %9s %10s %8s %8s %9s %9s %9s %9s %6s\n", "scenario", "front", "load", "offered",
              "in time/s", "refused%", "failed%", "p50 ms", "p99 ms", "p999 ms", "cpu us/r", "broken");
  bool well = true;
  for (const std::string& file : options.files) {
    for (const double by : options.times) {
      const Scenario scenario = read_scenario(file, by);
      well = print_row(scenario, "node", by, play_on_sockets(scenario, program, false, folder, options.seed),
                       true) &&
             well;
      if (options.direct)
        print_row(scenario, "direct", by, play_on_sockets(scenario, program, true, folder, options.seed),
                  false);
    }
  }
  return well ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  return guarded([&] { return run(argc, argv); });
}
