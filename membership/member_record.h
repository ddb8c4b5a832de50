// What nodes say of each other: one record a node. Pure.
//
// Records are ordered as in SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002, section 4.2): a higher incarnation always wins, and at the
// same incarnation the graver state. Only a node itself raises its own incarnation.
#pragma once

#include <cstdint>

namespace thymewood::membership {

// A node's place in `peers`, 0 .. count - 1. It is the same after a restart.
using Number = std::uint16_t;

// In order of gravity.
enum class State : std::uint8_t {
  kAlive,
  kSuspect,  // somebody had no answer from it; it has time to object
  kFailed,   // it did not object in time
  kLeft      // it said itself that it ends
};

const char* name_of(State state);

// The moment of a node's start, in ms of Unix time, above a count of its objections. A life that began later
// is higher; a node whose clock stood back meets its old life's record and goes on from there.
using Incarnation = std::uint64_t;
constexpr int kObjectionBits = 16;
constexpr Incarnation incarnation_of(std::uint64_t start_ms) { return start_ms << kObjectionBits; }
constexpr std::uint64_t life_of(Incarnation incarnation) { return incarnation >> kObjectionBits; }

struct Record {
  Number number = 0;
  Number by = 0;  // who says so: the accuser of kSuspect and kFailed, else the node itself
  State state = State::kAlive;
  std::uint8_t zone = 0;
  Incarnation incarnation = 0;  // 0: nothing was ever heard of it
  bool operator==(const Record&) const = default;
};

// Whether `a` replaces `b`, both of one node.
constexpr bool supersedes(const Record& a, const Record& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation : a.state > b.state;
}

}  // namespace thymewood::membership
