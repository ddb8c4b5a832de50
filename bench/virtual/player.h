// Runs a scenario in virtual time: replicas of the decision module against simulated servers, thousands of
// times faster than on sockets and deterministic. The overhead of a node on sockets (connecting, event loop
// delay) is not simulated; thymewood_rig measures it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "histogram.h"
#include "scenario.h"

namespace thymewood::bench {

enum class Front {
  kModule,  // replicas of the decision module
  kDirect,  // no replicas: requests go to the servers round robin and wait there until their deadline
  // No replicas: knows each server's current capacity and load, and picks the server where a request of mean
  // work would complete first; rejects the request if that is later than the latency objective. It does not
  // know the work of an individual request, and never retries.
  kOracle,
};

// One second of a run.
struct Second {
  double offered = 0, in_time = 0, served = 0, rejected = 0, shed = 0, failed = 0;  // requests
  double capacity = 0;      // requests that the running servers could have completed
  double in_flight = 0;     // at the end of the second, at the servers, over all replicas
  double idle_latency = 0;  // of the first replica at the end of the second, see Balancer::concurrency_limit
  double concurrency_limit = 0, probed_bound = 0;
};

// Requests of one tenant, after the settling time.
struct TenantPart {
  double offered = 0, served = 0, in_time = 0;
};

struct Report {
  // Counts of the requests that were due after the settling time (see Scenario::settle).
  double offered = 0, in_time = 0, served = 0, rejected = 0, failed = 0;
  double shed = 0;  // rejected requests that were never sent to a server: the concurrency limit was reached
  double achievable = 0;  // of the offered, the most that capacity allowed, summed by second
  double client_attempts = 0,
         attempts = 0;                // by clients, and by replicas at servers, for the offered requests
  double second_tier_attempts = 0;    // attempts by sidecars at the second tier, for the offered requests
  double work = 0, wasted = 0;        // s of work done, and the part of it whose response was not in time
  std::vector<TenantPart> tenants;    // in the order of the file; a single entry if there are no tenants
  Histogram latency;                  // of served requests, from the due time
  std::vector<Second> seconds;        // of the complete run
  std::uint64_t violation_count = 0;  // rule violations in the complete run
  std::vector<std::string> violations;
  std::vector<std::string> log;  // first lines that the replicas logged

  // Requests served in time, as a share of the most that the servers' capacity allowed.
  double goodput_share() const { return achievable > 0 ? in_time / achievable : 1; }
  // Attempts at servers per offered request.
  double amplification() const { return offered > 0 ? attempts / offered : 0; }
  double second_amplification() const { return offered > 0 ? second_tier_attempts / offered : 0; }
  double shed_share() const { return offered > 0 ? shed / offered : 0; }
};

Report play(const Scenario& scenario, Front front, std::uint64_t seed);

}  // namespace thymewood::bench
