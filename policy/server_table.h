// The servers that discovery has listed, with what this replica has learned of each.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "concurrency_limit.h"
#include "outlier_detection.h"
#include "random.h"
#include "relative_latency.h"
#include "slow_start.h"
#include "thymewood/balancer.h"

namespace thymewood {

// One server. Each group of state belongs to the module that its type names; the rest belongs to ServerTable.
struct Server {
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  Endpoint endpoint;
  std::uint64_t ring_position = 0;  // the same at every replica
  std::uint64_t listed_in = 0;      // the last endpoint update that listed it
  int in_flight = 0;                // attempts of this replica
  double sent_at_sum = 0;           // over the attempts in flight, of when each was sent
  int references = 0;               // attempts of pending requests, ended ones included
  bool forgotten = false;           // its index is free for another server
  double first_seen_at = 0;

  bool in_subset = false;          // set by Subset
  double accepted_at = kNever;     // when the last request was sent that it answered
  double unconfirmed_at = kNever;  // when it was last used without a valid lease
  double saturated_until =
      0;  // it rejected a request: when an attempt of this replica is likely to have ended
  Throughput throughput;
  OutlierDetector outlier;
  SlowStartBudget slow_start;
  RelativeLatency latency;
};

class ServerTable {
 public:
  // Applies a change or a complete list. A server whose process has restarted starts without history.
  void apply(double now, const EndpointUpdate& update, Random& random);

  Server& operator[](std::size_t index) { return servers_[index]; }
  const Server& operator[](std::size_t index) const { return servers_[index]; }
  // Indexes in use and free ones.
  std::size_t size() const { return servers_.size(); }
  // Servers that are remembered.
  std::size_t known() const { return servers_.size() - free_.size(); }

  // Attempts in flight over all servers.
  int in_flight() const { return in_flight_; }
  // When the first endpoint update arrived; infinite before.
  double first_update_at() const { return first_update_at_; }

  void attempt_started(std::size_t index, double now);
  void attempt_ended(std::size_t index, double sent_at);
  // A pending request no longer refers to the server; a removed server without references is forgotten.
  void release(std::size_t index);

 private:
  void update_server(double now, const Endpoint& endpoint, Random& random);
  Server& find_or_add(const std::string& address);
  void forget_if_removed(std::size_t index);

  std::vector<Server> servers_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::vector<std::size_t> free_;  // indexes of forgotten servers
  std::uint64_t update_count_ = 0;
  int in_flight_ = 0;
  double first_update_at_ = std::numeric_limits<double>::infinity();
};

}  // namespace thymewood
