// A load-balancer node: its parts, connected to each other, and its life from the start to the end of its
// graceful shutdown.
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

// The node cannot start; what() is one line.
class StartupError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class LoadBalancerNode {
 public:
  // Throws std::invalid_argument when no balancer can work with the settings.
  LoadBalancerNode(boost::asio::io_context& io, const Clock& clock, Config config,
                   operators::ReplicaSetOptions replica_set, MemoryBudget& message_budget);

  // Throws StartupError when an address cannot be listened at.
  void start();
  // Reads the configuration file again and follows discovery to its new address; nothing else changes. A file
  // that cannot be read changes nothing.
  void reload(const std::string& path);
  // Shuts down gracefully, then stops the event loop.
  void shut_down();
  // After an exception in a handler.
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
  std::unique_ptr<Peers> peers_;  // null where replicas exchange no messages
  boost::asio::signal_set report_signals_;
};

}  // namespace thymewood::node
