// Probes one peer per interval (SWIM, sections 3 and 4.3; Lifeguard, LHA-Probe).
//
// The order of peers is shuffled for each round, so that each peer is probed at least once within the length
// of two rounds and nodes do not probe in lockstep. If the ack timeout expires, the peer is pinged again and
// other nodes are asked to ping it on this node's behalf. A peer without an ack at the end of the interval is
// probed again in the next interval before it is suspected: otherwise random packet loss in a large replica
// set would cause more suspicions than the datagrams can carry.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "detector_config.h"
#include "detector_output.h"
#include "local_health.h"
#include "member_table.h"
#include "message_sender.h"

namespace thymewood::membership {

// The number of recent probes, and how many of them were acknowledged, directly or indirectly. Reveals a
// partition long before the unreachable nodes are marked as failed.
struct ProbeSample {
  int sent = 0;
  int acked = 0;
};

class Prober {
 public:
  // All referenced objects must outlive the prober.
  Prober(const DetectorConfig& config, MemberTable& table, MessageSender& sender, LocalHealth& health,
         DetectorCounters& counters, std::mt19937_64& random);

  // Schedules the first probe at a random time within the first interval, because all nodes of a replica set
  // may start at once.
  void start(double now);
  // Discards the probe in flight; the next probe is due at `now`.
  void restart(double now);

  void request_indirect_probes_if_due(double now);
  // Completes the probe in flight when its interval has ended. Returns the peer to suspect, if any.
  [[nodiscard]] std::optional<NodeId> finish_probe_if_due(double now);
  void begin_probe_if_due(double now);
  [[nodiscard]] double next_deadline() const;

  // Returns whether the message acknowledges the probe in flight.
  bool on_ack(double now, const Message& message);
  void on_nack(const Message& message);

  [[nodiscard]] ProbeSample recent_probes() const;

 private:
  static constexpr int kAckHistorySize = 8;  // probes

  struct Probe {
    NodeId target = 0;
    std::uint32_t first_ping_sequence_number = 0;   // also identifies the probe in the indirect pings
    std::uint32_t second_ping_sequence_number = 0;  // sent with the indirect pings; 0 before that
    double sent_at = 0;
    double indirect_at = 0;
    double ends_at = 0;
    int indirect_requests = 0;
    int nacks = 0;
    bool is_indirect_requested = false;
    bool is_acked = false;
  };

  [[nodiscard]] std::optional<NodeId> next_target();
  void ping_failed_member();
  [[nodiscard]] std::vector<NodeId> pick_alive_members(std::size_t max_count, NodeId excluded);
  [[nodiscard]] std::size_t random_below(std::size_t bound);
  void record_result(bool was_acked);

  const DetectorConfig& config_;
  MemberTable& table_;
  MessageSender& sender_;
  LocalHealth& health_;
  DetectorCounters& counters_;
  std::mt19937_64& random_;

  std::vector<NodeId> round_targets_;  // peers still to be probed in this round; the last one is next
  std::optional<Probe> probe_;
  std::optional<NodeId> retry_target_;  // missed one probe; probed again before it is suspected
  double next_probe_at_ = 0;
  int interval_count_ = 0;
  int ack_history_size_ = 0;
  std::uint32_t ack_history_ = 0;  // one bit per probe, set if acknowledged; lowest bit: latest probe
};

}  // namespace thymewood::membership
