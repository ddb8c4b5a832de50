#include "member_table.h"

#include <array>

#include "codec.h"

namespace thymewood::membership {
namespace {

// Excludes suspicions, because they resolve without synchronizing tables. Also excludes the difference
// between failed and left: a node that missed the leave announcement marks the leaving node as failed.
std::uint32_t digest_of(const MemberRecord& record) {
  constexpr std::size_t kBitsPerByte = 8;
  constexpr std::size_t kIncarnationOffset = 3;
  std::array<std::uint8_t, kIncarnationOffset + sizeof record.incarnation> bytes{};
  bytes[0] = static_cast<std::uint8_t>(record.id);
  bytes[1] = static_cast<std::uint8_t>(record.id >> kBitsPerByte);
  bytes[2] = static_cast<std::uint8_t>(record.state < MemberState::kFailed ? 0 : 1);
  for (std::size_t i = 0; i < sizeof record.incarnation; ++i)
    bytes[kIncarnationOffset + i] = static_cast<std::uint8_t>(record.incarnation >> (kBitsPerByte * i));
  return xxh32(bytes);
}

}  // namespace

MemberTable::MemberTable(const LocalNode& local) : members_(local.peer_count), local_id_(local.id) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    MemberRecord& record = members_[i].record;
    record.id = record.reported_by = static_cast<NodeId>(i);
  }
  MemberRecord& own = members_[local.id].record;
  own.zone = local.zone;
  own.incarnation = incarnation_of(local.start_ms);
}

void MemberTable::replace(const MemberRecord& record) {
  Member& member = members_[record.id];
  member.suspicion.reset();
  member.record = record;
  cached_digest_.reset();
}

void MemberTable::raise_local_incarnation(Incarnation incarnation) {
  members_[local_id_].record.incarnation = incarnation;
  cached_digest_.reset();
}

void MemberTable::set_local_left() { members_[local_id_].record.state = MemberState::kLeft; }

// Sums the record digests, so that the result does not depend on the order of events.
std::uint32_t MemberTable::digest() {
  if (cached_digest_) return *cached_digest_;
  std::uint32_t sum = 0;
  for (const Member& member : members_) {
    if (member.record.incarnation > 0) sum += digest_of(member.record);
  }
  cached_digest_ = sum;
  return sum;
}

}  // namespace thymewood::membership
