// Encodes and decodes the datagrams between nodes (PROTOCOL, Between nodes: up to 256 bytes, a longer one
// voids the run). Pure.
//
// Integers are big-endian. A header of 40 bytes, then up to 15 records of 14 bytes:
//
//    0  "TW"                  12  sender, u16         24  zone, u8            40  records:
//    2  version, u8 = 1       14  target, u16         25  record count, u8        id, u16; reported by, u16
//    3  kind, u8              16  sequence, u32       26  peer count, u16         state, u8; zone, u8
//    4  replica set, u32      20  in reply to, u32    28  incarnation, u64        incarnation, u64
//    8  checksum, u32                                 36  digest, u32
//
// The checksum is XXH32 over everything but itself. It detects corruption and does not authenticate: whoever
// can send from a peer's address can claim anything, so claims about third nodes are never applied at once
// (record_merger.h).
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
  kPing,          // requests an ack of `target`
  kIndirectPing,  // requests the receiver to ping `target`
  kAck,           // `target` has acked the datagram with the sequence number `in_reply_to`
  kNack,          // the receiver of a kIndirectPing is alive and has no ack of `target` yet
  kLeaving,       // the sender shuts down
};

struct Message {
  MessageKind kind = MessageKind::kPing;
  std::uint32_t replica_set_id = 0;  // see replica_set_id_of()
  NodeId sender = 0;
  NodeId target = 0;
  std::uint32_t sequence_number = 0;  // of the sender's datagrams since its start
  std::uint32_t in_reply_to = 0;      // kAck, kNack: the sequence number of the kPing or kIndirectPing
  std::uint8_t zone = 0;
  std::uint16_t peer_count = 0;  // in the sender's configuration
  Incarnation incarnation = 0;
  std::uint32_t digest = 0;  // of the sender's member table
  std::vector<MemberRecord> records;
  bool operator==(const Message&) const = default;
};

struct Datagram {
  std::array<std::uint8_t, kMaxDatagramBytes> bytes{};
  std::size_t size = 0;
  [[nodiscard]] std::span<const std::uint8_t> view() const { return {bytes.data(), size}; }
};

// Records beyond kMaxRecords are omitted.
[[nodiscard]] Datagram encode(const Message& message);

enum class DecodeError {
  kTooShort,            // shorter than the header, or than the announced records
  kTooLong,             // longer than the announced records, or than kMaxDatagramBytes
  kUnknownProtocol,     // no datagram of this protocol
  kUnsupportedVersion,  // of a newer version
  kOtherReplicaSet,     // of a replica set with another name
  kChecksumMismatch,
  kInvalidField  // a kind, state or node id that does not exist
};

// Accepts messages of `replica_set_id` whose sender's id is below `node_count`.
[[nodiscard]] std::variant<Message, DecodeError> decode(std::span<const std::uint8_t> bytes,
                                                        std::uint32_t replica_set_id, std::size_t node_count);

// XXH32.
[[nodiscard]] std::uint32_t hash_of(std::span<const std::uint8_t> bytes);
// Keeps replica sets apart that share addresses by mistake.
[[nodiscard]] std::uint32_t replica_set_id_of(std::string_view name);

}  // namespace thymewood::membership
