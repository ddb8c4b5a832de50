// What a node is told at its start: the file that RELAY_CONFIG names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery.h"
#include "peers.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::uint64_t seed = 0;
  std::size_t memory = 0;    // bytes that the process may take
  std::size_t sockets = 0;   // descriptors that the process may hold
  std::size_t max_open = 0;  // requests that the module may be given at once
  double dial_timeout = 0, idle_close = 0;
  Settings settings;
  std::vector<std::string> class_names, tenant_names;  // in the order of the settings
  Directory directory;
  Membership known;
  StartTimes starts;  // of the servers in it
  // Where nodes may talk and it is said how.
  std::optional<PeerAddresses> peers;
};

// Throws std::exception with one line that names the field.
Config read_config(const std::string& path, const Clock& clock);

}  // namespace thymewood::node
