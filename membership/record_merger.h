// Merges the records that nodes report about each other into the member table, and runs the suspicion timers.
//
// A report that a third node has failed or left is never applied immediately: it only starts or confirms a
// suspicion, which the node can refute. A node's leave is accepted only from the node itself. A single false
// datagram can therefore remove no node except its sender.
#pragma once

#include <vector>

#include "detector_config.h"
#include "detector_output.h"
#include "gossip_queue.h"
#include "local_health.h"
#include "member_table.h"

namespace thymewood::membership {

class RecordMerger {
 public:
  // All referenced objects must outlive the merger. Changes are appended to `outputs`.
  RecordMerger(const DetectorConfig& config, MemberTable& table, GossipQueue& gossip, LocalHealth& health,
               DetectorCounters& counters, std::vector<Output>& outputs);

  // Merges all records of one datagram: first the sender's own, then those that it reports. Of several
  // records about the same node, at most one counts as a suspicion report.
  void merge_message(double now, const Message& message);
  // Reports that this node itself got no ack from `id`.
  void report_missing_ack(double now, NodeId id);

  void expire_suspicions(double now);
  void extend_suspicions(double seconds);
  [[nodiscard]] double next_deadline() const;

  [[nodiscard]] bool has_id_conflict() const { return id_conflicts_ >= kMaxIdConflicts; }

 private:
  // A higher incarnation of this node's id, reported alive, may also come from an earlier process of this
  // node. After this many, the id is considered to be in use by another process.
  static constexpr int kMaxIdConflicts = 3;

  void merge(double now, const MemberRecord& record, NodeId sender, bool may_suspect);
  void merge_local(const MemberRecord& record);
  void suspect(double now, const MemberRecord& report);
  void apply(const MemberRecord& record, ChangeReason reason, int reporter_count = 0);
  void refute(const MemberRecord& claim);

  const DetectorConfig& config_;
  MemberTable& table_;
  GossipQueue& gossip_;
  LocalHealth& health_;
  DetectorCounters& counters_;
  std::vector<Output>& outputs_;
  int id_conflicts_ = 0;
};

}  // namespace thymewood::membership
