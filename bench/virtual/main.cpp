// thymewood_play: runs scenario files in virtual time and prints one row per run.
#include <cstdio>
#include <fstream>
#include <iostream>

#include "options.h"
#include "player.h"

namespace {

using namespace thymewood::bench;

constexpr double kPercent = 100, kMilli = 1000;

void print_row(const std::string& name, const char* front, double times, const Report& r) {
  std::printf(
      "%-28s %-6s %5.2f %10.0f %9.4f %8.3f %8.3f %8.3f %9.2f %9.2f %9.2f %7.2f %6.3f %6.3f %6.3f %6llu\n",
      name.c_str(), front, times, r.offered, r.goodput_share(), kPercent * r.shed_share(),
      r.offered > 0 ? kPercent * (r.rejected - r.shed) / r.offered : 0,
      r.offered > 0 ? kPercent * r.failed / r.offered : 0, kMilli * r.latency.quantile(0.5),
      kMilli * r.latency.quantile(0.99), kMilli * r.latency.quantile(0.999),
      r.work > 0 ? kPercent * r.wasted / r.work : 0, r.offered > 0 ? r.client_attempts / r.offered : 0,
      r.amplification(), r.second_amplification(), static_cast<unsigned long long>(r.violation_count));
}

void print_tenants(const Scenario& scenario, const Report& r) {
  for (std::size_t i = 0; i < scenario.tenants.size(); ++i) {
    const TenantPart& part = r.tenants[i];
    std::printf("  %-26s %17.0f %9.4f in time\n", scenario.tenants[i].name.c_str(), part.offered,
                part.offered > 0 ? part.in_time / part.offered : 1);
  }
}

void write_series(const std::string& path, const Report& r) {
  std::ofstream out(path);
  out << "# second offered in_time refused failed capacity in_flight usual_ms room bound\n";
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const Second& s = r.seconds[i];
    out << i << ' ' << s.offered << ' ' << s.in_time << ' ' << s.rejected << ' ' << s.failed << ' '
        << s.capacity << ' ' << s.in_flight << ' ' << kMilli * s.idle_latency << ' ' << s.concurrency_limit
        << ' ' << s.probed_bound << '\n';
  }
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
int run(int argc, char** argv) {
  CLI::App app{"Runs scenarios in virtual time: the decision module against simulated servers."};
  PlayOptions options;
  std::string series;
  bool print_log = false, oracle = false, tenants = false;
  options.add_to(app);
  app.add_option("--series", series, "write one row per second of the last run to this file");
  app.add_flag("--oracle", oracle,
               "after each run, repeat it with an oracle that knows each server's capacity and load");
  app.add_flag("--tenants", tenants,
               "after each run, print the requests offered and served in time per tenant");
  app.add_flag("--log", print_log, "print what the replicas log and which rules were violated");
  CLI11_PARSE(app, argc, argv);
  std::printf("%-28s %-6s %5s %10s %9s %8s %8s %8s %9s %9s %9s %7s %6s %6s %6s %6s\n", "scenario", "front",
              "load", "offered", "kept", "unsent%", "refus%", "failed%", "p50 ms", "p99 ms", "p999 ms",
              "waste%", "tries", "att", "att2", "broken");
  bool any_violation = false;
  for (const std::string& file : options.files) {
    for (const double load_factor : options.times) {
      const Scenario scenario = read_scenario(file, load_factor);
      const Report r = play(scenario, Front::kModule, options.seed);
      print_row(scenario.name, "module", load_factor, r);
      if (options.direct)
        print_row(scenario.name, "direct", load_factor, play(scenario, Front::kDirect, options.seed));
      if (oracle)
        print_row(scenario.name, "oracle", load_factor, play(scenario, Front::kOracle, options.seed));
      if (tenants) print_tenants(scenario, r);
      if (print_log) {
        for (const std::string& line : r.log) std::cout << "  " << line << '\n';
        for (const std::string& line : r.violations) std::cout << "  BROKEN " << line << '\n';
      }
      if (!series.empty()) write_series(series, r);
      any_violation = any_violation || r.violation_count > 0;
    }
  }
  return any_violation ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return guarded([&] { return run(argc, argv); });
}
