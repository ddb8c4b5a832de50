// Operator configuration file: errors name the file, line and key, and deploy/operators.toml states the
// defaults.
#include "operators_file.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace thymewood::operators {
namespace {

std::string error_of(const std::string& text) {
  try {
    static_cast<void>(parse_operator_config(text, "o.toml"));
    return "";
  } catch (const InvalidOperatorConfig& error) {
    return error.what();
  }
}

TEST(OperatorsFile, WithoutAFileOrATableEverythingIsOff) {
  EXPECT_FALSE(load_operator_config("/no/such/file").replica_set.enabled);
  EXPECT_FALSE(parse_operator_config("", "o.toml").replica_set.enabled);
  EXPECT_FALSE(parse_operator_config("[fleet]\nperiod_ms = 100\n", "o.toml").replica_set.enabled);
}

TEST(OperatorsFile, ExampleIsOffAndStatesTheDefaults) {
  const ReplicaSetOptions example = load_operator_config(DEPLOY "/operators.toml").replica_set;
  EXPECT_FALSE(example.enabled);
  const ReplicaSetOptions defaults;
  EXPECT_EQ(example.name, defaults.name);
  EXPECT_EQ(example.detector.probe_interval, defaults.detector.probe_interval);
  EXPECT_EQ(example.detector.ack_timeout_fraction, defaults.detector.ack_timeout_fraction);
  EXPECT_EQ(example.detector.indirect_probe_count, defaults.detector.indirect_probe_count);
  EXPECT_EQ(example.detector.suspicion_multiplier, defaults.detector.suspicion_multiplier);
  EXPECT_EQ(example.view.settle_time, defaults.view.settle_time);
  EXPECT_EQ(example.view.min_change_interval, defaults.view.min_change_interval);
  EXPECT_EQ(example.view.flap_decay_interval, defaults.view.flap_decay_interval);
}

TEST(OperatorsFile, DefaultTimesScaleWithTheProbeInterval) {
  const ReplicaSetOptions options =
      parse_operator_config("[fleet]\nenabled = true\nperiod_ms = 200\nname = \"x\"\n", "o").replica_set;
  EXPECT_TRUE(options.enabled);
  EXPECT_EQ(options.name, "x");
  EXPECT_DOUBLE_EQ(options.detector.probe_interval, 0.2);
  EXPECT_DOUBLE_EQ(options.detector.ack_timeout_fraction, 0.3);
  EXPECT_DOUBLE_EQ(options.view.settle_time, 1);
  EXPECT_DOUBLE_EQ(options.view.min_change_interval, 2);
}

TEST(OperatorsFile, ErrorsNameTheLineAndTheKey) {
  const std::pair<const char*, const char*> invalid_files[] = {
      {"[fleet]\nenabled = 1\n", "o.toml:2: 'enabled' must be true or false"},
      {"[fleet]\n\nenable = true\n", "o.toml:3: 'enable' is not a known key"},
      {"[flet]\n", "'flet' is not a known key"},
      {"fleet = 3\n", "o.toml:1: 'fleet' must be a table"},
      {"[fleet]\nname = \"\"\n", "o.toml:2: 'name' must be a non-empty string"},
      {"[fleet]\nperiod_ms = 5\n", "o.toml:2: 'period_ms' must be a number from 20 to 60000"},
      {"[fleet]\nperiod_ms = \"1s\"\n", "o.toml:2: 'period_ms' must be a number"},
      {"[fleet]\nperiod_ms = nan\n", "o.toml:2: 'period_ms' must be a number"},
      {"[fleet]\nperiod_ms = 100\nanswer_ms = 100\n", "o.toml:3: 'answer_ms' must be below 'period_ms'"},
      {"[fleet]\nhelpers = 2.5\n", "o.toml:2: 'helpers' must be an integer"},
      {"[fleet]\nhelpers = 11\n", "o.toml:2: 'helpers'"},
      {"[fleet]\nhold_ms = -1\n", "o.toml:2: 'hold_ms'"},
      {"[fleet]\nenabled = true\nenabled = false\n", "o.toml:3:"},
      {"[fleet\n", "o.toml:1:"}};
  for (const auto& [text, expected_error] : invalid_files) {
    const std::string error = error_of(text);
    EXPECT_NE(error.find(expected_error), std::string::npos) << text << "\n" << error;
    EXPECT_EQ(error.find("o.toml:"), 0u) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos) << "more than one line: " << error;
  }
}

TEST(OperatorsFile, AnUnreadableFileIsAnError) {
  const std::string directory = testing::TempDir() + "/operators_" + std::to_string(::getpid());
  std::filesystem::create_directories(directory);
  EXPECT_THROW(static_cast<void>(load_operator_config(directory)), InvalidOperatorConfig);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace thymewood::operators
