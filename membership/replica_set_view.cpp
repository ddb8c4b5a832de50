#include "replica_set_view.h"

#include <algorithm>

namespace thymewood::membership {
namespace {

constexpr int kMinProbeSample = 4;  // probes; fewer are not sufficient to detect a partition

}  // namespace

const char* name_of(Connectivity connectivity) {
  switch (connectivity) {
    case Connectivity::kStandalone:
      return "standalone";
    case Connectivity::kPartitioned:
      return "partitioned";
    case Connectivity::kPartial:
      return "partial";
    case Connectivity::kComplete:
      return "complete";
  }
  return "unknown";
}

ReplicaSetViewTracker::ReplicaSetViewTracker(const LocalNode& local, const ReplicaSetViewConfig& config)
    : local_(local), config_(config), members_(local.peer_count) {
  view_.rank = local.id;
  view_.live_count = view_.max_count = view_.configured_count = local.peer_count;
  view_.reachable_count = 1;
  view_.connectivity = Connectivity::kPartitioned;  // until a peer has acknowledged a probe
}

double ReplicaSetViewTracker::settle_time_of(const Hysteresis& member) const {
  const int doublings = std::min(member.flaps, config_.max_settle_doublings);
  return config_.settle_time * static_cast<double>(1 << doublings);
}

Connectivity ReplicaSetViewTracker::connectivity_of(const Detector& detector, const ReplicaSetView& view,
                                                    int left_count) {
  const int others = view.configured_count - 1 - left_count;
  if (detector.has_id_conflict()) return Connectivity::kPartitioned;
  if (others <= 0) return Connectivity::kComplete;
  // Recent probes reveal a partition long before all unreachable nodes are marked as failed.
  const ProbeSample sample = detector.recent_probes();
  if (sample.acked == 0) return Connectivity::kPartitioned;
  if (sample.sent >= kMinProbeSample && 2 * sample.acked <= sample.sent) return Connectivity::kPartitioned;
  if (2 * view.reachable_count <= others + 1) return Connectivity::kPartitioned;
  return view.reachable_count == others + 1 ? Connectivity::kComplete : Connectivity::kPartial;
}

std::optional<ReplicaSetView> ReplicaSetViewTracker::update(double now, const Detector& detector) {
  next_deadline_ = std::numeric_limits<double>::infinity();
  ReplicaSetView view = view_;
  const Scan scan = scan_members(now, detector, view);
  // Applies all due changes together, because the next change must wait for `min_change_interval`.
  if (scan.has_due_change) apply_due_changes(now);
  if (now < last_change_ + config_.settle_time) {
    view.is_settling = true;
    next_deadline_ = std::min(next_deadline_, last_change_ + config_.settle_time);
  }
  set_connectivity(now, connectivity_of(detector, view, scan.left_count), view);
  set_rank(view);
  view.max_count = std::max(view.live_count, view.configured_count - scan.left_count);
  if (view == view_) return std::nullopt;
  view.epoch = view_.epoch + 1;
  view_ = view;
  return view;
}

ReplicaSetViewTracker::Scan ReplicaSetViewTracker::scan_members(double now, const Detector& detector,
                                                                ReplicaSetView& view) {
  Scan out;
  view.reachable_by_zone.clear();
  view.reachable_count = 0;
  view.is_settling = false;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Hysteresis& member = members_[i];
    const MemberRecord& record = detector.record(static_cast<NodeId>(i));
    const bool is_local = i == local_.id;
    const bool is_up = is_local || record.state < MemberState::kFailed;
    if (!is_local && record.state == MemberState::kLeft) ++out.left_count;
    if (is_local || (record.state == MemberState::kAlive && record.incarnation > 0)) {
      view.reachable_count += 1;
      view.reachable_by_zone[record.zone] += 1;
    }
    if (member.flaps > 0 && now - member.flaps_changed_at >= config_.flap_decay_interval) {
      member.flaps -= 1;
      member.flaps_changed_at = now;
    }
    if (is_up != member.is_up) {
      member.is_up = is_up;
      member.up_changed_at = now;
    }
    if (member.is_up == member.is_counted) continue;
    view.is_settling = true;
    const double due =
        std::max(member.up_changed_at + settle_time_of(member), last_change_ + config_.min_change_interval);
    if (now >= due) {
      out.has_due_change = true;
    } else {
      next_deadline_ = std::min(next_deadline_, due);
    }
  }
  return out;
}

void ReplicaSetViewTracker::apply_due_changes(double now) {
  last_change_ = now;
  for (Hysteresis& member : members_) {
    if (member.is_up == member.is_counted || now < member.up_changed_at + settle_time_of(member)) continue;
    member.is_counted = member.is_up;
    member.flaps += 1;
    member.flaps_changed_at = now;
  }
}

// A partition takes effect immediately; its end only after `settle_time`.
void ReplicaSetViewTracker::set_connectivity(double now, Connectivity measured, ReplicaSetView& view) {
  if (measured == Connectivity::kPartitioned) last_partitioned_ = now;
  view.connectivity = measured;
  const bool was_partitioned = view_.connectivity == Connectivity::kPartitioned;
  const double recovered_at = last_partitioned_ + config_.settle_time;
  if (measured > Connectivity::kPartitioned && was_partitioned && now < recovered_at &&
      last_partitioned_ > kNever) {
    view.connectivity = Connectivity::kPartitioned;
    next_deadline_ = std::min(next_deadline_, recovered_at);
  }
}

void ReplicaSetViewTracker::set_rank(ReplicaSetView& view) const {
  view.rank = local_.id;
  view.live_count = view.configured_count;
  if (view.connectivity <= Connectivity::kPartitioned) return;
  view.rank = view.live_count = 0;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (i == local_.id) view.rank = view.live_count;
    view.live_count += members_[i].is_counted ? 1 : 0;
  }
}

}  // namespace thymewood::membership
