// A small deployment: servers of the site's first tier, discovery and the configuration of the nodes, which
// the case's script starts.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "client.h"
#include "discovery.h"
#include "ledger.h"
#include "server.h"

namespace review {

// The arguments of a scenario program.
struct Arguments {
  std::string folder, record_path;
  bool has_trouble = true;
};

struct DeploymentOptions {
  int nodes = 1, servers = 10;
  int memory_mb = 192;  // limit of each node
  ServerOptions server;
};

class Deployment {
 public:
  // Writes the configuration files of the nodes into `folder`, and then the file `ready`.
  Deployment(std::string folder, const DeploymentOptions& options, Ledger& ledger);

  // Returns false if a node does not become healthy.
  [[nodiscard]] bool wait_until_healthy() const;
  void start_clients(int per_node);
  void stop_clients() { clients_.clear(); }

  [[nodiscard]] Server& server(std::size_t index) { return *servers_.at(index); }
  [[nodiscard]] int node_port(std::size_t node) const { return ports_.at(node); }
  // The process id of a node, which the script writes into the folder.
  [[nodiscard]] int node_process(std::size_t node) const;
  [[nodiscard]] Discovery& discovery() { return *discovery_; }
  [[nodiscard]] int second_copies() const;  // sent by all servers

 private:
  std::string folder_;
  Ledger& ledger_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::unique_ptr<Discovery> discovery_;
  std::vector<int> ports_;  // of the nodes
  std::vector<std::unique_ptr<Clients>> clients_;
};

// Runs `play` with the arguments `FOLDER RECORD TROUBLE`; returns the exit status of the program.
template <typename Play>
int run_scenario(int argc, char** argv, const Play& play) {
  constexpr int kArguments = 4;
  if (argc != kArguments) return 2;
  return play(Arguments{argv[1], argv[2], std::string(argv[3]) != "0"});
}

}  // namespace review
