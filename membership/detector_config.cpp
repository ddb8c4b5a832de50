#include "detector_config.h"

#include <algorithm>
#include <cmath>

namespace thymewood::membership {
namespace {

constexpr std::uint64_t kMaxStartMs = std::uint64_t{1} << 47;
constexpr double kMaxProbeInterval = 3600;  // seconds

void require(bool is_valid, const char* field, const char* reason) {
  if (!is_valid) throw InvalidDetectorConfig(field, reason);
}

}  // namespace

InvalidDetectorConfig::InvalidDetectorConfig(const std::string& field, const std::string& reason)
    : std::invalid_argument("membership: " + field + " " + reason), field_(field), reason_(reason) {}

void validate(const LocalNode& local, const DetectorConfig& config) {
  require(local.peer_count > 0, "peer_count", "must be above 0");
  require(local.id < local.peer_count, "id", "must be below peer_count");
  require(local.start_ms > 0 && local.start_ms < kMaxStartMs, "start_ms",
          "must be a Unix time in milliseconds");
  require(config.probe_interval > 0 && config.probe_interval <= kMaxProbeInterval, "probe_interval",
          "must be above 0 s and at most 1 hour");
  require(config.ack_timeout_fraction > 0 && config.ack_timeout_fraction < 1, "ack_timeout_fraction",
          "must be above 0 and below 1");
  require(config.indirect_probe_count >= 0, "indirect_probe_count", "must be at least 0");
  require(config.expected_confirmations >= 1, "expected_confirmations", "must be at least 1");
  require(config.max_local_health >= 0, "max_local_health", "must be at least 0");
  require(config.suspicion_multiplier >= 1, "suspicion_multiplier", "must be at least 1");
  require(config.max_suspicion_multiplier >= 1, "max_suspicion_multiplier", "must be at least 1");
  require(config.retransmit_multiplier >= 1, "retransmit_multiplier", "must be at least 1");
  require(config.rejoin_interval >= 1, "rejoin_interval", "must be at least 1");
}

double size_factor(std::size_t node_count) {
  return std::max(1.0, std::log10(static_cast<double>(node_count)));
}

double min_suspicion_timeout(const DetectorConfig& config, std::size_t node_count) {
  return config.suspicion_multiplier * size_factor(node_count) * config.probe_interval;
}

// Each round probes every peer once, so the crashed node is probed within the length of two rounds. The
// suspicion then lasts at most for the timeout with a single reporter.
double max_time_to_failure(const DetectorConfig& config, std::size_t node_count) {
  const auto others = static_cast<double>(node_count > 1 ? node_count - 1 : 1);
  return (2 * others + 2) * config.probe_interval +
         config.max_suspicion_multiplier * min_suspicion_timeout(config, node_count);
}

}  // namespace thymewood::membership
