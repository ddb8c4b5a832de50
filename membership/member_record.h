// The state of one node as known to other nodes.
//
// Records are ordered as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002, section 4.2): a higher incarnation always wins, and at the
// same incarnation the state of higher precedence wins. Only a node itself raises its own incarnation.
#pragma once

#include <cstdint>

namespace thymewood::membership {

// Index of a node in the configured `peers`, 0 .. count - 1. It does not change with a restart.
using NodeId = std::uint16_t;

// In ascending order of precedence at the same incarnation.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // did not acknowledge a probe of some node; can still refute the suspicion
  kFailed,   // did not refute the suspicion in time
  kLeft      // announced its own shutdown
};

const char* name_of(MemberState state);

// The node's start time (Unix time in milliseconds) in the upper bits, a counter of its refutations in the
// lower ones, so that a later start gives a higher incarnation. A node whose clock was set back receives the
// record of its previous process from its peers and raises its incarnation above it.
using Incarnation = std::uint64_t;
constexpr int kRefutationBits = 16;
constexpr Incarnation incarnation_of(std::uint64_t start_ms) { return start_ms << kRefutationBits; }
constexpr std::uint64_t start_time_of(Incarnation incarnation) { return incarnation >> kRefutationBits; }

struct MemberRecord {
  NodeId id = 0;
  NodeId reported_by = 0;  // the reporting node for kSuspect and kFailed, otherwise `id`
  MemberState state = MemberState::kAlive;
  std::uint8_t zone = 0;
  Incarnation incarnation = 0;  // 0: the node is still unknown
  bool operator==(const MemberRecord&) const = default;
};

// Whether `a` replaces `b`; both must be records of the same node.
constexpr bool supersedes(const MemberRecord& a, const MemberRecord& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

}  // namespace thymewood::membership
