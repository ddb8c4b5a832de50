// Configuration of the failure detector and the timeouts derived from it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "member_record.h"

namespace thymewood::membership {

struct DetectorConfig {
  double probe_interval = 1;  // seconds between two probes
  // Fraction of the probe interval after which indirect probes are sent if there is no ack.
  double ack_timeout_fraction = 0.3;
  int indirect_probe_count = 3;         // nodes asked to ping the target on this node's behalf
  int suspicion_multiplier = 4;         // see min_suspicion_timeout()
  double max_suspicion_multiplier = 6;  // x the minimum: suspicion timeout with a single reporter
  int expected_confirmations = 3;       // further reporters needed to reach the minimum timeout
  int max_local_health = 8;             // multiplies probe intervals and ack timeouts by up to 1 + this
  int retransmit_multiplier = 4;        // x log10(nodes): how many times a record is gossiped
  int rejoin_interval = 3;              // probe intervals between two pings of a randomly chosen failed node
};

// Identity and configuration of this node.
struct LocalNode {
  NodeId id = 0;
  std::uint16_t peer_count = 1;  // node ids are 0 .. peer_count - 1
  std::uint8_t zone = 0;
  std::uint64_t start_ms = 1;  // start time in ms of Unix time, above 0
  std::uint32_t replica_set_id = 0;
};

// Thrown if a field of LocalNode or DetectorConfig is out of range.
class InvalidDetectorConfig : public std::invalid_argument {
 public:
  InvalidDetectorConfig(const std::string& field, const std::string& reason);
  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

// Throws InvalidDetectorConfig.
void validate(const LocalNode& local, const DetectorConfig& config);

// log10 of the node count, at least 1. Suspicion timeouts and gossip retransmissions scale with it.
[[nodiscard]] double size_factor(std::size_t node_count);

// Minimum time, in seconds, that a suspect has to refute the suspicion.
[[nodiscard]] double min_suspicion_timeout(const DetectorConfig& config, std::size_t node_count);

// Upper bound, in seconds, on the time until every live node has marked a crashed node as failed, provided
// that no datagram is lost and the local health score is 0. With many live nodes it takes much less.
[[nodiscard]] double max_time_to_failure(const DetectorConfig& config, std::size_t node_count);

}  // namespace thymewood::membership
