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
  explicit Writer(Datagram& datagram) : datagram_(datagram) {}
  template <class T>
  void write(T value) {
    for (std::size_t i = sizeof(T); i-- > 0;)
      datagram_.bytes[datagram_.size++] =
          static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (kBitsPerByte * i));
  }

 private:
  Datagram& datagram_;
};

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}
  template <class T>
  T read() {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = (value << kBitsPerByte) | bytes_[offset_++];
    return static_cast<T>(value);
  }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t offset_ = 0;
};

void write_record(Writer& writer, const MemberRecord& record) {
  writer.write(record.id);
  writer.write(record.reported_by);
  writer.write(static_cast<std::uint8_t>(record.state));
  writer.write(record.zone);
  writer.write(record.incarnation);
}

// Returns std::nullopt if the state is unknown.
std::optional<MemberRecord> read_record(Reader& reader) {
  MemberRecord out;
  out.id = reader.read<NodeId>();
  out.reported_by = reader.read<NodeId>();
  const auto state = reader.read<std::uint8_t>();
  if (state > static_cast<std::uint8_t>(MemberState::kLeft)) return std::nullopt;
  out.state = static_cast<MemberState>(state);
  out.zone = reader.read<std::uint8_t>();
  out.incarnation = reader.read<Incarnation>();
  return out;
}

// Hashes all bytes except the checksum field.
std::uint32_t checksum_of(std::span<const std::uint8_t> bytes) {
  const std::uint32_t head_hash = XXH32(bytes.data(), kChecksumOffset, 0);
  const std::size_t tail_offset = kChecksumOffset + sizeof(std::uint32_t);
  return XXH32(bytes.data() + tail_offset, bytes.size() - tail_offset, head_hash);
}

}  // namespace

std::uint32_t xxh32(std::span<const std::uint8_t> bytes) { return XXH32(bytes.data(), bytes.size(), 0); }

std::uint32_t replica_set_id_of(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

Datagram encode(const Message& message) {
  Datagram out;
  Writer writer(out);
  const std::size_t record_count = std::min(message.records.size(), kMaxRecords);
  writer.write(kMagic[0]);
  writer.write(kMagic[1]);
  writer.write(kProtocolVersion);
  writer.write(static_cast<std::uint8_t>(message.kind));
  writer.write(message.replica_set_id);
  writer.write(std::uint32_t{0});  // placeholder for the checksum
  writer.write(message.sender);
  writer.write(message.target);
  writer.write(message.sequence_number);
  writer.write(message.in_reply_to);
  writer.write(message.zone);
  writer.write(static_cast<std::uint8_t>(record_count));
  writer.write(message.peer_count);
  writer.write(message.incarnation);
  writer.write(message.digest);
  for (std::size_t i = 0; i < record_count; ++i) write_record(writer, message.records[i]);
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
  const auto first_magic_byte = reader.read<std::uint8_t>();
  const auto second_magic_byte = reader.read<std::uint8_t>();
  if (first_magic_byte != kMagic[0] || second_magic_byte != kMagic[1]) return DecodeError::kUnknownProtocol;
  if (reader.read<std::uint8_t>() != kProtocolVersion) return DecodeError::kUnsupportedVersion;
  const auto kind = reader.read<std::uint8_t>();
  Message out;
  out.replica_set_id = reader.read<std::uint32_t>();
  if (out.replica_set_id != replica_set_id) return DecodeError::kReplicaSetMismatch;
  if (reader.read<std::uint32_t>() != checksum_of(bytes)) return DecodeError::kChecksumMismatch;
  out.sender = reader.read<NodeId>();
  out.target = reader.read<NodeId>();
  out.sequence_number = reader.read<std::uint32_t>();
  out.in_reply_to = reader.read<std::uint32_t>();
  out.zone = reader.read<std::uint8_t>();
  const auto record_count = reader.read<std::uint8_t>();
  out.peer_count = reader.read<std::uint16_t>();
  out.incarnation = reader.read<Incarnation>();
  out.digest = reader.read<std::uint32_t>();
  const std::size_t expected_size = kHeaderBytes + record_count * kRecordBytes;
  if (bytes.size() < expected_size) return DecodeError::kTooShort;
  if (bytes.size() > expected_size) return DecodeError::kTooLong;
  if (kind > static_cast<std::uint8_t>(MessageKind::kLeaving)) return DecodeError::kInvalidField;
  if (out.sender >= node_count || out.incarnation == 0) return DecodeError::kInvalidField;
  out.kind = static_cast<MessageKind>(kind);
  for (std::size_t i = 0; i < record_count; ++i) {
    const std::optional<MemberRecord> record = read_record(reader);
    if (!record) return DecodeError::kInvalidField;
    out.records.push_back(*record);
  }
  return out;
}

}  // namespace thymewood::membership
