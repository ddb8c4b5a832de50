// Datagrams between nodes (PROTOCOL, Between nodes: up to 256 bytes, a longer one voids the run). Pure.
//
// Numbers are big-endian. 40 bytes of head, then up to 15 records of 14 bytes:
//
//    0  "TW"               12  from, u16            24  zone, u8       40  records:
//    2  version, u8 = 1    14  target, u16          25  records, u8         number, u16; by, u16
//    3  kind, u8           16  stamp, u32           26  peers, u16          state, u8; zone, u8
//    4  fleet, u32         20  answers, u32         28  incarnation, u64    incarnation, u64
//    8  checksum, u32                               36  digest, u32
//
// The checksum is XXH32 over all but itself; it finds damage, and is no seal: who can send from a peer's
// address can say anything, which is why nothing that a peer says of others is believed at once (detector.h).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "member_record.h"

namespace thymewood::membership {

constexpr std::size_t kMostBytes = 256, kHeadBytes = 40, kRecordBytes = 14;
constexpr std::size_t kMostRecords = (kMostBytes - kHeadBytes) / kRecordBytes;
constexpr std::uint8_t kVersion = 1;

enum class Kind : std::uint8_t {
  kPing,     // `target` is asked to answer
  kAsk,      // the receiver is asked to ping `target`
  kAck,      // `target` has answered what had the stamp `answers`
  kNack,     // the receiver of a kAsk has no answer of `target` yet, and is there itself
  kLeaving,  // the sender ends
};

struct Message {
  Kind kind = Kind::kPing;
  std::uint32_t fleet = 0;  // see fleet_of()
  Number from = 0, target = 0;
  std::uint32_t stamp = 0;    // counts a sender's datagrams within one life of it
  std::uint32_t answers = 0;  // kAck, kNack: the stamp of the kPing or kAsk
  std::uint8_t zone = 0;
  std::uint16_t peers = 0;  // how many the sender is told of
  Incarnation incarnation = 0;
  std::uint32_t digest = 0;  // of all that the sender holds
  std::vector<Record> records;
  bool operator==(const Message&) const = default;
};

struct Datagram {
  std::array<std::uint8_t, kMostBytes> bytes{};
  std::size_t size = 0;
  std::span<const std::uint8_t> view() const { return {bytes.data(), size}; }
};

// Records beyond kMostRecords are left out.
Datagram encode(const Message& message);

enum class Fault {
  kNone,
  kShort,     // shorter than its head, or than the records it announces
  kLong,      // longer than that, or than 256 bytes
  kStrange,   // no datagram of this protocol
  kNewer,     // of a version that is not known here
  kOther,     // of another fleet
  kDamaged,   // its checksum does not fit
  kSenseless  // a kind, state or number that does not exist
};

// What is no message of `fleet` with numbers below `count` changes nothing in `out` that may be used.
Fault decode(std::span<const std::uint8_t> bytes, std::uint32_t fleet, std::size_t count, Message& out);

// XXH32, also of the fleet's name: nodes of two fleets that share addresses by mistake do not mix.
std::uint32_t hash_of(std::span<const std::uint8_t> bytes);
std::uint32_t fleet_of(std::string_view name);

}  // namespace thymewood::membership
