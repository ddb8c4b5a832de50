// Server selection: the least loaded of a few random candidates.
//
// Candidates are the members of the subset that are not ejected, have not been tried for the request and have
// capacity. If too few members of the subset are usable, all ready servers become candidates. If all servers
// are ejected, they probably share a common cause, and ejection is ignored.
#pragma once

#include <optional>
#include <vector>

#include "capacity.h"
#include "endpoint_lease.h"
#include "latency_statistics.h"
#include "pending_requests.h"
#include "random.h"
#include "server_table.h"
#include "slow_start.h"
#include "subset.h"
#include "thymewood/balancer.h"

namespace thymewood {

// The state that selection is based on, owned by the balancer.
struct SelectionInputs {
  const Settings& settings;
  const Subset& subset;
  const Capacity& capacity;
  const SlowStart& slow_start;
  const EndpointLease& lease;
  const LatencyStatistics& latency;
};

// Keeps the last selection and limits the rate at which unconfirmed servers are used.
class ServerSelector {
 public:
  // All references must outlive the selector.
  ServerSelector(const SelectionInputs& inputs, ServerTable& servers, Random& random)
      : inputs_(inputs), servers_(servers), random_(random) {}

  // Returns the server for the request's next attempt, or nothing if none is usable.
  std::optional<std::size_t> select(double now, const PendingRequest& request);

 private:
  // Requirements that can be dropped when too few servers are usable.
  struct Requirements {
    bool not_ejected = true;
    bool not_tried = true;
    bool has_capacity = true;
  };

  bool is_confirmed(double now, const Server& server) const;
  bool is_safe(double now, const PendingRequest& request, const Server& server) const;
  bool slow_start_allows(double now, Server& server) const;
  bool is_usable(double now, std::size_t index, const PendingRequest& request, const Requirements& required);

  bool sample_candidates(double now, const PendingRequest& request);
  bool collect_candidates(double now, const std::vector<std::size_t>& from, const PendingRequest& request,
                          const Requirements& required);
  bool find_candidates(double now, const PendingRequest& request);
  std::size_t choose(double now, const PendingRequest& request);
  std::optional<std::size_t> select_unconfirmed(double now, const PendingRequest& request);

  double relative_latency(double now, const Server& server) const;
  double load_score(double now, const Server& server) const;

  SelectionInputs inputs_;
  ServerTable& servers_;
  Random& random_;
  std::vector<std::size_t> candidates_;
  std::size_t last_selected_ = 0;
  double next_unconfirmed_at_ = 0;
};

}  // namespace thymewood
