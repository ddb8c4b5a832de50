#include "indirect_probe_relay.h"

#include <algorithm>
#include <limits>

namespace thymewood::membership {
namespace {

constexpr std::size_t kMaxPendingProbes = 64;  // limits the load that a flood of requests can cause
constexpr double kNackDelayFraction = 0.8;     // of the duration of a relayed probe

}  // namespace

IndirectProbeRelay::IndirectProbeRelay(const DetectorConfig& config, const MemberTable& table,
                                       MessageSender& sender)
    : config_(config), table_(table), sender_(sender) {}

void IndirectProbeRelay::on_indirect_ping(double now, const Message& message) {
  if (!table_.contains(message.target) || message.target == table_.local_id()) return;
  if (pending_.size() >= kMaxPendingProbes) return;
  const double duration = (1 - config_.ack_timeout_fraction) * config_.probe_interval;
  PendingProbe probe;
  probe.target = message.target;
  probe.requester = message.sender;
  probe.request_sequence_number = message.in_reply_to;
  probe.nack_at = now + kNackDelayFraction * duration;
  probe.ends_at = now + duration;
  probe.ping_sequence_number = sender_.send(MessageKind::kPing, message.target, message.target);
  pending_.push_back(probe);
}

void IndirectProbeRelay::on_ack(const Message& message) {
  const auto found = std::find_if(pending_.begin(), pending_.end(), [&](const PendingProbe& probe) {
    return probe.ping_sequence_number == message.in_reply_to && probe.target == message.sender;
  });
  if (found == pending_.end()) return;
  const PendingProbe probe = *found;
  pending_.erase(found);
  sender_.send(MessageKind::kAck, probe.requester, probe.target, probe.request_sequence_number);
}

void IndirectProbeRelay::on_timer(double now) {
  for (PendingProbe& probe : pending_) {
    if (probe.is_nacked || now < probe.nack_at) continue;
    probe.is_nacked = true;
    sender_.send(MessageKind::kNack, probe.requester, probe.target, probe.request_sequence_number);
  }
  std::erase_if(pending_, [&](const PendingProbe& probe) { return now >= probe.ends_at; });
}

double IndirectProbeRelay::next_deadline() const {
  double out = std::numeric_limits<double>::infinity();
  for (const PendingProbe& probe : pending_)
    out = std::min(out, probe.is_nacked ? probe.ends_at : probe.nack_at);
  return out;
}

}  // namespace thymewood::membership
