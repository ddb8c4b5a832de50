#include "message_sender.h"

#include <algorithm>
#include <cmath>

namespace thymewood::membership {

MessageSender::MessageSender(const LocalNode& local, const DetectorConfig& config, MemberTable& table,
                             GossipQueue& gossip, DetectorCounters& counters, std::vector<Output>& outputs)
    : local_(local),
      table_(table),
      gossip_(gossip),
      counters_(counters),
      outputs_(outputs),
      max_transmissions_(
          static_cast<int>(std::ceil(config.retransmit_multiplier * size_factor(local.peer_count)))) {}

std::uint32_t MessageSender::send(MessageKind kind, NodeId to, NodeId target, std::uint32_t in_reply_to) {
  Message message;
  message.kind = kind;
  message.target = target;
  message.in_reply_to = in_reply_to;
  emit(message, to);
  return message.sequence_number;
}

void MessageSender::broadcast_leaving() {
  // Sent several times because a datagram may be lost: a node that receives none of them will suspect this
  // node as if it had crashed.
  constexpr int kTransmissions = 3;
  for (int i = 0; i < kTransmissions; ++i) {
    Message message;
    message.kind = MessageKind::kLeaving;
    message.target = local_.id;
    emit(message, std::nullopt);
  }
}

void MessageSender::emit(Message& message, std::optional<NodeId> to) {
  message.replica_set_id = local_.replica_set_id;
  message.sender = local_.id;
  message.sequence_number = ++last_sequence_number_;
  message.zone = local_.zone;
  message.peer_count = local_.peer_count;
  message.incarnation = table_.local_record().incarnation;
  message.digest = table_.digest();
  if (to) add_records(message, *to);
  const SendDatagram output{to, encode(message)};
  counters_.sent += 1;
  counters_.sent_bytes += output.datagram.size;
  outputs_.emplace_back(output);
}

void MessageSender::add_records(Message& message, NodeId to) {
  // The receiver's own record comes first, since only the receiver can refute a suspicion of itself
  // (Lifeguard, section 3.3).
  const MemberTable::Member& receiver = table_.at(to);
  if (receiver.record.incarnation > 0) message.records.push_back(receiver.record);
  const std::size_t capacity = kMaxRecords - message.records.size();
  const std::vector<MemberRecord> gossip = gossip_.take(capacity, max_transmissions_, to);
  message.records.insert(message.records.end(), gossip.begin(), gossip.end());
  const bool is_in_sync = receiver.replay_window.has_received() && receiver.reported_digest == message.digest;
  if (!is_in_sync) add_table_records(message);
}

// Fills the rest of the datagram with table records, continuing after the last record of the previous
// datagram.
void MessageSender::add_table_records(Message& message) {
  for (std::size_t i = 0; i < table_.size() && message.records.size() < kMaxRecords; ++i) {
    table_cursor_ = (table_cursor_ + 1) % table_.size();
    const MemberRecord& record = table_.at(static_cast<NodeId>(table_cursor_)).record;
    if (record.incarnation == 0 || record.id == local_.id) continue;
    const bool is_included = std::any_of(message.records.begin(), message.records.end(),
                                         [&](const MemberRecord& other) { return other.id == record.id; });
    if (!is_included) message.records.push_back(record);
  }
}

}  // namespace thymewood::membership
