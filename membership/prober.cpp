#include "prober.h"

#include <algorithm>
#include <utility>

namespace thymewood::membership {

Prober::Prober(const DetectorConfig& config, MemberTable& table, MessageSender& sender, LocalHealth& health,
               DetectorCounters& counters, std::mt19937_64& random)
    : config_(config),
      table_(table),
      sender_(sender),
      health_(health),
      counters_(counters),
      random_(random) {}

void Prober::start(double now) {
  next_probe_at_ = now + config_.probe_interval * std::uniform_real_distribution<double>(0, 1)(random_);
}

void Prober::restart(double now) {
  probe_.reset();
  retry_target_.reset();
  next_probe_at_ = now;
}

double Prober::next_deadline() const {
  if (!probe_) return next_probe_at_;
  const bool is_waiting_for_end = probe_->is_indirect_requested || probe_->is_acked;
  return std::min(next_probe_at_, is_waiting_for_end ? probe_->ends_at : probe_->indirect_at);
}

std::optional<NodeId> Prober::next_target() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_targets_.empty()) {
      const NodeId id = round_targets_.back();
      round_targets_.pop_back();
      if (!table_.is_failed_or_left(id)) return id;
    }
    for (std::size_t i = 0; i < table_.size(); ++i) {
      if (i != table_.local_id()) round_targets_.push_back(static_cast<NodeId>(i));
    }
    std::shuffle(round_targets_.begin(), round_targets_.end(), random_);
  }
  return std::nullopt;
}

void Prober::begin_probe_if_due(double now) {
  if (now < next_probe_at_) return;
  const double interval = config_.probe_interval * health_.timeout_multiplier();
  next_probe_at_ = now + interval;
  ++interval_count_;
  if (interval_count_ % config_.rejoin_interval == 0) ping_failed_member();
  const bool is_retry = retry_target_.has_value() && !table_.is_failed_or_left(*retry_target_);
  const std::optional<NodeId> target = is_retry ? retry_target_ : next_target();
  if (!is_retry) retry_target_.reset();
  if (!target) return;
  Probe probe;
  probe.target = *target;
  probe.sent_at = now;
  probe.indirect_at = now + config_.ack_timeout_fraction * interval;
  probe.ends_at = now + interval;
  counters_.pings += 1;
  probe.first_ping_sequence_number = sender_.send(MessageKind::kPing, *target, *target);
  probe_ = probe;
}

// Without these pings, two partitions that marked each other as failed would never rejoin after the network
// heals.
void Prober::ping_failed_member() {
  std::vector<NodeId> failed;
  for (const MemberTable::Member& member : table_.members()) {
    if (member.record.state == MemberState::kFailed) failed.push_back(member.record.id);
  }
  if (failed.empty()) return;
  const NodeId target = failed[random_below(failed.size())];
  sender_.send(MessageKind::kPing, target, target);
}

void Prober::request_indirect_probes_if_due(double now) {
  if (!probe_ || probe_->is_acked || probe_->is_indirect_requested || now < probe_->indirect_at) return;
  probe_->is_indirect_requested = true;
  probe_->second_ping_sequence_number = sender_.send(MessageKind::kPing, probe_->target, probe_->target);
  const auto max_count = static_cast<std::size_t>(config_.indirect_probe_count);
  for (const NodeId relay : pick_alive_members(max_count, probe_->target)) {
    sender_.send(MessageKind::kIndirectPing, relay, probe_->target, probe_->first_ping_sequence_number);
    probe_->indirect_requests += 1;
  }
}

std::vector<NodeId> Prober::pick_alive_members(std::size_t max_count, NodeId excluded) {
  std::vector<NodeId> out;
  for (const MemberTable::Member& member : table_.members()) {
    const MemberRecord& record = member.record;
    if (record.id != table_.local_id() && record.id != excluded && record.state == MemberState::kAlive)
      out.push_back(record.id);
  }
  const std::size_t count = std::min(max_count, out.size());
  for (std::size_t i = 0; i < count; ++i) std::swap(out[i], out[i + random_below(out.size() - i)]);
  out.resize(count);
  return out;
}

std::size_t Prober::random_below(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

std::optional<NodeId> Prober::finish_probe_if_due(double now) {
  if (!probe_ || now < probe_->ends_at) return std::nullopt;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  record_result(probe.is_acked);
  const bool was_retry = retry_target_ == probe.target;
  retry_target_.reset();
  if (probe.is_acked) return std::nullopt;
  counters_.unacked_probes += 1;
  // A nack shows that this node is reachable. Relays that send neither an ack nor a nack count against this
  // node's own health.
  health_.adjust(probe.indirect_requests > 0 ? probe.indirect_requests - probe.nacks : 1);
  if (table_.is_failed_or_left(probe.target)) return std::nullopt;
  if (!was_retry && table_.at(probe.target).record.state == MemberState::kAlive) {
    retry_target_ = probe.target;
    return std::nullopt;
  }
  return probe.target;
}

bool Prober::on_ack(double now, const Message& message) {
  if (!probe_ || message.target != probe_->target) return false;
  const bool is_second_ping =
      probe_->second_ping_sequence_number != 0 && message.in_reply_to == probe_->second_ping_sequence_number;
  if (message.in_reply_to != probe_->first_ping_sequence_number && !is_second_ping) return false;
  if (!probe_->is_acked) health_.adjust(-1);
  if (message.sender == probe_->target) {
    table_.at(message.sender).round_trip_time =
        now - (is_second_ping ? probe_->indirect_at : probe_->sent_at);
  } else if (!probe_->is_acked) {
    counters_.indirect_acks += 1;
  }
  probe_->is_acked = true;
  return true;
}

void Prober::on_nack(const Message& message) {
  if (!probe_ || message.in_reply_to != probe_->first_ping_sequence_number) return;
  if (probe_->nacks < probe_->indirect_requests) probe_->nacks += 1;
}

void Prober::record_result(bool was_acked) {
  ack_history_ = (ack_history_ << 1) | (was_acked ? 1 : 0);
  ack_history_size_ = std::min(ack_history_size_ + 1, kAckHistorySize);
}

ProbeSample Prober::recent_probes() const {
  ProbeSample out;
  out.sent = ack_history_size_;
  for (int i = 0; i < ack_history_size_; ++i) out.acked += static_cast<int>((ack_history_ >> i) & 1);
  return out;
}

}  // namespace thymewood::membership
