#include "gossip_queue.h"

namespace thymewood::membership {

void GossipQueue::add(const MemberRecord& record) {
  remove(record.id);
  const Entry entry{record, 0, ++last_insertion_order_};
  priorities_.insert(priority_of(entry));
  entries_[record.id] = entry;
}

void GossipQueue::remove(NodeId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  priorities_.erase(priority_of(found->second));
  entries_.erase(found);
}

std::vector<MemberRecord> GossipQueue::take(std::size_t max_records, int max_transmissions, NodeId excluded) {
  std::vector<NodeId> chosen;
  for (auto it = priorities_.begin(); it != priorities_.end() && chosen.size() < max_records; ++it) {
    if (const NodeId id = std::get<NodeId>(*it); id != excluded) chosen.push_back(id);
  }
  std::vector<MemberRecord> out;
  out.reserve(chosen.size());
  for (const NodeId id : chosen) {
    Entry& entry = entries_.at(id);
    out.push_back(entry.record);
    priorities_.erase(priority_of(entry));
    entry.transmissions += 1;
    if (entry.transmissions < max_transmissions) {
      priorities_.insert(priority_of(entry));
    } else {
      entries_.erase(id);
    }
  }
  return out;
}

}  // namespace thymewood::membership
