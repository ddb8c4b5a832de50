// Derives from the failure detector what the rest of the node works with: its rank among the live nodes,
// their number, and how far these can be relied on. Pure.
//
// Two counts are kept apart. Work is spread by `rank` and `live_count`, which follow the live nodes with
// hysteresis, so that a flapping node does not move the others' parts. Limits are divided by `max_count`,
// which includes every node that may still run: an unreachable node may be partitioned and go on sending, so
// only its own announcement of leaving removes it.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

#include "detector.h"

namespace thymewood::membership {

enum class Connectivity {
  kStandalone,   // membership is off
  kPartitioned,  // half of the other nodes or fewer are reachable, or this node's id is in conflict
  kPartial,      // some nodes are missing, more than half are reachable
  kComplete      // all nodes that have not left are reachable
};
const char* name_of(Connectivity connectivity);

struct ReplicaSetView {
  std::uint64_t epoch = 0;  // local to this node; raised with each change
  // This node has the rank-th of `live_count` parts of the work. When partitioned: as configured.
  int rank = 0;
  int live_count = 1;
  int max_count = 1;         // nodes among which limits are divided; never below `live_count`
  bool is_settling = false;  // other nodes may have another view: a node joins or leaves, or just has
  int configured_count = 1;
  int reachable_count = 1;  // alive, this node included
  Connectivity connectivity = Connectivity::kStandalone;
  std::map<int, int> reachable_by_zone;
  bool operator==(const ReplicaSetView&) const = default;
};

struct ReplicaSetViewConfig {
  double settle_time = 5;           // s that a node has to be up, or gone, before it is counted so
  double min_change_interval = 10;  // s between two changes of rank and live_count
  int max_settle_doublings = 5;     // settle_time doubles with each recent flap, at most so often
  double flap_decay_interval = 60;  // s after which one flap is forgotten
};

class ReplicaSetViewTracker {
 public:
  ReplicaSetViewTracker(const LocalNode& local, const ReplicaSetViewConfig& config);

  [[nodiscard]] const ReplicaSetView& current() const { return view_; }
  // Evaluates the detector's state. Returns the new view where it differs.
  [[nodiscard]] std::optional<ReplicaSetView> update(double now, const Detector& detector);
  // When the view changes without further events; infinity: never.
  [[nodiscard]] double next_deadline() const { return next_deadline_; }

 private:
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  // Hysteresis of one node.
  struct Hysteresis {
    bool is_counted = true;  // in live_count
    bool is_up = true;
    double up_changed_at = 0;
    int flaps = 0;
    double flaps_changed_at = kNever;
  };
  // What one pass over all nodes finds.
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
