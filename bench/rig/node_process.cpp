#include "node_process.h"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "node_config.h"

namespace thymewood::bench {
namespace {

constexpr int kDescriptorLimit = 8192;  // high, so that a run reaches some other limit first
constexpr int kMemoryMb = 1024;
constexpr std::chrono::seconds kStartupTimeout{10};

// The port from the node's "listening" log event; 0 if the event has not been logged yet.
std::uint16_t find_listening_port(const std::string& log) {
  std::istringstream in(log);
  for (std::string line; std::getline(in, line) && !in.eof();) {
    if (line.find("event=listening ") == std::string::npos) continue;
    return static_cast<std::uint16_t>(std::stoul(line.substr(line.rfind(':') + 1)));
  }
  return 0;
}

std::string replica_folder(const std::string& folder, int replica) {
  return folder + "/node" + std::to_string(replica);
}

}  // namespace

std::string node_config(const Scenario& s, int replica, const std::vector<std::uint16_t>& servers) {
  fleet::NodeParameters node;
  node.name = "n" + std::to_string(replica);
  node.listen = "127.0.0.1:0";
  node.discovery = "127.0.0.1:9";  // nothing listens there: the node uses only the endpoints known at startup
  node.seed = static_cast<std::uint64_t>(replica) + 1;
  node.replica_index = replica;
  node.replica_count = s.replicas;
  node.sockets = kDescriptorLimit;
  node.memory_mb = kMemoryMb;
  node.can_hedge = node.can_cancel = false;  // as in virtual-time runs
  std::ostringstream endpoints_json;
  endpoints_json << R"({"index":1,"snapshot":true,"endpoints":[)";
  for (std::size_t i = 0; i < servers.size(); ++i) {
    endpoints_json << (i == 0 ? "" : ",") << R"({"name":"s)" << i << R"(","address":"127.0.0.1:)"
                   << servers[i] << R"(","status":"up","group":)" << s.servers[i].cell << R"(,"weight":)"
                   << s.servers[i].weight << "}";
  }
  endpoints_json << "]}";
  node.initial_endpoints = endpoints_json.str();
  return fleet::node_config(s, node);
}

NodeProcess::NodeProcess(const std::string& program, const std::string& folder, const Scenario& scenario,
                         int replica, const std::vector<std::uint16_t>& servers)
    : machine_({program,
                replica_folder(folder, replica),
                {"RELAY_CONFIG=" + replica_folder(folder, replica) + "/config.json"},
                0,
                ""}) {
  std::ofstream(machine_.folder() + "/config.json") << node_config(scenario, replica, servers);
  std::ofstream(machine_.folder() + "/log", std::ios::trunc).close();
  machine_.start();
  const auto end = std::chrono::steady_clock::now() + kStartupTimeout;
  while (port_ == 0 && alive() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    port_ = find_listening_port(machine_.log());
  }
  if (port_ == 0)
    throw std::runtime_error(program + " did not start listening; see " + machine_.folder() + "/log");
}

}  // namespace thymewood::bench
