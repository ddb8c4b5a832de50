// Divides what the process may use of the machine between its parts.
#pragma once

#include <cstddef>

namespace thymewood::node {

// Descriptors by use. A request that was accepted and finds none left for its attempt can only be rejected,
// so connections to servers have a part of their own.
struct DescriptorLimits {
  std::size_t clients = 0;           // client connections
  std::size_t rejected_clients = 0;  // beyond those: connections that get a rejection and are closed
  std::size_t servers = 0;           // server connections
};

// Of at most `max_descriptors`, or of the process's own limit where that is lower.
[[nodiscard]] DescriptorLimits divide_descriptors(std::size_t max_descriptors);

// The part of the memory that HTTP messages may use.
[[nodiscard]] std::size_t message_memory(std::size_t memory_bytes);

}  // namespace thymewood::node
