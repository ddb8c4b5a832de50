#include "subset.h"

#include <algorithm>
#include <utility>

namespace thymewood {
namespace {

// Servers; enough to spread load while keeping the number of connections low.
constexpr std::size_t kMinSubsetSize = 5;

}  // namespace

// Segments start at evenly spaced ring positions: the numbers of replicas that use any two servers differ by
// at most one, and removing a server shifts each start by at most one position.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> subset;
  if (servers == 0 || replica_count == 0) return subset;
  const std::size_t start = replica_index * servers / replica_count;
  for (std::size_t i = 0; i < std::min(size, servers); ++i) subset.push_back((start + i) % servers);
  return subset;
}

Subset::Subset(const Settings& settings)
    : cross_zone_cost_(settings.cross_zone_cost),
      zone_(settings.zone),
      replica_index_(settings.replica_index),
      replica_count_(settings.replica_count),
      max_replica_count_(settings.replica_count) {}

void Subset::set_replicas(const ReplicaSetChanged& replicas) {
  replica_index_ = replicas.rank;
  replica_count_ = replicas.live_count;
  max_replica_count_ = std::max(replicas.live_count, replicas.max_count);
  min_replicas_per_server_ =
      replicas.is_settling ? kMinReplicasPerServerWhileSettling : kMinReplicasPerServer;
}

// The subset grows if there are few replicas: with a fixed size, some servers would be used by no replica.
std::vector<std::size_t> Subset::own_subset(const std::vector<std::size_t>& from) const {
  const std::size_t index = static_cast<std::size_t>(replica_index_);
  const std::size_t count = static_cast<std::size_t>(replica_count_);
  const std::size_t size =
      std::max(kMinSubsetSize, (min_replicas_per_server_ * from.size() + count - 1) / count);
  std::vector<std::size_t> subset;
  for (const std::size_t position : subset_of(index, count, from.size(), size))
    subset.push_back(from[position]);
  return subset;
}

bool Subset::rebuild(ServerTable& servers) {
  const std::vector<std::size_t> before = std::move(ready_);
  ready_.clear();
  total_weight_ = 0;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].in_subset = false;
    if (servers[i].endpoint.state != EndpointState::kReady) continue;
    ready_.push_back(i);
    total_weight_ += servers[i].endpoint.weight;
  }
  std::sort(ready_.begin(), ready_.end(), [&servers](std::size_t a, std::size_t b) {
    return servers[a].ring_position < servers[b].ring_position;
  });
  const auto first_remote = std::stable_partition(ready_.begin(), ready_.end(),
                                                  [&](std::size_t i) { return !is_remote(servers[i]); });
  members_ = own_subset({ready_.begin(), first_remote});
  local_count_ = members_.size();
  const std::vector<std::size_t> remote = own_subset({first_remote, ready_.end()});
  members_.insert(members_.end(), remote.begin(), remote.end());
  for (const std::size_t i : members_) servers[i].in_subset = true;
  replicas_per_server_ =
      std::max(1.0, static_cast<double>(max_replica_count_) * static_cast<double>(members_.size()) /
                        static_cast<double>(ready_.size()));
  return ready_ != before;
}

}  // namespace thymewood
