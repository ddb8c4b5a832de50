// What this node knows about every node, including its own record, and a digest of this state.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "detector_config.h"
#include "member_record.h"
#include "replay_window.h"
#include "suspicion.h"

namespace thymewood::membership {

class MemberTable {
 public:
  struct Member {
    MemberRecord record;
    std::optional<Suspicion> suspicion;     // set while the state is kSuspect
    std::optional<double> round_trip_time;  // seconds; latest acknowledged direct ping
    std::uint32_t reported_digest = 0;      // digest of the member's own table, from its latest datagram
    ReplayWindow replay_window;
  };

  explicit MemberTable(const LocalNode& local);

  [[nodiscard]] std::size_t size() const { return members_.size(); }
  [[nodiscard]] bool contains(NodeId id) const { return id < members_.size(); }
  [[nodiscard]] Member& at(NodeId id) { return members_[id]; }
  [[nodiscard]] const Member& at(NodeId id) const { return members_[id]; }
  [[nodiscard]] std::vector<Member>& members() { return members_; }
  [[nodiscard]] const std::vector<Member>& members() const { return members_; }

  [[nodiscard]] NodeId local_id() const { return local_id_; }
  [[nodiscard]] const MemberRecord& local_record() const { return members_[local_id_].record; }
  [[nodiscard]] bool is_failed_or_left(NodeId id) const {
    return members_[id].record.state >= MemberState::kFailed;
  }

  // Replaces the node's record and ends a suspicion of the node.
  void replace(const MemberRecord& record);
  void raise_local_incarnation(Incarnation incarnation);
  void set_local_left();

  // Two tables have equal digests if they hold the same incarnations and agree on which nodes are up.
  [[nodiscard]] std::uint32_t digest();

 private:
  std::vector<Member> members_;  // indexed by node id
  NodeId local_id_;
  std::optional<std::uint32_t> cached_digest_;
};

}  // namespace thymewood::membership
