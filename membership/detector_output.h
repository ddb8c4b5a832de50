// What the failure detector hands to its host, and its counters. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "codec.h"
#include "member_record.h"

namespace thymewood::membership {

// To be sent to one peer, or to all where `to` is empty.
struct SendDatagram {
  std::optional<NodeId> to;
  Datagram datagram;
};

enum class ChangeReason {
  kHeardDirectly,        // a datagram of the node itself
  kReportedAlive,        // by another node
  kNoAck,                // to the node that reported it
  kSuspicionTimedOut,    // without a refutation
  kAnnouncedItsLeaving,  // by the node itself
};
const char* name_of(ChangeReason reason);

// A node has changed its state, or was restarted.
struct MemberChanged {
  MemberRecord current;
  MemberRecord previous;
  ChangeReason reason = ChangeReason::kHeardDirectly;
  int reporter_count = 0;  // kSuspicionTimedOut
};

// This node raised its own incarnation above what was claimed of it.
struct Refuted {
  MemberRecord claim;
  Incarnation incarnation = 0;
};

// The event loop did not run for so long.
struct LoopPaused {
  double duration = 0;  // s
};

// Another process uses this node's id.
struct NodeIdConflict {};

using Output = std::variant<SendDatagram, MemberChanged, Refuted, LoopPaused, NodeIdConflict>;

struct DetectorCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;

  // Dropped datagrams, see DecodeError.
  std::uint64_t too_short = 0;
  std::uint64_t too_long = 0;
  std::uint64_t unknown_protocols = 0;
  std::uint64_t unsupported_versions = 0;
  std::uint64_t other_replica_set = 0;
  std::uint64_t checksum_mismatches = 0;
  std::uint64_t invalid_fields = 0;
  std::uint64_t unknown_senders = 0;  // from an address that is not the sender's
  std::uint64_t duplicates = 0;
  std::uint64_t stale = 0;  // of an earlier run of the sender

  std::uint64_t pings = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t answered_indirectly = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t refuted = 0;  // suspicions that ended with a refutation
  std::uint64_t failures = 0;
  std::uint64_t refutations = 0;  // by this node, of claims about itself
  std::uint64_t pauses = 0;       // of the event loop
};

}  // namespace thymewood::membership
