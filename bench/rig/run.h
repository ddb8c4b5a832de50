// Runs a scenario on loopback sockets and checks the rules against what was observed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load_generator.h"
#include "model_server.h"
#include "rule_monitor.h"
#include "scenario.h"

namespace thymewood::bench {

struct RunObservations {
  std::vector<ModelServer::Arrival> arrivals;              // at the servers, ordered by time
  std::vector<LoadGenerator::CompletedRequest> completed;  // by the load generator, ordered by completion
  double work = 0, cpu = 0;  // s; work done by the servers, CPU time used by the nodes
  bool nodes_stayed_up = true;
};

// Runs the scenario through nodes started as child processes from `program` or, if `direct`, sends requests
// straight to the servers. The servers run in their own thread, the load generator in the caller's. Throws
// std::runtime_error if the scenario uses features that are not supported on sockets (drains, stops, starts,
// tenants) or if a node does not start listening.
RunObservations run_on_sockets(const Scenario& scenario, const std::string& program, bool direct,
                               const std::string& folder, std::uint64_t seed);

// Checks the rules against the observations of servers and clients, in time order.
RuleMonitor check_rules(const Scenario& scenario, const RunObservations& observations);

}  // namespace thymewood::bench
