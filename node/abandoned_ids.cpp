#include "abandoned_ids.h"

namespace thymewood::node {

void AbandonedIds::add(const std::string& id, double now) {
  if (!ids_.insert(id).second) return;
  by_time_.push_back({now, id});
  if (by_time_.size() > kMaxIds) drop_oldest();
}

bool AbandonedIds::contains(const std::string& id, double now) {
  while (!by_time_.empty() && by_time_.front().at < now - kRetention) drop_oldest();
  return ids_.contains(id);
}

void AbandonedIds::drop_oldest() {
  ids_.erase(by_time_.front().id);
  by_time_.pop_front();
}

}  // namespace thymewood::node
