// Builds the datagrams of this node: header, piggybacked gossip and, for receivers whose digest differs,
// further records from the member table.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "codec.h"
#include "detector_config.h"
#include "detector_output.h"
#include "gossip_queue.h"
#include "member_table.h"

namespace thymewood::membership {

class MessageSender {
 public:
  // All referenced objects must outlive the sender. Datagrams are appended to `outputs`.
  MessageSender(const LocalNode& local, const DetectorConfig& config, MemberTable& table, GossipQueue& gossip,
                DetectorCounters& counters, std::vector<Output>& outputs);

  // Queues a datagram and returns its sequence number.
  std::uint32_t send(MessageKind kind, NodeId to, NodeId target, std::uint32_t in_reply_to = 0);
  void broadcast_leaving();

 private:
  void emit(Message& message, std::optional<NodeId> to);
  void add_records(Message& message, NodeId to);
  void add_table_records(Message& message);

  const LocalNode& local_;
  MemberTable& table_;
  GossipQueue& gossip_;
  DetectorCounters& counters_;
  std::vector<Output>& outputs_;
  int max_transmissions_;
  std::uint32_t last_sequence_number_ = 0;
  std::size_t table_cursor_ = 0;
};

}  // namespace thymewood::membership
