// Counts rejected requests by reason and reports the counts at most once per report period.
#pragma once

#include <optional>

#include "thymewood/balancer.h"

namespace thymewood {

enum class SheddingReason { kOverTenantLimit, kNoCapacity, kTooLittleTime };

class SheddingStatistics {
 public:
  // Counts a rejected request. If a report is due, returns it and resets the counts.
  [[nodiscard]] std::optional<SheddingReport> record(double now, SheddingReason reason) {
    if (is_empty()) next_report_at_ = now + kReportPeriod;
    counter(reason) += 1;
    if (now < next_report_at_) return std::nullopt;
    const SheddingReport report = counts_;
    counts_ = {};
    return report;
  }

 private:
  static constexpr double kReportPeriod = 10;  // s

  bool is_empty() const {
    return counts_.over_tenant_limit + counts_.no_capacity + counts_.too_little_time == 0;
  }
  int& counter(SheddingReason reason) {
    switch (reason) {
      case SheddingReason::kOverTenantLimit:
        return counts_.over_tenant_limit;
      case SheddingReason::kNoCapacity:
        return counts_.no_capacity;
      case SheddingReason::kTooLittleTime:
        break;
    }
    return counts_.too_little_time;
  }

  SheddingReport counts_;  // counts since the last report
  double next_report_at_ = 0;
};

}  // namespace thymewood
