// The configuration file of a node, which RELAY_CONFIG names.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "clock.h"
#include "endpoint_list.h"
#include "peers.h"
#include "start_times.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address, discovery_address;
  std::uint64_t seed = 0;
  std::size_t memory_bytes = 0;          // that the process may use
  std::size_t max_descriptors = 0;       // that the process may have open
  std::size_t max_pending_requests = 0;  // that the balancer may be given at once
  double connect_timeout = 0;            // s
  double server_idle_timeout = 0;        // s; a server may close a connection that was idle for so long
  Settings settings;
  std::vector<std::string> class_names, tenant_names;  // in the order of the settings
  ZoneNames zones;
  EndpointList known_endpoints;        // from before the start
  StartTimes start_times;              // of those
  std::optional<PeerAddresses> peers;  // where the platform permits messages between replicas
};

// A configuration that cannot be used. what() is one line that names the field.
class ConfigError : public std::runtime_error {
 public:
  // `key`: of the file's top level; empty where the file as a whole cannot be read.
  ConfigError(std::string file, std::string key, std::string reason);
  const std::string& file() const { return file_; }
  const std::string& key() const { return key_; }
  const std::string& reason() const { return reason_; }

 private:
  std::string file_, key_, reason_;
};

// Throws ConfigError.
[[nodiscard]] Config read_config(const std::string& path, const Clock& clock);

}  // namespace thymewood::node
