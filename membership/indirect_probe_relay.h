// Pings a target on behalf of a node that got no ack from it, and forwards the ack (SWIM, section 3). If
// there is no ack yet shortly before the probe ends, a nack shows the requester that this node is alive
// (Lifeguard, LHA-Probe).
#pragma once

#include <cstdint>
#include <vector>

#include "detector_config.h"
#include "member_table.h"
#include "message_sender.h"

namespace thymewood::membership {

class IndirectProbeRelay {
 public:
  // All referenced objects must outlive the relay.
  IndirectProbeRelay(const DetectorConfig& config, const MemberTable& table, MessageSender& sender);

  // Handles a kIndirectPing message.
  void on_indirect_ping(double now, const Message& message);
  void on_ack(const Message& message);
  // Sends the nacks that are due and removes expired probes.
  void on_timer(double now);
  [[nodiscard]] double next_deadline() const;
  void clear() { pending_.clear(); }

 private:
  struct PendingProbe {
    NodeId target = 0;
    NodeId requester = 0;
    std::uint32_t ping_sequence_number = 0;     // of this node's ping to the target
    std::uint32_t request_sequence_number = 0;  // of the requester's ping; `in_reply_to` of the ack or nack
    double nack_at = 0;
    double ends_at = 0;
    bool is_nacked = false;
  };

  const DetectorConfig& config_;
  const MemberTable& table_;
  MessageSender& sender_;
  std::vector<PendingProbe> pending_;
};

}  // namespace thymewood::membership
