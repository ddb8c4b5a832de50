// A load-balancer node: owns and connects its components, and manages its lifecycle from startup to the end
// of its graceful shutdown.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <stdexcept>
#include <string>

#include "clock.h"
#include "config.h"
#include "discovery_watch.h"
#include "dispatcher.h"
#include "frontend.h"
#include "memory_budget.h"
#include "operators_file.h"
#include "peers.h"
#include "process_limits.h"
#include "upstream.h"

namespace thymewood::node {

// The node cannot start. what() is a single line.
class StartupError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class LoadBalancerNode {
 public:
  // Throws std::invalid_argument if the settings are invalid for a balancer.
  LoadBalancerNode(boost::asio::io_context& io, const Clock& clock, Config config,
                   operators::ReplicaSetOptions replica_set, MemoryBudget& message_budget);

  // Throws StartupError if an address cannot be bound.
  void start();
  // Reloads the configuration file and applies only the address of discovery. An invalid or unreadable file
  // is logged and changes nothing.
  void reload(const std::string& path);
  // Shuts down gracefully, then stops the event loop.
  void shut_down();
  // Restarts long-running operations after an exception escaped from an event handler.
  void recover();

 private:
  void listen();
  void start_peers();

  boost::asio::io_context& io_;
  const Clock& clock_;
  Config config_;
  operators::ReplicaSetOptions replica_set_;
  DescriptorLimits descriptors_;
  Upstream upstream_;
  DiscoveryWatch discovery_;
  Dispatcher dispatcher_;
  Frontend frontend_;
  std::unique_ptr<Peers> peers_;  // null if failure detection between replicas is disabled
  boost::asio::signal_set report_signals_;
};

}  // namespace thymewood::node
