// Deterministic subsetting: selects the ready servers that this replica sends to.
//
// All replicas order the servers on the same ring, and each takes one of evenly spaced segments, so that
// every server is used by about the same number of replicas. Servers of other zones form a separate ring.
#pragma once

#include <vector>

#include "server_table.h"
#include "thymewood/balancer.h"

namespace thymewood {

class Subset {
 public:
  explicit Subset(const Settings& settings);

  // Applies a change of the replica set; takes effect with the next rebuild().
  void set_replicas(const ReplicaSetChanged& replicas);
  // Recomputes the subset. Returns whether the ready servers or their order have changed.
  bool rebuild(ServerTable& servers);

  // All ready servers, those that need no cross-zone call first.
  const std::vector<std::size_t>& ready() const { return ready_; }
  // The ready servers that this replica sends to, in the same order.
  const std::vector<std::size_t>& members() const { return members_; }
  // How many of members() need no cross-zone call; they come first.
  std::size_t local_count() const { return local_count_; }
  // Whether calls to the server incur the cross-zone cost.
  bool is_remote(const Server& server) const { return cross_zone_cost_ > 0 && server.endpoint.zone != zone_; }
  double total_weight() const { return total_weight_; }
  // Mean number of replicas that send to the same server; at least 1.
  double replicas_per_server() const { return replicas_per_server_; }
  int replica_count() const { return replica_count_; }

 private:
  std::vector<std::size_t> own_subset(const std::vector<std::size_t>& from) const;

  // Minimum number of replicas that use each server; with few replicas it makes subsets larger.
  static constexpr std::size_t kMinReplicasPerServer = 2;
  // The same while replicas may see different replica sets: even if ranks are off by two, no server is left
  // without a replica.
  static constexpr std::size_t kMinReplicasPerServerWhileSettling = 5;

  double cross_zone_cost_;
  int zone_;
  int replica_index_;
  int replica_count_;
  int max_replica_count_;  // see ReplicaSetChanged::max_count
  std::size_t min_replicas_per_server_ = kMinReplicasPerServer;
  std::vector<std::size_t> ready_;
  std::vector<std::size_t> members_;
  std::size_t local_count_ = 0;
  double total_weight_ = 0;  // of ready()
  double replicas_per_server_ = 1;
};

}  // namespace thymewood
