// Server selection: the least loaded of a few random candidates.
//
// Candidates are the members of the subset that are healthy, were not tried for the request before and have
// capacity. Where too few of the subset are usable, all servers become candidates; where no server is
// healthy, the cause is shared and health does not count.
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

// What selection goes by; each part is owned by the balancer.
struct SelectionInputs {
  const Settings& settings;
  const Subset& subset;
  const Capacity& capacity;
  const SlowStart& slow_start;
  const EndpointLease& lease;
  const LatencyStatistics& latency;
};

// Owns the memory of the last selection and the pace at which unconfirmed servers are used.
class ServerSelector {
 public:
  // All must outlive the selector.
  ServerSelector(const SelectionInputs& inputs, ServerTable& servers, Random& random)
      : in_(inputs), servers_(servers), random_(random) {}

  // The server for the request's next attempt, if any may be used.
  std::optional<std::size_t> select(double now, const PendingRequest& request);

 private:
  // What a candidate has to fulfill beside what every one has to.
  struct Requirements {
    bool not_ejected = true;
    bool not_tried = true;
    bool has_capacity = true;
  };

  bool is_confirmed(double now, const Server& server) const;
  bool is_safe(double now, const PendingRequest& request, const Server& server) const;
  bool slow_start_allows(double now, Server& server) const;
  bool is_usable(double now, std::size_t index, const PendingRequest& request, const Requirements& required);

  bool draw_candidates(double now, const PendingRequest& request);
  bool collect_candidates(double now, const std::vector<std::size_t>& from, const PendingRequest& request,
                          const Requirements& required);
  bool find_candidates(double now, const PendingRequest& request);
  std::size_t choose(double now, const PendingRequest& request);
  std::optional<std::size_t> select_unconfirmed(double now, const PendingRequest& request);

  double relative_latency(double now, const Server& server) const;
  double load_score(double now, const Server& server) const;

  SelectionInputs in_;
  ServerTable& servers_;
  Random& random_;
  std::vector<std::size_t> candidates_;
  std::size_t last_selected_ = 0;
  double next_unconfirmed_at_ = 0;
};

}  // namespace thymewood
