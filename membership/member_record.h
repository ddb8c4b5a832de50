// The state of one node as the others know it. Pure.
//
// Records are ordered as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002, section 4.2): a higher incarnation always wins, and at the
// same incarnation the graver state. Only a node itself raises its own incarnation.
#pragma once

#include <cstdint>

namespace thymewood::membership {

// A node's index in the configured `peers`, 0 .. count - 1. It is the same after a restart.
using NodeId = std::uint16_t;

// In order of precedence at the same incarnation.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // some node had no ack from it; it has time to refute
  kFailed,   // it did not refute in time
  kLeft      // it announced its own shutdown
};

const char* name_of(MemberState state);

// The time of a node's start, in ms of Unix time, above a counter of its refutations. A later start is
// higher; a node whose clock was set back receives the record of its previous run and continues above it.
using Incarnation = std::uint64_t;
constexpr int kRefutationBits = 16;
constexpr Incarnation incarnation_of(std::uint64_t start_ms) { return start_ms << kRefutationBits; }
constexpr std::uint64_t start_time_of(Incarnation incarnation) { return incarnation >> kRefutationBits; }

struct MemberRecord {
  NodeId id = 0;
  NodeId reported_by = 0;  // the reporter for kSuspect and kFailed, otherwise the node itself
  MemberState state = MemberState::kAlive;
  std::uint8_t zone = 0;
  Incarnation incarnation = 0;  // 0: nothing was heard of the node yet
  bool operator==(const MemberRecord&) const = default;
};

// Whether `a` replaces `b`, both of the same node.
constexpr bool supersedes(const MemberRecord& a, const MemberRecord& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

}  // namespace thymewood::membership
