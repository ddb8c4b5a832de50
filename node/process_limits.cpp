#include "process_limits.h"

#include <sys/resource.h>

#include <algorithm>

namespace thymewood::node {
namespace {

// For the event loop, discovery, the log, the listener and one spare descriptor.
constexpr std::size_t kReservedDescriptors = 24;
// The rest is for the program, connection state, and memory that the allocator does not return to the system.
constexpr std::size_t kMessageMemoryDivisor = 3;

}  // namespace

DescriptorLimits divide_descriptors(std::size_t max_descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    max_descriptors = std::min<std::size_t>(max_descriptors, limit.rlim_cur);
  }
  const std::size_t available = max_descriptors > 2 * kReservedDescriptors
                                    ? max_descriptors - kReservedDescriptors
                                    : kReservedDescriptors;
  DescriptorLimits limits;
  limits.clients = available / 2;
  limits.rejected_clients = available / 8;
  limits.servers = available - limits.clients - limits.rejected_clients;
  return limits;
}

std::size_t message_memory_limit(std::size_t memory_bytes) { return memory_bytes / kMessageMemoryDivisor; }

}  // namespace thymewood::node
