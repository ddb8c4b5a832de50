// Encodes and decodes the datagrams that nodes exchange. Does no I/O.
//
// A datagram has at most 256 bytes (PROTOCOL, section "Between nodes"); a longer one invalidates the run.
// Integers are big-endian. A 40-byte header is followed by up to 15 records of 14 bytes each:
//
//    0  "TW"                  12  sender, u16         24  zone, u8            40  records:
//    2  version, u8 = 1       14  target, u16         25  record count, u8        id, u16; reported by, u16
//    3  kind, u8              16  sequence, u32       26  peer count, u16         state, u8; zone, u8
//    4  replica set, u32      20  in reply to, u32    28  incarnation, u64        incarnation, u64
//    8  checksum, u32                                 36  digest, u32
//
// The checksum is the XXH32 hash of all other bytes. It detects corruption but does not authenticate the
// sender: whoever can send from a peer's address can claim anything. Claims about third nodes are therefore
// never applied immediately (see record_merger.h).
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "member_record.h"

namespace thymewood::membership {

constexpr std::size_t kMaxDatagramBytes = 256;
constexpr std::size_t kHeaderBytes = 40;
constexpr std::size_t kRecordBytes = 14;
constexpr std::size_t kMaxRecords = (kMaxDatagramBytes - kHeaderBytes) / kRecordBytes;
constexpr std::uint8_t kProtocolVersion = 1;

enum class MessageKind : std::uint8_t {
  kPing,          // asks `target` for an ack
  kIndirectPing,  // asks the receiver to ping `target` on behalf of the sender
  kAck,           // `target` acknowledged the ping with sequence number `in_reply_to`
  kNack,          // the receiver of a kIndirectPing is alive but has no ack from `target` yet
  kLeaving,       // the sender is shutting down
};

struct Message {
  MessageKind kind = MessageKind::kPing;
  std::uint32_t replica_set_id = 0;  // hash of the replica set name, see replica_set_id_of()
  NodeId sender = 0;
  NodeId target = 0;
  std::uint32_t sequence_number = 0;  // incremented with each datagram since the sender started
  std::uint32_t in_reply_to = 0;      // kAck, kNack, kIndirectPing: sequence number of the requester's ping
  std::uint8_t zone = 0;
  std::uint16_t peer_count = 0;  // number of peers in the sender's configuration
  Incarnation incarnation = 0;
  std::uint32_t digest = 0;  // digest of the sender's member table
  std::vector<MemberRecord> records;
  bool operator==(const Message&) const = default;
};

struct Datagram {
  std::array<std::uint8_t, kMaxDatagramBytes> bytes{};
  std::size_t size = 0;
  [[nodiscard]] std::span<const std::uint8_t> view() const { return {bytes.data(), size}; }
};

// Encodes at most kMaxRecords records; further ones are omitted.
[[nodiscard]] Datagram encode(const Message& message);

enum class DecodeError {
  kTooShort,            // shorter than the header or than its record count implies
  kTooLong,             // longer than its record count implies or than kMaxDatagramBytes
  kUnknownProtocol,     // does not start with the magic bytes "TW"
  kUnsupportedVersion,  // a version other than kProtocolVersion
  kReplicaSetMismatch,  // sent by a node of another replica set
  kChecksumMismatch,
  kInvalidField  // an unknown kind or state, a sender id out of range, or incarnation 0
};

// Accepts only messages with this `replica_set_id` and a sender id below `node_count`.
[[nodiscard]] std::variant<Message, DecodeError> decode(std::span<const std::uint8_t> bytes,
                                                        std::uint32_t replica_set_id, std::size_t node_count);

// XXH32 hash with seed 0.
[[nodiscard]] std::uint32_t xxh32(std::span<const std::uint8_t> bytes);
// Hash of the replica set's name. Lets nodes drop datagrams from another replica set that uses the same
// addresses by mistake.
[[nodiscard]] std::uint32_t replica_set_id_of(std::string_view name);

}  // namespace thymewood::membership
