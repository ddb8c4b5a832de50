// Derives the replica set view from the failure detector: this node's rank among the live nodes, their
// number, and how reliable both are.
//
// Two counts are kept separately. Servers and quotas are divided among the nodes by `rank` and `live_count`,
// which follow the set of live nodes with hysteresis, so that a flapping node does not shift the shares of
// the others. Limits are divided by `max_count`, which includes every node that may still be running: an
// unreachable node may be partitioned and continue to send requests, so a node is excluded only once it has
// announced that it leaves.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "detector.h"

namespace thymewood::membership {

enum class Connectivity {
  kStandalone,   // membership is disabled
  kPartitioned,  // at most half of the nodes are reachable, or another process uses this node's id
  kPartial,      // more than half of the nodes are reachable, but not all
  kComplete      // all nodes that have not left are reachable
};
const char* name_of(Connectivity connectivity);

struct ReplicaSetView {
  std::uint64_t epoch = 0;  // local to this node; incremented with each change
  // This node takes the rank-th of `live_count` shares. While partitioned, both are as configured.
  int rank = 0;
  int live_count = 1;
  int max_count = 1;         // number of nodes that share the limits; never below `live_count`
  bool is_settling = false;  // nodes may have different views, because a node joins or leaves or did recently
  int configured_count = 1;
  int reachable_count = 1;  // nodes that are alive, including this one
  Connectivity connectivity = Connectivity::kStandalone;
  std::map<int, int> reachable_by_zone;
  bool operator==(const ReplicaSetView&) const = default;
};

struct ReplicaSetViewConfig {
  double settle_time = 5;           // seconds that a node must be up or down before live_count reflects it
  double min_change_interval = 10;  // seconds between two changes of rank and live_count
  int max_settle_doublings = 5;     // settle_time doubles with each recent flap, at most this many times
  double flap_decay_interval = 60;  // seconds after which one flap is no longer counted
};

class ReplicaSetViewTracker {
 public:
  ReplicaSetViewTracker(const LocalNode& local, const ReplicaSetViewConfig& config);

  [[nodiscard]] const ReplicaSetView& current() const { return view_; }
  // Evaluates the detector's state. Returns the new view if it changed.
  [[nodiscard]] std::optional<ReplicaSetView> update(double now, const Detector& detector);
  // When update() must be called even without further events; infinity if never.
  [[nodiscard]] double next_deadline() const { return next_deadline_; }

 private:
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  // Hysteresis state of one node.
  struct Hysteresis {
    bool is_counted = true;  // included in live_count
    bool is_up = true;
    double up_changed_at = 0;
    int flaps = 0;
    double flaps_changed_at = kNever;
  };
  // Result of one pass over all nodes.
  struct Scan {
    int left_count = 0;
    bool has_due_change = false;
  };
  Scan scan_members(double now, const Detector& detector, ReplicaSetView& view);
  void apply_due_changes(double now);
  void set_connectivity(double now, Connectivity measured, ReplicaSetView& view);
  void set_rank(ReplicaSetView& view) const;
  [[nodiscard]] double settle_time_of(const Hysteresis& member) const;
  [[nodiscard]] static Connectivity connectivity_of(const Detector& detector, const ReplicaSetView& view,
                                                    int left_count);

  LocalNode local_;
  ReplicaSetViewConfig config_;
  std::vector<Hysteresis> members_;
  ReplicaSetView view_;
  double last_change_ = kNever;
  double last_partitioned_ = kNever;
  double next_deadline_ = std::numeric_limits<double>::infinity();
};

}  // namespace thymewood::membership
