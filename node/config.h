// The node's configuration file. The environment variable RELAY_CONFIG holds its path.
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
  std::size_t memory_bytes = 0;          // memory limit of the process
  std::size_t max_descriptors = 0;       // limit on open file descriptors
  std::size_t max_pending_requests = 0;  // limit on requests that the balancer handles concurrently
  double connect_timeout = 0;            // s
  double server_idle_timeout = 0;  // s; a server may close a connection that has been idle for this long
  Settings settings;
  std::vector<std::string> class_names, tenant_names;  // in the order of `settings`
  ZoneNames zones;
  EndpointList known_endpoints;        // endpoint list known before startup
  StartTimes start_times;              // of `known_endpoints`
  std::optional<PeerAddresses> peers;  // set if the platform permits messages between replicas
};

// The configuration is invalid. what() is a single line that names the field.
class ConfigError : public std::runtime_error {
 public:
  // `key` is the top-level key that holds the error; empty if the file cannot be read or parsed.
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
