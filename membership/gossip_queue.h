// Queue of records to be disseminated, with the number of times that each was sent.
//
// Infection-style dissemination (SWIM, section 4.1): records are piggybacked on datagrams that are sent
// anyway, those with the fewest transmissions first, each a limited number of times. The queue holds at most
// one record per node: a newer record replaces the older one.
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
  // Queues a record, replacing a queued record of the same node.
  void add(const MemberRecord& record);
  void remove(NodeId id);

  // Returns up to `max_records` records of nodes other than `excluded` and counts one more transmission for
  // each; a record is removed after `max_transmissions`. The cost grows with the number of returned records
  // and only logarithmically with the size of the queue.
  [[nodiscard]] std::vector<MemberRecord> take(std::size_t max_records, int max_transmissions,
                                               NodeId excluded);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    MemberRecord record;
    int transmissions = 0;
    std::uint64_t insertion_order = 0;  // among equal transmission counts, the newest record goes first
  };
  using Priority = std::tuple<int, std::uint64_t, NodeId>;
  static Priority priority_of(const Entry& entry) {
    return {entry.transmissions, ~entry.insertion_order, entry.record.id};
  }
  std::map<NodeId, Entry> entries_;
  std::set<Priority> priorities_;
  std::uint64_t last_insertion_order_ = 0;
};

}  // namespace thymewood::membership
