#include "record_merger.h"

#include <algorithm>
#include <limits>

namespace thymewood::membership {
namespace {

// The sender's own record, taken from the message header.
MemberRecord sender_record_of(const Message& message) {
  MemberRecord out;
  out.id = out.reported_by = message.sender;
  out.zone = message.zone;
  out.incarnation = message.incarnation;
  if (message.kind == MessageKind::kLeaving) out.state = MemberState::kLeft;
  return out;
}

}  // namespace

RecordMerger::RecordMerger(const DetectorConfig& config, MemberTable& table, GossipQueue& gossip,
                           LocalHealth& health, DetectorCounters& counters, std::vector<Output>& outputs)
    : config_(config),
      table_(table),
      gossip_(gossip),
      health_(health),
      counters_(counters),
      outputs_(outputs) {}

void RecordMerger::merge_message(double now, const Message& message) {
  const MemberRecord sender = sender_record_of(message);
  if (message.kind == MessageKind::kLeaving) {
    if (supersedes(sender, table_.at(message.sender).record)) apply(sender, ChangeReason::kAnnouncedLeave);
    return;
  }
  merge(now, sender, message.sender, false);
  std::vector<NodeId> suspected;
  for (const MemberRecord& record : message.records) {
    // Ids that are not configured here come from a sender that is configured with a larger replica set.
    if (!table_.contains(record.id) || record.incarnation == 0) continue;
    const bool is_first = std::find(suspected.begin(), suspected.end(), record.id) == suspected.end();
    if (record.state != MemberState::kAlive) suspected.push_back(record.id);
    merge(now, record, message.sender, is_first);
  }
}

void RecordMerger::merge(double now, const MemberRecord& record, NodeId sender, bool may_suspect) {
  if (record.id == table_.local_id()) {
    merge_local(record);
    return;
  }
  const MemberRecord known = table_.at(record.id).record;
  const bool is_newer = record.incarnation > known.incarnation;
  if (record.state == MemberState::kAlive) {
    const bool is_direct = sender == record.id;
    if (is_newer) apply(record, is_direct ? ChangeReason::kHeardDirectly : ChangeReason::kReportedAlive);
    return;
  }
  const bool is_outdated = record.incarnation < known.incarnation || known.state >= MemberState::kFailed;
  if (is_outdated && !is_newer) return;
  if (is_newer) {
    // A suspicion of a newer incarnation also shows that this incarnation was alive.
    MemberRecord alive = record;
    alive.state = MemberState::kAlive;
    alive.reported_by = record.id;
    apply(alive, ChangeReason::kReportedAlive);
  }
  if (!may_suspect) return;
  MemberRecord report = record;
  report.state = MemberState::kSuspect;
  const bool has_reporter = record.state != MemberState::kLeft && table_.contains(record.reported_by) &&
                            record.reported_by != record.id;
  if (!has_reporter) report.reported_by = sender;
  suspect(now, report);
}

void RecordMerger::report_missing_ack(double now, NodeId id) {
  MemberRecord report = table_.at(id).record;
  report.state = MemberState::kSuspect;
  report.reported_by = table_.local_id();
  suspect(now, report);
}

void RecordMerger::suspect(double now, const MemberRecord& report) {
  MemberTable::Member& member = table_.at(report.id);
  if (member.record.incarnation > 0 && report.incarnation < member.record.incarnation) return;
  if (!member.suspicion) {
    counters_.suspicions += 1;
    apply(report, ChangeReason::kNoAck);
    member.suspicion.emplace(now, report.reported_by);
    return;
  }
  // Further reports are gossiped as well, so that other nodes count them as confirmations.
  if (member.suspicion->confirm(report.reported_by, config_)) gossip_.add(report);
}

// Stores the record in the table and queues it for gossip.
void RecordMerger::apply(const MemberRecord& record, ChangeReason reason, int reporter_count) {
  const MemberTable::Member& member = table_.at(record.id);
  const MemberRecord previous = member.record;
  const bool was_restarted = start_time_of(record.incarnation) != start_time_of(previous.incarnation);
  if (member.suspicion && record.state == MemberState::kAlive) counters_.refuted_suspicions += 1;
  table_.replace(record);
  gossip_.add(record);
  if (record.state != previous.state || was_restarted)
    outputs_.emplace_back(MemberChanged{record, previous, reason, reporter_count});
}

void RecordMerger::merge_local(const MemberRecord& record) {
  const Incarnation own = table_.local_record().incarnation;
  if (record.incarnation < own) return;
  if (record.state != MemberState::kAlive) {
    counters_.local_refutations += 1;
    health_.adjust(1);
    refute(record);
    return;
  }
  if (record.incarnation == own) return;
  // Either an earlier process of this node, before its clock was set back, or another process with the same
  // id.
  id_conflicts_ += 1;
  if (id_conflicts_ == kMaxIdConflicts) outputs_.emplace_back(NodeIdConflict{});
  if (id_conflicts_ <= kMaxIdConflicts) refute(record);
}

void RecordMerger::refute(const MemberRecord& claim) {
  table_.raise_local_incarnation(claim.incarnation + 1);
  gossip_.add(table_.local_record());
  outputs_.emplace_back(Refuted{claim, table_.local_record().incarnation});
}

void RecordMerger::expire_suspicions(double now) {
  for (const MemberTable::Member& member : table_.members()) {
    if (!member.suspicion || now < member.suspicion->deadline(config_, table_.size())) continue;
    MemberRecord failed = member.record;
    failed.state = MemberState::kFailed;
    failed.reported_by = table_.local_id();
    counters_.failures += 1;
    apply(failed, ChangeReason::kSuspicionTimedOut, static_cast<int>(member.suspicion->reporter_count()));
  }
}

void RecordMerger::extend_suspicions(double seconds) {
  for (MemberTable::Member& member : table_.members()) {
    if (member.suspicion) member.suspicion->extend(seconds);
  }
}

double RecordMerger::next_deadline() const {
  double out = std::numeric_limits<double>::infinity();
  for (const MemberTable::Member& member : table_.members()) {
    if (member.suspicion) out = std::min(out, member.suspicion->deadline(config_, table_.size()));
  }
  return out;
}

}  // namespace thymewood::membership
