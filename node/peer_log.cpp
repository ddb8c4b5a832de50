#include "peer_log.h"

#include <variant>

#include "event_log.h"

namespace thymewood::node {
namespace {

using membership::MemberState;

const char* event_name_of(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "node_alive";
    case MemberState::kSuspect:
      return "node_suspected";
    case MemberState::kFailed:
      return "node_failed";
    case MemberState::kLeft:
      break;
  }
  return "node_left";
}

struct OutputLogger {
  void operator()(const membership::SendDatagram&) const {}

  void operator()(const membership::MemberChanged& change) const {
    LogEvent event = log_info(event_name_of(change.current.state));
    event.with("node", int{change.current.id})
        .with("previous", membership::name_of(change.previous.state))
        .with("reason", membership::name_of(change.reason));
    if (change.reason == membership::ChangeReason::kNoAck)
      event.with("reported_by", int{change.current.reported_by});
    if (change.reason == membership::ChangeReason::kSuspicionTimedOut)
      event.with("reporters", change.reporter_count);
  }

  void operator()(const membership::Refuted& refuted) const {
    log_info("claim_refuted")
        .with("claimed", membership::name_of(refuted.claim.state))
        .with("reported_by", int{refuted.claim.reported_by})
        .with("incarnation", refuted.incarnation);
  }

  void operator()(const membership::LoopPaused& paused) const {
    log_info("event_loop_paused").with("for", paused.duration);
  }

  void operator()(const membership::NodeIdConflict&) const { log_warning("node_id_conflict"); }
};

}  // namespace

void log_output(const membership::Output& output) { std::visit(OutputLogger{}, output); }

void log_view(const membership::ReplicaSetView& view) {
  log_info("replica_set_changed")
      .with("epoch", view.epoch)
      .with("rank", view.rank)
      .with("live_count", view.live_count)
      .with("max_count", view.max_count)
      .with("reachable_count", view.reachable_count)
      .with("configured_count", view.configured_count)
      .with("connectivity", membership::name_of(view.connectivity))
      .with("settling", view.is_settling);
}

}  // namespace thymewood::node
