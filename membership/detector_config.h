// Settings of the failure detector and the times that follow from them. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "member_record.h"

namespace thymewood::membership {

struct DetectorConfig {
  double probe_interval = 1;          // s between two probes
  double ack_timeout_fraction = 0.3;  // of the probe interval; without an ack by then, indirect probes follow
  int indirect_probe_count = 3;       // nodes that are requested to ping in this node's place
  int suspicion_multiplier = 4;       // see min_suspicion_timeout()
  double max_suspicion_multiplier = 6;  // of the minimum: the suspicion timeout with a single reporter
  int expected_confirmations = 3;       // further reporters that shorten the timeout to its minimum
  int max_local_health = 8;             // all timeouts are up to 1 + this times longer
  int retransmit_multiplier = 4;        // x log10(nodes): how often a record is piggybacked
  int rejoin_interval = 3;              // probe intervals between two pings of a failed node
};

// This node, as configured.
struct LocalNode {
  NodeId id = 0;
  std::uint16_t peer_count = 1;  // node ids are below it
  std::uint8_t zone = 0;
  std::uint64_t start_ms = 1;  // Unix time, above 0
  std::uint32_t replica_set_id = 0;
};

// A field of LocalNode or DetectorConfig is out of its range.
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

// log10 of the node count, at least 1: timeouts and retransmissions grow with it.
[[nodiscard]] double size_factor(std::size_t node_count);

// s that a suspect has to refute, at least.
[[nodiscard]] double min_suspicion_timeout(const DetectorConfig& config, std::size_t node_count);

// s within which a node that died is failed at every live node, where no datagram is lost and local health is
// 0. Where many nodes are live, all are much quicker.
[[nodiscard]] double max_time_to_failure(const DetectorConfig& config, std::size_t node_count);

}  // namespace thymewood::membership
