// Divides the resource limits of the process among its components.
#pragma once

#include <cstddef>

namespace thymewood::node {

// File descriptors by use. Server connections have a separate limit, because a request that was accepted must
// be rejected if no descriptor is left for its attempt.
struct DescriptorLimits {
  std::size_t clients = 0;           // client connections
  std::size_t rejected_clients = 0;  // further client connections, which are rejected and closed
  std::size_t servers = 0;           // server connections
};

// Divides `max_descriptors`, or the process's resource limit if that is lower.
[[nodiscard]] DescriptorLimits divide_descriptors(std::size_t max_descriptors);

// Memory available to HTTP messages, in bytes.
[[nodiscard]] std::size_t message_memory_limit(std::size_t memory_bytes);

}  // namespace thymewood::node
