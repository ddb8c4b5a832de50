// Pings in place of other nodes that had no ack themselves, and passes the acks on (SWIM, section 3). A nack
// tells the requester early that this node is alive and has no ack yet (Lifeguard, LHA-Probe). Pure.
#pragma once

#include <cstdint>
#include <vector>

#include "detector_config.h"
#include "member_table.h"
#include "message_sender.h"

namespace thymewood::membership {

class IndirectProbeRelay {
 public:
  // All references outlive the relay.
  IndirectProbeRelay(const DetectorConfig& config, const MemberTable& table, MessageSender& sender);

  // A kIndirectPing.
  void on_request(double now, const Message& message);
  void on_ack(const Message& message);
  // Sends the nacks that are due, and ends the probes whose time is over.
  void on_timer(double now);
  [[nodiscard]] double next_deadline() const;
  void clear() { pending_.clear(); }

 private:
  struct PendingProbe {
    NodeId target = 0;
    NodeId requester = 0;
    std::uint32_t ping = 0;     // sequence number of this node's ping
    std::uint32_t request = 0;  // sequence number that the requester's answer refers to
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
