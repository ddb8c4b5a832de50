// Outputs of the failure detector, to be processed by its owner, and its counters.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "codec.h"
#include "member_record.h"

namespace thymewood::membership {

// A datagram to send to one peer, or to all peers if `to` is empty.
struct SendDatagram {
  std::optional<NodeId> to;
  Datagram datagram;
};

enum class ChangeReason {
  kHeardDirectly,      // received a datagram from the node itself
  kReportedAlive,      // another node reported it alive
  kNoAck,              // the reporting node got no ack from it
  kSuspicionTimedOut,  // the suspicion was not refuted in time
  kAnnouncedLeave,     // the node announced its own shutdown
};
const char* name_of(ChangeReason reason);

// A node changed its state or was restarted.
struct MemberChanged {
  MemberRecord current;
  MemberRecord previous;
  ChangeReason reason = ChangeReason::kHeardDirectly;
  int reporter_count = 0;  // only for kSuspicionTimedOut
};

// This node raised its own incarnation to refute a claim about itself.
struct Refuted {
  MemberRecord claim;
  Incarnation incarnation = 0;
};

// The event loop did not run for `duration`.
struct LoopPaused {
  double duration = 0;  // seconds
};

// Another process uses the id of this node.
struct NodeIdConflict {};

using Output = std::variant<SendDatagram, MemberChanged, Refuted, LoopPaused, NodeIdConflict>;

struct DetectorCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;

  // Dropped datagrams by reason; see DecodeError.
  std::uint64_t too_short = 0;
  std::uint64_t too_long = 0;
  std::uint64_t invalid_magic = 0;
  std::uint64_t unsupported_versions = 0;
  std::uint64_t replica_set_mismatches = 0;
  std::uint64_t checksum_mismatches = 0;
  std::uint64_t invalid_fields = 0;
  std::uint64_t source_address_mismatches = 0;  // the source address does not belong to the sender id
  std::uint64_t duplicates = 0;
  std::uint64_t stale_incarnations = 0;  // sent by an earlier process of the sender

  std::uint64_t pings = 0;
  std::uint64_t unacked_probes = 0;
  std::uint64_t indirect_acks = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refuted_suspicions = 0;  // suspicions ended by a refutation
  std::uint64_t failures = 0;
  std::uint64_t local_refutations = 0;  // refutations of claims about this node
  std::uint64_t loop_pauses = 0;        // event loop pauses
};

}  // namespace thymewood::membership
