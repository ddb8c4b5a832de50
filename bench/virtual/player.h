// Runs a scenario in virtual time: replicas of the decision module against modelled servers, thousands of
// times faster than on sockets and the same every time. What a node adds on sockets (connection attempt, the
// loop's delay) is not here; the rig measures that.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "histogram.h"
#include "scenario.h"

namespace thymewood::bench {

enum class Front {
  kModule,  // the replicas decide
  kDirect,  // no replicas: each request goes to the next server in turn, and waits there as long as it may
  // No replicas: knows at every moment what each server can do and holds, and picks the one where a mean
  // request would end first; rejects where that is past the latency objective. It knows no request's own
  // work, and sends none twice.
  kOracle,
};

// One second of a run.
struct Second {
  double offered = 0, in_time = 0, served = 0, rejected = 0, unsent = 0, failed = 0;  // requests
  double capacity = 0;      // requests that the servers that are up could have ended
  double in_flight = 0;     // at its end, at the servers, over all replicas
  double idle_latency = 0;  // the first replica's figures at its end, see Balancer::concurrency_limit
  double concurrency_limit = 0, probed_bound = 0;
};

// What one tenant wanted, while figures count.
struct TenantPart {
  double offered = 0, served = 0, in_time = 0;
};

struct Report {
  // Of what was due while figures count (see Scenario::settle).
  double offered = 0, in_time = 0, served = 0, rejected = 0, failed = 0;
  double unsent = 0;    // of the rejected, those that never left the node: the concurrency limit was reached
  double possible = 0;  // of these, what the servers could have served at most, at any moment
  double client_attempts = 0,
         attempts = 0;              // by clients, and by replicas at servers, for all that was offered
  double second_tier = 0;           // by servers' own replicas at the second tier, for all that was offered
  double work = 0, wasted = 0;      // s of work done, and of it for no answer that came in time
  std::vector<TenantPart> tenants;  // by their places in the file; one for all without tenants
  Histogram latency;                // of served requests, from when each was due
  std::vector<Second> seconds;      // the complete run
  std::uint64_t broken = 0;         // rules, in the complete run
  std::vector<std::string> breaks;
  std::vector<std::string> log;  // what the replicas logged, the first lines

  // What the oracle that knows the capacity would have served in time, against what was.
  double kept() const { return possible > 0 ? in_time / possible : 1; }
  // How much of one thing that is wanted the replicas make at the servers.
  double amplification() const { return offered > 0 ? attempts / offered : 0; }
  double second_amplification() const { return offered > 0 ? second_tier / offered : 0; }
  double unsent_share() const { return offered > 0 ? unsent / offered : 0; }
};

Report play(const Scenario& scenario, Front front, std::uint64_t seed);

}  // namespace thymewood::bench
