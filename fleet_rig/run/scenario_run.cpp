#include "scenario_run.h"

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>

#include "fleet.h"

namespace thymewood::fleet {
namespace {

constexpr double kPercent = 100, kMilli = 1000;

void plot(std::ofstream& script, const std::string& svg, const std::string& title, const std::string& y,
          const Figures& f, const std::string& lines) {
  script << "set output '" << svg << "'\nset title '" << title << "'\nset ylabel '" << y
         << "'\nunset object\n";
  int number = 0;
  for (const auto& [from, to] : f.faults)
    script << "set object " << ++number << " rectangle from " << from << ", graph 0 to "
           << std::max(to, from + 0.1)
           << ", graph 1 behind fillcolor rgb '#f2d7d5' fillstyle solid noborder\n";
  script << "plot " << lines << "\n";
}

}  // namespace

ScenarioRun run_scenario(const bench::Scenario& scenario, const ScenarioRunOptions& options) {
  for (int run = 1;; ++run) {
    ScenarioRun out;
    {
      Fleet fleet(scenario, {options.program, options.folder, options.seed, options.progress, {}});
      out.history = fleet.run();
    }
    const History history = History::read(out.history);
    Rules rules = Rules::of(scenario);
    rules.time_tolerance = options.time_tolerance;
    out.verdict = check_history(history, rules);
    out.figures = compute_figures(history, scenario);
    if (!out.verdict.void_run || run >= options.max_runs) return out;
  }
}

void print_header(std::FILE* to) {
  std::fprintf(
      to, "%-16s %-6s %4s %7s %7s %7s %6s %6s %6s %6s %6s %7s %6s %6s %6s %6s %6s %6s %7s %6s %6s %6s\n",
      "day", "node", "seed", "wanted", "served%", "intime%", "refus%", "fail%", "tries", "tier1", "tier2",
      "worst1s", "p50", "p99", "recov", "node%", "ten%", "srvmax", "cpu/try", "late", "excus", "broken");
}

void print_row(std::FILE* to, const std::string& scenario, const std::string& node, std::uint64_t seed,
               const ScenarioRun& result) {
  const Figures& f = result.figures;
  const double requests = std::max(1.0, f.wanted);
  std::fprintf(to,
               "%-16s %-6s %4llu %7.0f %7.2f %7.2f %6.2f %6.2f %6.3f %6.3f %6.3f %7.3f %6.0f %6.0f %6.1f "
               "%6.2f %6.2f %6.2f %7.0f "
               "%6.3f %6llu %6zu%s\n",
               scenario.c_str(), node.c_str(), static_cast<unsigned long long>(seed), f.wanted,
               kPercent * f.served_share(), kPercent * f.in_time_share(), kPercent * f.rejected / requests,
               kPercent * f.failed / requests, f.client_attempts, f.first_tier, f.second_tier,
               f.min_second_share, kMilli * f.p50, kMilli * f.p99, f.recovery_seconds,
               kPercent * f.min_node_share, kPercent * f.min_tenant_share, f.max_server_load_ratio, f.cpu_us,
               result.verdict.max_lateness, static_cast<unsigned long long>(result.verdict.excused),
               result.verdict.violations.size(),
               result.verdict.void_run                 ? "  VOID: the rig ran late"
               : !result.verdict.missing_input.empty() ? "  BLIND"
                                                       : "");
  std::fflush(to);
}

void print_findings(std::FILE* to, const Verdict& verdict, std::size_t max_per_rule) {
  std::map<std::string, std::size_t> shown;
  for (const Finding& f : verdict.violations) {
    if (shown[f.rule]++ < max_per_rule)
      std::fprintf(to, "  %7.2f s  %s: %s\n", f.t, f.rule.c_str(), f.what.c_str());
  }
  for (const auto& [rule, count] : shown) {
    if (count > max_per_rule) std::fprintf(to, "             %s: %zu in total\n", rule.c_str(), count);
  }
  for (std::size_t i = 0; i < std::min(max_per_rule, verdict.missing_input.size()); ++i)
    std::fprintf(to, "  not checked: %s\n", verdict.missing_input[i].c_str());
}

void write_report(const std::string& folder, const std::string& scenario, const ScenarioRun& result) {
  std::filesystem::create_directories(folder);
  const std::string path_prefix = folder + "/" + scenario;
  {
    std::ofstream data(path_prefix + ".dat");
    for (std::size_t i = 0; i < result.figures.seconds.size(); ++i) {
      const Second& s = result.figures.seconds[i];
      data << i << ' ' << s.wanted << ' ' << s.served << ' ' << s.rejected << ' ' << s.failed << ' '
           << s.client_attempts << ' ' << s.first_tier << ' ' << s.second_tier << ' ' << s.connections
           << '\n';
    }
  }
  {
    std::ofstream script(path_prefix + ".gp");
    script << "set terminal svg size 900,300 font 'sans,11'\nset key outside\nset xlabel 's'\nset yrange "
              "[0:*]\n";
    const std::string from = "'" + path_prefix + ".dat' using 1:";
    plot(script, path_prefix + "-served.svg", scenario + ": requests by arrival time", "per second",
         result.figures,
         from + "2 with lines title 'wanted', " + from + "3 with lines lw 2 title 'served', " + from +
             "4 with lines title 'rejected', " + from + "5 with lines title 'failed'");
    plot(script, path_prefix + "-attempts.svg", scenario + ": requests at each tier", "per second",
         result.figures,
         from + "6 with lines title 'client attempts', " + from + "7 with lines title 'servers', " + from +
             "8 with lines title 'backends'");
    plot(script, path_prefix + "-connections.svg", scenario + ": open connections at servers", "open",
         result.figures, from + "9 with lines title 'open'");
  }
  if (std::system(("gnuplot '" + path_prefix + ".gp'").c_str()) != 0)
    throw std::runtime_error("gnuplot failed on " + path_prefix + ".gp");
  std::ofstream page(path_prefix + ".md");
  page << "# " << scenario << "\n\n```\n";
  page.close();
  if (std::FILE* out = std::fopen((path_prefix + ".md").c_str(), "a")) {
    print_header(out);
    print_row(out, scenario, "", 0, result);
    print_findings(out, result.verdict, 20);
    std::fprintf(
        out,
        "```\n\n![served](%s-served.svg)\n![attempts](%s-attempts.svg)\n![connections](%s-connections.svg)\n",
        scenario.c_str(), scenario.c_str(), scenario.c_str());
    std::fclose(out);
  }
}

}  // namespace thymewood::fleet
