// Deterministic subsetting: which of the ready servers this replica sends to.
//
// Replicas take evenly spaced parts of a ring of servers that all of them order alike, so that each server is
// used by about as many replicas as any other. Servers of other zones form a ring of their own.
#pragma once

#include <vector>

#include "server_table.h"
#include "thymewood/balancer.h"

namespace thymewood {

class Subset {
 public:
  explicit Subset(const Settings& settings);

  // The replicas have changed; takes effect with the next rebuild().
  void set_replicas(const ReplicaSetChanged& replicas);
  // Computes the subset anew. Returns whether the ready servers or their order have changed.
  bool rebuild(ServerTable& servers);

  // All servers that are ready, those that need no cross-zone call first.
  const std::vector<std::size_t>& ready() const { return ready_; }
  // Those that this replica sends to, in the same order.
  const std::vector<std::size_t>& members() const { return members_; }
  // How many of members() need no cross-zone call; they come first.
  std::size_t local_count() const { return local_count_; }
  // Whether calls to the server cross zones at a cost.
  bool is_remote(const Server& server) const { return cross_zone_cost_ > 0 && server.endpoint.zone != zone_; }
  double total_weight() const { return total_weight_; }
  // Replicas that send to the same server.
  double replicas_per_server() const { return replicas_per_server_; }
  int replica_count() const { return replica_count_; }

 private:
  std::vector<std::size_t> own_part(const std::vector<std::size_t>& from) const;

  // Replicas that use each server, at least: few replicas have large subsets.
  static constexpr std::size_t kCoverage = 2;
  // ... and while replicas may count each other differently: a rank that is off by two leaves no server
  // without a replica.
  static constexpr std::size_t kSettlingCoverage = 5;

  double cross_zone_cost_;
  int zone_;
  int replica_index_;
  int replica_count_;
  int max_replica_count_;  // see ReplicaSetChanged::max_count
  std::size_t coverage_ = kCoverage;
  std::vector<std::size_t> ready_;
  std::vector<std::size_t> members_;
  std::size_t local_count_ = 0;
  double total_weight_ = 0;  // of ready()
  double replicas_per_server_ = 1;
};

}  // namespace thymewood
