#include "suspicion.h"

#include <algorithm>
#include <cmath>

namespace thymewood::membership {

bool Suspicion::confirm(NodeId reporter, const DetectorConfig& config) {
  if (reporters_.size() > static_cast<std::size_t>(config.expected_confirmations)) return false;
  if (std::find(reporters_.begin(), reporters_.end(), reporter) != reporters_.end()) return false;
  reporters_.push_back(reporter);
  return true;
}

double Suspicion::deadline(const DetectorConfig& config, std::size_t node_count) const {
  const double min_timeout = min_suspicion_timeout(config, node_count);
  const double max_timeout = config.max_suspicion_multiplier * min_timeout;
  // At most node_count - 2 nodes, all but the first reporter and the suspect, can confirm the suspicion.
  const auto expected = std::min<std::size_t>(static_cast<std::size_t>(config.expected_confirmations),
                                              node_count > 3 ? node_count - 2 : 1);
  const double confirmations = static_cast<double>(reporters_.size() - 1);
  const double fraction = std::log(confirmations + 1) / std::log(static_cast<double>(expected) + 1);
  return started_at_ + extension_ +
         std::max(min_timeout, max_timeout - (max_timeout - min_timeout) * fraction);
}

}  // namespace thymewood::membership
