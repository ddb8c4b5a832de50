#include "codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace thymewood::membership {
namespace {

constexpr std::uint8_t kMagic[] = {'T', 'W'};
constexpr std::size_t kChecksumOffset = 8;
constexpr int kBitsPerByte = 8;

class Writer {
 public:
  explicit Writer(Datagram& to) : to_(to) {}
  template <class T>
  void put(T value) {
    for (std::size_t i = sizeof(T); i-- > 0;)
      to_.bytes[to_.size++] =
          static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (kBitsPerByte * i));
  }

 private:
  Datagram& to_;
};

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> from) : from_(from) {}
  template <class T>
  T take() {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = (value << kBitsPerByte) | from_[at_++];
    return static_cast<T>(value);
  }

 private:
  std::span<const std::uint8_t> from_;
  std::size_t at_ = 0;
};

void put_record(Writer& writer, const MemberRecord& record) {
  writer.put(record.id);
  writer.put(record.reported_by);
  writer.put(static_cast<std::uint8_t>(record.state));
  writer.put(record.zone);
  writer.put(record.incarnation);
}

// Nothing where the state does not exist.
std::optional<MemberRecord> take_record(Reader& reader) {
  MemberRecord out;
  out.id = reader.take<NodeId>();
  out.reported_by = reader.take<NodeId>();
  const auto state = reader.take<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(MemberState::kLeft)) return std::nullopt;
  out.state = static_cast<MemberState>(state);
  out.zone = reader.take<std::uint8_t>();
  out.incarnation = reader.take<Incarnation>();
  return out;
}

// Over everything but the checksum itself.
std::uint32_t checksum_of(std::span<const std::uint8_t> bytes) {
  const std::uint32_t before = XXH32(bytes.data(), kChecksumOffset, 0);
  const std::size_t after = kChecksumOffset + sizeof(std::uint32_t);
  return XXH32(bytes.data() + after, bytes.size() - after, before);
}

}  // namespace

std::uint32_t hash_of(std::span<const std::uint8_t> bytes) { return XXH32(bytes.data(), bytes.size(), 0); }

std::uint32_t replica_set_id_of(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

Datagram encode(const Message& message) {
  Datagram out;
  Writer writer(out);
  const std::size_t record_count = std::min(message.records.size(), kMaxRecords);
  writer.put(kMagic[0]);
  writer.put(kMagic[1]);
  writer.put(kProtocolVersion);
  writer.put(static_cast<std::uint8_t>(message.kind));
  writer.put(message.replica_set_id);
  writer.put(std::uint32_t{0});  // the checksum's place
  writer.put(message.sender);
  writer.put(message.target);
  writer.put(message.sequence_number);
  writer.put(message.in_reply_to);
  writer.put(message.zone);
  writer.put(static_cast<std::uint8_t>(record_count));
  writer.put(message.peer_count);
  writer.put(message.incarnation);
  writer.put(message.digest);
  for (std::size_t i = 0; i < record_count; ++i) put_record(writer, message.records[i]);
  const std::uint32_t checksum = checksum_of(out.view());
  for (std::size_t i = 0; i < sizeof checksum; ++i)
    out.bytes[kChecksumOffset + i] =
        static_cast<std::uint8_t>(checksum >> (kBitsPerByte * (sizeof checksum - 1 - i)));
  return out;
}

std::variant<Message, DecodeError> decode(std::span<const std::uint8_t> bytes, std::uint32_t replica_set_id,
                                          std::size_t node_count) {
  if (bytes.size() < kHeaderBytes) return DecodeError::kTooShort;
  if (bytes.size() > kMaxDatagramBytes) return DecodeError::kTooLong;
  Reader reader(bytes);
  const auto first = reader.take<std::uint8_t>();
  const auto second = reader.take<std::uint8_t>();
  if (first != kMagic[0] || second != kMagic[1]) return DecodeError::kUnknownProtocol;
  if (reader.take<std::uint8_t>() != kProtocolVersion) return DecodeError::kUnsupportedVersion;
  const auto kind = reader.take<std::uint8_t>();
  Message out;
  out.replica_set_id = reader.take<std::uint32_t>();
  if (out.replica_set_id != replica_set_id) return DecodeError::kOtherReplicaSet;
  if (reader.take<std::uint32_t>() != checksum_of(bytes)) return DecodeError::kChecksumMismatch;
  out.sender = reader.take<NodeId>();
  out.target = reader.take<NodeId>();
  out.sequence_number = reader.take<std::uint32_t>();
  out.in_reply_to = reader.take<std::uint32_t>();
  out.zone = reader.take<std::uint8_t>();
  const auto record_count = reader.take<std::uint8_t>();
  out.peer_count = reader.take<std::uint16_t>();
  out.incarnation = reader.take<Incarnation>();
  out.digest = reader.take<std::uint32_t>();
  const std::size_t expected_size = kHeaderBytes + record_count * kRecordBytes;
  if (bytes.size() < expected_size) return DecodeError::kTooShort;
  if (bytes.size() > expected_size) return DecodeError::kTooLong;
  if (kind > static_cast<std::uint8_t>(MessageKind::kLeaving)) return DecodeError::kInvalidField;
  if (out.sender >= node_count || out.incarnation == 0) return DecodeError::kInvalidField;
  out.kind = static_cast<MessageKind>(kind);
  for (std::size_t i = 0; i < record_count; ++i) {
    const std::optional<MemberRecord> record = take_record(reader);
    if (!record) return DecodeError::kInvalidField;
    out.records.push_back(*record);
  }
  return out;
}

}  // namespace thymewood::membership
