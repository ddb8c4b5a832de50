// The operators' file: what is wrong in it is said with its line and key, and the example loads.
#include "operators_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace thymewood::operators {
namespace {

std::string error_of(const std::string& text) {
  try {
    parse_operators_file(text, "o.toml");
    return "";
  } catch (const std::runtime_error& problem) {
    return problem.what();
  }
}

TEST(OperatorsFile, WithoutAFileOrATableAllIsOff) {
  EXPECT_FALSE(read_operators_file("/no/such/file").fleet.enabled);
  EXPECT_FALSE(parse_operators_file("", "o.toml").fleet.enabled);
  EXPECT_FALSE(parse_operators_file("[fleet]\nperiod_ms = 100\n", "o.toml").fleet.enabled);
}

TEST(OperatorsFile, OfTheDeployFolderIsOffAndSaysTheDefaults) {
  const FleetFile example = read_operators_file(DEPLOY "/operators.toml").fleet;
  EXPECT_FALSE(example.enabled);
  const FleetFile none;
  EXPECT_EQ(example.name, none.name);
  EXPECT_EQ(example.plan.period, none.plan.period);
  EXPECT_EQ(example.plan.answer_part, none.plan.answer_part);
  EXPECT_EQ(example.plan.helpers, none.plan.helpers);
  EXPECT_EQ(example.plan.suspicion, none.plan.suspicion);
  EXPECT_EQ(example.view.hold, none.view.hold);
  EXPECT_EQ(example.view.calm, none.view.calm);
  EXPECT_EQ(example.view.forgive, none.view.forgive);
}

TEST(OperatorsFile, TimesThatAreNotGivenFollowThePeriod) {
  const FleetFile f =
      parse_operators_file("[fleet]\nenabled = true\nperiod_ms = 200\nname = \"x\"\n", "o").fleet;
  EXPECT_TRUE(f.enabled);
  EXPECT_EQ(f.name, "x");
  EXPECT_DOUBLE_EQ(f.plan.period, 0.2);
  EXPECT_DOUBLE_EQ(f.plan.answer_part, 0.3);
  EXPECT_DOUBLE_EQ(f.view.hold, 1);
  EXPECT_DOUBLE_EQ(f.view.calm, 2);
}

TEST(OperatorsFile, WhatIsWrongIsSaidWithItsLineAndItsKey) {
  const std::pair<const char*, const char*> wrong[] = {
      {"[fleet]\nenabled = 1\n", "o.toml:2: 'enabled' has to be true or false"},
      {"[fleet]\n\nenable = true\n", "o.toml:3: 'enable' is not a key here"},
      {"[flet]\n", "'flet' is not a key here"},
      {"fleet = 3\n", "o.toml:1: 'fleet' has to be a table"},
      {"[fleet]\nname = \"\"\n", "o.toml:2: 'name' has to be text"},
      {"[fleet]\nperiod_ms = 5\n", "o.toml:2: 'period_ms' has to be a number from 20 to 60000"},
      {"[fleet]\nperiod_ms = \"1s\"\n", "o.toml:2: 'period_ms' has to be a number"},
      {"[fleet]\nperiod_ms = nan\n", "o.toml:2: 'period_ms' has to be a number"},
      {"[fleet]\nperiod_ms = 100\nanswer_ms = 100\n", "o.toml:3: 'answer_ms' has to be below 'period_ms'"},
      {"[fleet]\nhelpers = 2.5\n", "o.toml:2: 'helpers' has to be whole"},
      {"[fleet]\nhelpers = 11\n", "o.toml:2: 'helpers'"},
      {"[fleet]\nhold_ms = -1\n", "o.toml:2: 'hold_ms'"},
      {"[fleet]\nenabled = true\nenabled = false\n", "o.toml:3:"},
      {"[fleet\n", "o.toml:1:"}};
  for (const auto& [text, what] : wrong) {
    const std::string error = error_of(text);
    EXPECT_NE(error.find(what), std::string::npos) << text << "\n" << error;
    EXPECT_EQ(error.find("o.toml:"), 0u) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << "one line: " << error;
  }
}

TEST(OperatorsFile, ThatIsThereAndCanNotBeReadIsAnError) {
  const std::string folder = testing::TempDir() + "/operators_" + std::to_string(::getpid());
  std::filesystem::create_directories(folder);
  EXPECT_ANY_THROW(read_operators_file(folder));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace thymewood::operators
