// Merges what nodes report of each other into the member table, and runs the suspicion timers. Pure.
//
// A report of a third node's failure or leaving is never applied at once: it only starts or confirms a
// suspicion that the node may refute. Only a node itself can announce that it leaves. So no single false
// datagram removes any node but its sender.
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
  // All references outlive the merger. Changes are appended to `outputs`.
  RecordMerger(const DetectorConfig& config, MemberTable& table, GossipQueue& gossip, LocalHealth& health,
               DetectorCounters& counters, std::vector<Output>& outputs);

  // All records of one datagram: the sender's own first, then those it reports. At most one of them counts as
  // a report of the same node.
  void merge_message(double now, const Message& message);
  // This node itself had no ack of `id`.
  void report_missing_ack(double now, NodeId id);

  void expire_suspicions(double now);
  void extend_suspicions(double seconds);
  [[nodiscard]] double next_deadline() const;

  [[nodiscard]] bool has_id_conflict() const { return id_conflicts_ >= kMaxIdConflicts; }

 private:
  static constexpr int kMaxIdConflicts = 3;  // raised incarnations that this node's earlier runs may explain

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
