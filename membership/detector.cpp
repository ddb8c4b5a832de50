#include "detector.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace thymewood::membership {
namespace {

// If a timer fires later than its deadline by more than this fraction of the probe interval, the event loop
// was paused.
constexpr double kPauseFraction = 0.5;

// Runs the validation before any data member is constructed from `local`.
const LocalNode& validated(const LocalNode& local, const DetectorConfig& config) {
  validate(local, config);
  return local;
}

}  // namespace

Detector::Detector(const LocalNode& local, const DetectorConfig& config, std::uint64_t seed)
    : local_(validated(local, config)),
      config_(config),
      random_(seed),
      health_(config.max_local_health),
      table_(local),
      sender_(local_, config_, table_, gossip_, counters_, outputs_),
      merger_(config_, table_, gossip_, health_, counters_, outputs_),
      prober_(config_, table_, sender_, health_, counters_, random_),
      relay_(config_, table_, sender_) {}

Detector::Outputs Detector::take_outputs() { return std::exchange(outputs_, {}); }

void Detector::start(double now) {
  if (std::exchange(is_started_, true)) return;
  gossip_.add(table_.local_record());
  prober_.start(now);
}

Detector::Outputs Detector::leave() {
  if (!is_started_ || std::exchange(has_left_, true)) return {};
  table_.set_local_left();
  sender_.broadcast_leaving();
  return take_outputs();
}

// ---------------------------------------------------------------- timers

double Detector::next_deadline() const {
  if (!is_running()) return std::numeric_limits<double>::infinity();
  return std::min({prober_.next_deadline(), relay_.next_deadline(), merger_.next_deadline()});
}

Detector::Outputs Detector::on_timer(double now) {
  if (!is_running()) return {};
  const double delay = now - next_deadline();
  if (delay > kPauseFraction * config_.probe_interval) recover_from_pause(now, delay);
  relay_.on_timer(now);
  prober_.request_indirect_probes_if_due(now);
  if (const std::optional<NodeId> suspect = prober_.finish_probe_if_due(now))
    merger_.report_missing_ack(now, *suspect);
  merger_.expire_suspicions(now);
  prober_.begin_probe_if_due(now);
  return take_outputs();
}

// This node could not receive datagrams while its event loop was paused, so acks and refutations that did not
// arrive in that time must not count against its peers. The pause counts against this node's local health.
void Detector::recover_from_pause(double now, double duration) {
  counters_.loop_pauses += 1;
  outputs_.emplace_back(LoopPaused{duration});
  merger_.extend_suspicions(duration);
  prober_.restart(now);
  relay_.clear();
  health_.adjust(1);
}

// ---------------------------------------------------------------- datagrams

Detector::Outputs Detector::receive(double now, std::optional<NodeId> sender,
                                    std::span<const std::uint8_t> bytes) {
  if (!is_running()) return {};
  counters_.received += 1;
  counters_.received_bytes += bytes.size();
  if (const std::optional<Message> message = decode_and_verify(sender, bytes)) on_message(now, *message);
  return take_outputs();
}

std::optional<Message> Detector::decode_and_verify(std::optional<NodeId> sender,
                                                   std::span<const std::uint8_t> bytes) {
  std::variant<Message, DecodeError> decoded = decode(bytes, local_.replica_set_id, table_.size());
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    count_dropped(*error);
    return std::nullopt;
  }
  Message& message = std::get<Message>(decoded);
  // This node also receives its own broadcasts.
  if (message.sender == local_.id && sender == local_.id) return std::nullopt;
  if (!sender || *sender != message.sender) {
    counters_.source_address_mismatches += 1;
    return std::nullopt;
  }
  MemberTable::Member& member = table_.at(message.sender);
  const std::uint64_t start_time = start_time_of(message.incarnation);
  if (start_time < start_time_of(member.record.incarnation)) {
    counters_.stale_incarnations += 1;
    // Sent either by an earlier process of the peer, or by a new one whose clock was set back. The ack
    // carries this node's record of the peer, so that a new process of the peer can raise its incarnation
    // above it.
    if (message.kind == MessageKind::kPing)
      sender_.send(MessageKind::kAck, message.sender, local_.id, message.sequence_number);
    return std::nullopt;
  }
  if (!member.replay_window.accept(start_time, message.sequence_number)) {
    counters_.duplicates += 1;
    return std::nullopt;
  }
  return std::move(message);
}

void Detector::count_dropped(DecodeError error) {
  switch (error) {
    case DecodeError::kTooShort:
      counters_.too_short += 1;
      return;
    case DecodeError::kTooLong:
      counters_.too_long += 1;
      return;
    case DecodeError::kUnknownProtocol:
      counters_.invalid_magic += 1;
      return;
    case DecodeError::kUnsupportedVersion:
      counters_.unsupported_versions += 1;
      return;
    case DecodeError::kReplicaSetMismatch:
      counters_.replica_set_mismatches += 1;
      return;
    case DecodeError::kChecksumMismatch:
      counters_.checksum_mismatches += 1;
      return;
    case DecodeError::kInvalidField:
      counters_.invalid_fields += 1;
      return;
  }
}

void Detector::on_message(double now, const Message& message) {
  table_.at(message.sender).reported_digest = message.digest;
  merger_.merge_message(now, message);
  switch (message.kind) {
    case MessageKind::kPing:
      if (message.target == local_.id)
        sender_.send(MessageKind::kAck, message.sender, local_.id, message.sequence_number);
      break;
    case MessageKind::kIndirectPing:
      relay_.on_indirect_ping(now, message);
      break;
    case MessageKind::kAck:
      if (!prober_.on_ack(now, message)) relay_.on_ack(message);
      break;
    case MessageKind::kNack:
      prober_.on_nack(message);
      break;
    case MessageKind::kLeaving:  // handled by merge_message()
      break;
  }
}

}  // namespace thymewood::membership
