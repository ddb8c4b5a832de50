// A node as a machine of the fleet rig, with a configuration for a scenario whose servers it knows from the
// start. The process ends with the object.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "machine.h"
#include "scenario.h"

namespace thymewood::bench {

class NodeProcess {
 public:
  // Starts `program` as the replica of that number, with servers on these ports of 127.0.0.1, and waits
  // until it listens. Its configuration and log go to a folder of its own in `folder`. Throws
  // std::runtime_error when it does not come up.
  NodeProcess(const std::string& program, const std::string& folder, const Scenario& scenario, int replica,
              const std::vector<std::uint16_t>& servers);

  std::uint16_t port() const { return port_; }
  // Whether it still runs.
  bool alive() { return machine_.running(); }
  // CPU seconds that it has used so far; 0 where the system does not tell.
  double cpu_seconds() const { return machine_.usage().cpu_s; }

 private:
  fleet::Machine machine_;
  std::uint16_t port_ = 0;
};

// The configuration, as JSON, of the form that node/config.h reads.
std::string node_config(const Scenario& scenario, int replica, const std::vector<std::uint16_t>& servers);

}  // namespace thymewood::bench
