// The report page of `thymewood_fleet run --report`: its row, its findings, and its plots with faults shaded.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "scenario_run.h"

namespace thymewood::fleet {
namespace {

std::string text_of(const std::string& path) {
  std::ifstream in(path);
  EXPECT_TRUE(in) << path;
  return {std::istreambuf_iterator<char>(in), {}};
}

std::size_t occurrences_of(const std::string& in, const std::string& what) {
  std::size_t out = 0;
  for (std::size_t at = in.find(what); at != std::string::npos; at = in.find(what, at + 1)) ++out;
  return out;
}

ScenarioRun example_run(std::vector<std::pair<double, double>> faults) {
  ScenarioRun out;
  for (int i = 0; i < 10; ++i) {
    Second s;
    s.wanted = 10 + i;
    s.served = i > 3 && i < 6 ? 1 : 10;
    s.connections = 7;
    out.figures.seconds.push_back(s);
  }
  out.figures.wanted = 145;
  out.figures.served = 82;
  out.figures.faults = std::move(faults);
  out.verdict.violations.push_back({"drains-kept", "an example finding", 4});
  return out;
}

TEST(Report, ContainsRowFindingsAndPlotsWithFaultsShaded) {
  const std::string folder = testing::TempDir() + "/fleet_report_" + std::to_string(::getpid());
  write_report(folder, "with", example_run({{3, 6}}));
  write_report(folder, "without", example_run({}));
  const std::string page = text_of(folder + "/with.md");
  EXPECT_NE(page.find("drains-kept: an example finding"), std::string::npos);
  EXPECT_NE(page.find(" 56.55 "), std::string::npos) << "82 of 145 served\n" << page;
  for (const char* kind : {"served", "attempts", "connections"}) {
    const std::string stem = std::string("-") + kind + ".svg";
    EXPECT_NE(page.find("with" + stem), std::string::npos) << "the page links the plot";
    const std::string with = text_of(folder + "/with" + stem), without = text_of(folder + "/without" + stem);
    EXPECT_NE(with.find("</svg>"), std::string::npos) << "the plot is complete";
    const std::string band = "rgb(242, 215, 213)";
    EXPECT_GT(occurrences_of(with, band), occurrences_of(without, band))
        << kind << ": the shaded band of the fault";
  }
  std::filesystem::remove_all(folder);
}

TEST(Report, UnwritableFolderIsAnError) {
  EXPECT_ANY_THROW(write_report("/proc/no/such/folder", "day", example_run({})));
}

}  // namespace
}  // namespace thymewood::fleet
