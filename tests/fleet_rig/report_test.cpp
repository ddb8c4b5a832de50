// The page that `thymewood_fleet run --report` writes: its row, its plots, and a band where a fault was.
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

std::size_t times(const std::string& in, const std::string& what) {
  std::size_t out = 0;
  for (std::size_t at = in.find(what); at != std::string::npos; at = in.find(what, at + 1)) ++out;
  return out;
}

ScenarioRun a_day(std::vector<std::pair<double, double>> faults) {
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
  out.verdict.broken.push_back({"drains-kept", "a planted finding", 4});
  return out;
}

TEST(Report, ContainsRowFindingsAndPlotsWithFaultsShaded) {
  const std::string folder = testing::TempDir() + "/fleet_report_" + std::to_string(::getpid());
  write_report(folder, "with", a_day({{3, 6}}));
  write_report(folder, "without", a_day({}));
  const std::string page = text_of(folder + "/with.md");
  EXPECT_NE(page.find("drains-kept: a planted finding"), std::string::npos);
  EXPECT_NE(page.find(" 56.55 "), std::string::npos) << "82 of 145 served\n" << page;
  for (const char* kind : {"served", "attempts", "connections"}) {
    const std::string stem = std::string("-") + kind + ".svg";
    EXPECT_NE(page.find("with" + stem), std::string::npos) << "the page shows it";
    const std::string with = text_of(folder + "/with" + stem), without = text_of(folder + "/without" + stem);
    EXPECT_NE(with.find("</svg>"), std::string::npos) << "whole";
    const std::string band = "rgb(242, 215, 213)";
    EXPECT_GT(times(with, band), times(without, band)) << kind << ": the fault's band";
  }
  std::filesystem::remove_all(folder);
}

TEST(Report, UnwritableFolderIsAnError) {
  EXPECT_ANY_THROW(write_report("/proc/no/such/folder", "day", a_day({})));
}

}  // namespace
}  // namespace thymewood::fleet
