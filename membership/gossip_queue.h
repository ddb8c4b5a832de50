// Records that still have to be disseminated, and how often each was sent. Pure.
//
// Infection-style dissemination (SWIM, section 4.1): records are piggybacked on datagrams that are sent
// anyway, those with the fewest transmissions first, each a limited number of times. There is one record per
// node, as a newer one replaces the older.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "member_record.h"

namespace thymewood::membership {

class GossipQueue {
 public:
  // Queues a record; replaces the one of the same node.
  void add(const MemberRecord& record);
  void remove(NodeId id);

  // Takes up to `max_records` records of nodes other than `excluded`. Each counts as transmitted once more
  // and is dropped after `max_transmissions`. The cost depends on the number of records taken, not on the
  // queue's size.
  [[nodiscard]] std::vector<MemberRecord> take(std::size_t max_records, int max_transmissions,
                                               NodeId excluded);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    MemberRecord record;
    int transmissions = 0;
    std::uint64_t order = 0;  // newest first among equal counts
  };
  using Priority = std::tuple<int, std::uint64_t, NodeId>;
  static Priority priority_of(const Entry& entry) {
    return {entry.transmissions, ~entry.order, entry.record.id};
  }
  std::map<NodeId, Entry> entries_;
  std::set<Priority> priorities_;
  std::uint64_t order_ = 0;
};

}  // namespace thymewood::membership
