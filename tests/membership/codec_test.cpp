// Tests for the datagram codec: round trips, the size limit, the wire layout and the rejection of invalid
// datagrams.
#include "codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>

namespace thymewood::membership {
namespace {

constexpr std::size_t kNodeCount = 400;

Message random_message(std::mt19937_64& random, std::size_t records) {
  Message m;
  m.kind = static_cast<MessageKind>(random() % 5);
  m.replica_set_id = replica_set_id_of("here");
  m.sender = static_cast<NodeId>(random() % kNodeCount);
  m.target = static_cast<NodeId>(random());
  m.sequence_number = static_cast<std::uint32_t>(random());
  m.in_reply_to = static_cast<std::uint32_t>(random());
  m.zone = static_cast<std::uint8_t>(random());
  m.peer_count = static_cast<std::uint16_t>(random());
  m.incarnation = random() | 1;
  m.digest = static_cast<std::uint32_t>(random());
  for (std::size_t i = 0; i < records; ++i)
    m.records.push_back({static_cast<NodeId>(random()), static_cast<NodeId>(random()),
                         static_cast<MemberState>(random() % 4), static_cast<std::uint8_t>(random()),
                         random()});
  return m;
}

// Stores the decoded message in `out`. Returns std::nullopt on success, otherwise the error.
std::optional<DecodeError> try_decode(std::span<const std::uint8_t> bytes, Message& out,
                                      std::string_view replica_set = "here") {
  const std::variant<Message, DecodeError> decoded =
      decode(bytes, replica_set_id_of(replica_set), kNodeCount);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) return *error;
  out = std::get<Message>(decoded);
  return std::nullopt;
}

// Encodes the message, then modifies its bytes without updating the checksum.
Datagram encode_and_modify(const Message& m, const std::function<void(Datagram&)>& change) {
  Datagram out = encode(m);
  change(out);
  return out;
}

TEST(Codec, RoundTripsEveryMessage) {
  std::mt19937_64 random(1);
  for (std::size_t i = 0; i < 2000; ++i) {
    const Message m = random_message(random, i % (kMaxRecords + 1));
    const Datagram d = encode(m);
    EXPECT_LE(d.size, kMaxDatagramBytes);
    Message decoded;
    ASSERT_EQ(try_decode(d.view(), decoded), std::nullopt);
    ASSERT_EQ(decoded, m);
  }
}

TEST(Codec, OmitsRecordsBeyondTheDatagramLimit) {
  std::mt19937_64 random(2);
  Message m = random_message(random, 60);
  const Datagram d = encode(m);
  EXPECT_LE(d.size, kMaxDatagramBytes);
  EXPECT_GT(d.size + kRecordBytes, kMaxDatagramBytes) << "another record would fit";
  Message decoded;
  ASSERT_EQ(try_decode(d.view(), decoded), std::nullopt);
  m.records.resize(kMaxRecords);
  EXPECT_EQ(decoded, m);
}

// The expected bytes are written out by hand because nodes of other versions depend on the layout.
TEST(Codec, EncodesTheDocumentedLayout) {
  Message m;
  m.kind = MessageKind::kIndirectPing;
  m.replica_set_id = 0x01020304;
  m.sender = 0x0506;
  m.target = 0x0708;
  m.sequence_number = 0x090A0B0C;
  m.in_reply_to = 0x0D0E0F10;
  m.zone = 0x11;
  m.peer_count = 0x1213;
  m.incarnation = 0x1415161718191A1B;
  m.digest = 0x1C1D1E1F;
  m.records.push_back({0x2021, 0x2223, MemberState::kFailed, 0x25, 0x262728292A2B2C2D});
  const Datagram d = encode(m);
  const std::vector<std::uint8_t> head{'T', 'W', 1, 1, 1, 2, 3, 4};
  EXPECT_TRUE(std::equal(head.begin(), head.end(), d.bytes.begin()));
  const std::vector<std::uint8_t> tail{5,    6,    7,    8,    9,    0xA,  0xB,  0xC,  0xD,  0xE,  0xF,
                                       0x10, 0x11, 1,    0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0x19,
                                       0x1A, 0x1B, 0x1C, 0x1D, 0x1E, 0x1F, 0x20, 0x21, 0x22, 0x23, 2,
                                       0x25, 0x26, 0x27, 0x28, 0x29, 0x2A, 0x2B, 0x2C, 0x2D};
  ASSERT_EQ(d.size, 12 + tail.size());
  EXPECT_TRUE(std::equal(tail.begin(), tail.end(), d.bytes.begin() + 12));
}

TEST(Codec, ReportsTheReasonForEachInvalidDatagram) {
  std::mt19937_64 random(3);
  const Message m = random_message(random, 3);
  Message out;
  const Datagram valid = encode(m);
  EXPECT_EQ(try_decode({}, out), DecodeError::kTooShort);
  EXPECT_EQ(try_decode(valid.view().first(kHeaderBytes - 1), out), DecodeError::kTooShort);
  std::vector<std::uint8_t> oversized(valid.bytes.begin(), valid.bytes.end());
  oversized.resize(kMaxDatagramBytes + 1);
  EXPECT_EQ(try_decode(oversized, out), DecodeError::kTooLong);
  EXPECT_EQ(try_decode(encode_and_modify(m, [](Datagram& d) { d.bytes[0] = 'X'; }).view(), out),
            DecodeError::kUnknownProtocol);
  EXPECT_EQ(
      try_decode(encode_and_modify(m, [](Datagram& d) { d.bytes[2] = kProtocolVersion + 1; }).view(), out),
      DecodeError::kUnsupportedVersion);
  EXPECT_EQ(try_decode(valid.view(), out, "there"), DecodeError::kReplicaSetMismatch);
  EXPECT_EQ(try_decode(valid.view().first(valid.size - 1), out), DecodeError::kChecksumMismatch)
      << "the last record is truncated";
  Message unknown_sender = m;
  unknown_sender.sender = kNodeCount;
  EXPECT_EQ(try_decode(encode(unknown_sender).view(), out), DecodeError::kInvalidField);
  Message without_incarnation = m;
  without_incarnation.incarnation = 0;
  EXPECT_EQ(try_decode(encode(without_incarnation).view(), out), DecodeError::kInvalidField);
  Message invalid = m;
  invalid.kind = static_cast<MessageKind>(9);
  EXPECT_EQ(try_decode(encode(invalid).view(), out), DecodeError::kInvalidField);
  invalid = m;
  invalid.records[1].state = static_cast<MemberState>(4);
  EXPECT_EQ(try_decode(encode(invalid).view(), out), DecodeError::kInvalidField);
}

TEST(Codec, DetectsEverySingleBitError) {
  std::mt19937_64 random(4);
  const Datagram valid = encode(random_message(random, 5));
  for (std::size_t bit = 0; bit < valid.size * 8; ++bit) {
    Datagram corrupted = valid;
    corrupted.bytes[bit / 8] ^= static_cast<std::uint8_t>(1 << (bit % 8));
    Message out;
    ASSERT_NE(try_decode(corrupted.view(), out), std::nullopt) << "bit " << bit;
  }
}

TEST(Codec, RejectsRandomBytes) {
  std::mt19937_64 random(5);
  for (int i = 0; i < 20000; ++i) {
    std::vector<std::uint8_t> random_bytes(random() % 300);
    for (std::uint8_t& byte : random_bytes) byte = static_cast<std::uint8_t>(random());
    if (i % 2 == 0 && random_bytes.size() > 3) {
      random_bytes[0] = 'T';
      random_bytes[1] = 'W';
      random_bytes[2] = kProtocolVersion;
    }
    Message out;
    ASSERT_NE(try_decode(random_bytes, out), std::nullopt);
  }
}

}  // namespace
}  // namespace thymewood::membership
