#include "codec.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace thymewood::membership {
namespace {

constexpr std::uint8_t kMagic[] = {'T', 'W'};
constexpr std::size_t kChecksumAt = 8;
constexpr int kByte = 8;

class Writer {
 public:
  explicit Writer(Datagram& to) : to_(to) {}
  template <class T>
  void put(T value) {
    for (std::size_t i = sizeof(T); i-- > 0;)
      to_.bytes[to_.size++] = static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (kByte * i));
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
    for (std::size_t i = 0; i < sizeof(T); ++i) value = (value << kByte) | from_[at_++];
    return static_cast<T>(value);
  }

 private:
  std::span<const std::uint8_t> from_;
  std::size_t at_ = 0;
};

// Over all but itself.
std::uint32_t checksum_of(std::span<const std::uint8_t> bytes) {
  const std::uint32_t head = XXH32(bytes.data(), kChecksumAt, 0);
  const std::size_t after = kChecksumAt + sizeof(std::uint32_t);
  return XXH32(bytes.data() + after, bytes.size() - after, head);
}

}  // namespace

const char* name_of(State state) {
  switch (state) {
    case State::kAlive:
      return "alive";
    case State::kSuspect:
      return "suspect";
    case State::kFailed:
      return "failed";
    case State::kLeft:
      return "left";
  }
  return "unknown";
}

std::uint32_t hash_of(std::span<const std::uint8_t> bytes) { return XXH32(bytes.data(), bytes.size(), 0); }

std::uint32_t fleet_of(std::string_view name) { return XXH32(name.data(), name.size(), 0); }

Datagram encode(const Message& m) {
  Datagram out;
  Writer to(out);
  const std::size_t records = std::min(m.records.size(), kMostRecords);
  to.put(kMagic[0]);
  to.put(kMagic[1]);
  to.put(kVersion);
  to.put(static_cast<std::uint8_t>(m.kind));
  to.put(m.fleet);
  to.put(std::uint32_t{0});
  to.put(m.from);
  to.put(m.target);
  to.put(m.stamp);
  to.put(m.answers);
  to.put(m.zone);
  to.put(static_cast<std::uint8_t>(records));
  to.put(m.peers);
  to.put(m.incarnation);
  to.put(m.digest);
  for (std::size_t i = 0; i < records; ++i) {
    const Record& r = m.records[i];
    to.put(r.number);
    to.put(r.by);
    to.put(static_cast<std::uint8_t>(r.state));
    to.put(r.zone);
    to.put(r.incarnation);
  }
  const std::uint32_t sum = checksum_of(out.view());
  for (std::size_t i = 0; i < sizeof sum; ++i)
    out.bytes[kChecksumAt + i] = static_cast<std::uint8_t>(sum >> (kByte * (sizeof sum - 1 - i)));
  return out;
}

Fault decode(std::span<const std::uint8_t> bytes, std::uint32_t fleet, std::size_t count, Message& out) {
  if (bytes.size() < kHeadBytes) return Fault::kShort;
  if (bytes.size() > kMostBytes) return Fault::kLong;
  Reader from(bytes);
  const auto first = from.take<std::uint8_t>(), second = from.take<std::uint8_t>();
  if (first != kMagic[0] || second != kMagic[1]) return Fault::kStrange;
  if (from.take<std::uint8_t>() != kVersion) return Fault::kNewer;
  const auto kind = from.take<std::uint8_t>();
  out.fleet = from.take<std::uint32_t>();
  if (out.fleet != fleet) return Fault::kOther;
  if (from.take<std::uint32_t>() != checksum_of(bytes)) return Fault::kDamaged;
  out.from = from.take<Number>();
  out.target = from.take<Number>();
  out.stamp = from.take<std::uint32_t>();
  out.answers = from.take<std::uint32_t>();
  out.zone = from.take<std::uint8_t>();
  const auto records = from.take<std::uint8_t>();
  out.peers = from.take<std::uint16_t>();
  out.incarnation = from.take<Incarnation>();
  out.digest = from.take<std::uint32_t>();
  const std::size_t wanted = kHeadBytes + records * kRecordBytes;
  if (bytes.size() < wanted) return Fault::kShort;
  if (bytes.size() > wanted) return Fault::kLong;
  if (kind > static_cast<std::uint8_t>(Kind::kLeaving) || out.from >= count || out.incarnation == 0)
    return Fault::kSenseless;
  out.kind = static_cast<Kind>(kind);
  out.records.clear();
  for (std::size_t i = 0; i < records; ++i) {
    Record r;
    r.number = from.take<Number>();
    r.by = from.take<Number>();
    const auto state = from.take<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(State::kLeft)) return Fault::kSenseless;
    r.state = static_cast<State>(state);
    r.zone = from.take<std::uint8_t>();
    r.incarnation = from.take<Incarnation>();
    out.records.push_back(r);
  }
  return Fault::kNone;
}

}  // namespace thymewood::membership
