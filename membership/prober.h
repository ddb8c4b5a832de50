// Probes one peer per interval (SWIM, sections 3 and 4.3; Lifeguard, LHA-Probe). Pure.
//
// Peers are probed in an order that is shuffled for each round, so each waits at most two rounds for its turn
// and no two nodes probe in step. Without an ack in time the peer is pinged again, and other nodes are
// requested to ping it in this node's place. A peer that has not acked by the end of the interval is probed
// once more in the next one before it is suspected: otherwise random loss in a large replica set causes more
// suspicions than datagrams can carry.
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

// The newest probes, and how many of them were acked by any path. It shows which part of the replica set is
// reachable long before the other part has failed.
struct ProbeSample {
  int sent = 0;
  int acked = 0;
};

class Prober {
 public:
  // All references outlive the prober.
  Prober(const DetectorConfig& config, MemberTable& table, MessageSender& sender, LocalHealth& health,
         DetectorCounters& counters, std::mt19937_64& random);

  // The first probe comes at a random time within the interval, as a whole replica set may start at once.
  void start(double now);
  // Discards the probe in flight and begins anew at `now`.
  void restart(double now);

  void request_indirect_probes_if_due(double now);
  // Returns the peer to suspect, if any.
  [[nodiscard]] std::optional<NodeId> finish_probe_if_due(double now);
  void begin_probe_if_due(double now);
  [[nodiscard]] double next_deadline() const;

  // Whether the message acks the probe in flight.
  bool on_ack(double now, const Message& message);
  void on_nack(const Message& message);

  [[nodiscard]] ProbeSample recent_probes() const;

 private:
  static constexpr int kSampleSize = 8;  // probes

  struct Probe {
    NodeId target = 0;
    std::uint32_t first_ping = 0;   // sequence numbers
    std::uint32_t second_ping = 0;  // sent with the indirect probes; 0 before
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
  void record_sample(bool was_acked);

  const DetectorConfig& config_;
  MemberTable& table_;
  MessageSender& sender_;
  LocalHealth& health_;
  DetectorCounters& counters_;
  std::mt19937_64& random_;

  std::vector<NodeId> round_;  // the peers that are left in this round, next one last
  std::optional<Probe> probe_;
  std::optional<NodeId> retry_target_;  // was not acked; probed once more before it is suspected
  double next_probe_at_ = 0;
  int interval_count_ = 0;
  int sample_size_ = 0;
  std::uint32_t sample_bits_ = 0;  // newest first, set where acked
};

}  // namespace thymewood::membership
