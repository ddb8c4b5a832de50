// Tests the queue of records to be piggybacked on datagrams.
#include "gossip_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace thymewood::membership {
namespace {

MemberRecord record_of(int id, Incarnation incarnation = 1) {
  return {static_cast<NodeId>(id), 0, MemberState::kAlive, 0, incarnation};
}

TEST(GossipQueue, TakesRecordsWithTheFewestTransmissionsUpToTheLimit) {
  GossipQueue queue;
  for (int i = 0; i < 5; ++i) queue.add(record_of(i));
  std::map<int, int> transmissions;
  for (int i = 0; i < 100; ++i) {
    for (const MemberRecord& record : queue.take(2, 3, 99)) transmissions[record.id] += 1;
    if (i == 1) {
      queue.add(record_of(7));
      const std::vector<MemberRecord> out = queue.take(1, 3, 99);
      ASSERT_EQ(out.size(), 1u);
      EXPECT_EQ(out[0].id, 7) << "the newest record must be returned first";
      transmissions[7] += 1;
    }
  }
  for (const int id : {0, 1, 2, 3, 4, 7}) EXPECT_EQ(transmissions[id], 3) << id;
  EXPECT_EQ(queue.size(), 0u);
}

TEST(GossipQueue, KeepsOnlyTheNewestRecordOfANode) {
  GossipQueue queue;
  queue.add(record_of(3, 1));
  queue.add(record_of(3, 2));
  EXPECT_EQ(queue.size(), 1u);
  EXPECT_TRUE(queue.take(9, 5, 3).empty()) << "the excluded node's record must not be returned";
  const std::vector<MemberRecord> out = queue.take(9, 5, 4);
  ASSERT_EQ(out.size(), 1u);
  EXPECT_EQ(out[0].incarnation, 2u);
  queue.remove(3);
  EXPECT_EQ(queue.size(), 0u);
}

}  // namespace
}  // namespace thymewood::membership
