// Rejection of invalid settings.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Settings, RejectsInvalidValuesByFieldName) {
  const auto error_message = [](auto change) {
    Settings s = basic_settings();
    s.tenants = {{1.0}};
    change(s);
    try {
      const Balancer b(s, 1);
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string("accepted");
  };
  const auto expect_field_in_error = [&](auto change, const char* field) {
    EXPECT_NE(error_message(change).find(field), std::string::npos) << field << ": " << error_message(change);
  };
  expect_field_in_error([](Settings& s) { s.replica_count = 0; }, "replica_count");
  expect_field_in_error([](Settings& s) { s.replica_index = 1; }, "replica_index");
  expect_field_in_error([](Settings& s) { s.replica_index = -1; }, "replica_index");
  expect_field_in_error([](Settings& s) { s.clock_granularity = -1; }, "clock_granularity");
  expect_field_in_error([](Settings& s) { s.tier = -1; }, "tier");
  expect_field_in_error([](Settings& s) { s.max_attempts = 0; }, "max_attempts");
  expect_field_in_error([](Settings& s) { s.max_retry_after = -1; }, "max_retry_after");
  expect_field_in_error([](Settings& s) { s.poll_interval = -1; }, "poll_interval");
  expect_field_in_error([](Settings& s) { s.slow_start_window = -1; }, "slow_start_window");
  expect_field_in_error([](Settings& s) { s.over_quota_weight = -1; }, "over_quota_weight");
  expect_field_in_error([](Settings& s) { s.slow_start_min_capacity = 1.5; }, "slow_start_min_capacity");
  expect_field_in_error([](Settings& s) { s.classes[0].idempotency = static_cast<Idempotency>(9); },
                        "idempotency");
  expect_field_in_error([](Settings& s) { s.classes[0].dedup_scope = static_cast<DedupScope>(9); },
                        "dedup_scope");
  expect_field_in_error([](Settings& s) { s.classes[0].latency_objective = -1; }, "latency_objective");
  expect_field_in_error([](Settings& s) { s.classes[0].client_timeout = -1; }, "client_timeout");
  expect_field_in_error([](Settings& s) { s.classes[0].dedup_window = -1; }, "dedup_window");
  expect_field_in_error([](Settings& s) { s.tenants[0].quota = -1; }, "quota");
  expect_field_in_error(
      [](Settings& s) { s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN(); },
      "latency_objective");
  expect_field_in_error([](Settings& s) { s.classes[0].latency_objective_per_work = -1; },
                        "latency_objective_per_work");
  EXPECT_EQ(error_message([](Settings&) {}), "accepted");
}

TEST(Settings, RejectsNonFiniteAndNegativeAmounts) {
  using Change = double& (*)(Settings&);
  const std::pair<Change, const char*> amounts[] = {
      {[](Settings& s) -> double& { return s.clock_granularity; }, "clock_granularity"},
      {[](Settings& s) -> double& { return s.max_retry_after; }, "max_retry_after"},
      {[](Settings& s) -> double& { return s.poll_interval; }, "poll_interval"},
      {[](Settings& s) -> double& { return s.slow_start_window; }, "slow_start_window"},
      {[](Settings& s) -> double& { return s.slow_start_min_capacity; }, "slow_start_min_capacity"},
      {[](Settings& s) -> double& { return s.over_quota_weight; }, "over_quota_weight"},
      {[](Settings& s) -> double& { return s.cross_zone_cost; }, "cross_zone_cost"},
      {[](Settings& s) -> double& { return s.classes[0].latency_objective; }, "latency_objective"},
      {[](Settings& s) -> double& { return s.classes[0].latency_objective_per_work; },
       "latency_objective_per_work"},
      {[](Settings& s) -> double& { return s.classes[0].client_timeout; }, "client_timeout"},
      {[](Settings& s) -> double& { return s.classes[0].late_value; }, "late_value"},
      {[](Settings& s) -> double& { return s.classes[0].dedup_window; }, "dedup_window"},
      {[](Settings& s) -> double& { return *s.tenants[0].quota; }, "quota"}};
  for (const auto& [field, name] : amounts) {
    for (const double value : {std::nan(""), HUGE_VAL, -HUGE_VAL, -1.0}) {
      Settings s = basic_settings();
      s.tenants = {{1.0}};
      field(s) = value;
      try {
        const Balancer b(s, 1);
        ADD_FAILURE() << name << " accepted " << value;
      } catch (const std::invalid_argument& error) {
        EXPECT_NE(std::string(error.what()).find(name), std::string::npos) << error.what();
      }
    }
  }
}

}  // namespace
}  // namespace thymewood
