#include "thymewood/actions.h"

#include <string>

namespace thymewood {

std::string describe(const SheddingReport& report) {
  return "shedding: " + std::to_string(report.over_tenant_limit) + " over their tenant's limit, " +
         std::to_string(report.no_capacity) + " without a server with capacity, " +
         std::to_string(report.too_little_time) + " given too little time";
}

}  // namespace thymewood
