// One run of a scenario on loopback sockets, and what the rules say of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load_generator.h"
#include "model_server.h"
#include "rule_monitor.h"
#include "scenario.h"

namespace thymewood::bench {

struct Seen {
  std::vector<ModelServer::Came> came;      // by the servers, in the order of their clock
  std::vector<LoadGenerator::Ended> ended;  // by the load, in the order of the answers
  double work = 0, cpu = 0;                 // s; done by the servers, and used by the nodes
  bool nodes_lived = true;
};

// Plays it with nodes as child processes of `program`, or, where `direct`, with the servers asked themselves.
// Servers run in a thread of their own, the load in the client's. Throws std::runtime_error when the scenario
// holds what is not played on sockets (drains, stops, starts, tenants), or a node does not come up.
Seen play_on_sockets(const Scenario& scenario, const std::string& program, bool direct,
                     const std::string& folder, std::uint64_t seed);

// What the logs of both sides say, in the order of time.
RuleMonitor check_rules(const Scenario& scenario, const Seen& seen);

}  // namespace thymewood::bench
