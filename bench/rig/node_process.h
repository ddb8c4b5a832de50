// A node process, run as a machine of the fleet rig. Its configuration comes from a scenario and lists the
// servers, so it needs no discovery. The destructor ends the process.
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
  // Starts `program` as replica number `replica`, with servers on the given ports of 127.0.0.1, and waits
  // until it listens. Its configuration and log are written to a subdirectory of `folder`. Throws
  // std::runtime_error if it does not start listening.
  NodeProcess(const std::string& program, const std::string& folder, const Scenario& scenario, int replica,
              const std::vector<std::uint16_t>& servers);

  std::uint16_t port() const { return port_; }
  bool alive() { return machine_.running(); }
  // CPU seconds used so far; 0 where the system does not report them.
  double cpu_seconds() const { return machine_.usage().cpu_s; }

 private:
  fleet::Machine machine_;
  std::uint16_t port_ = 0;
};

// The node's configuration, in the JSON format that node/config.h reads.
std::string node_config(const Scenario& scenario, int replica, const std::vector<std::uint16_t>& servers);

}  // namespace thymewood::bench
