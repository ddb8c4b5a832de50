// The servers listed by discovery, with the state that this replica keeps for each.
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

// One server. Members of class type belong to the module of their class. ServerTable maintains the others,
// except those from in_subset to saturated_until, which Subset, ServerSelector and Balancer update.
struct Server {
  static constexpr double kNever = -std::numeric_limits<double>::infinity();

  Endpoint endpoint;
  std::uint64_t ring_position = 0;       // position on the subsetting ring, the same at every replica
  std::uint64_t last_listed_update = 0;  // number of the last endpoint update that listed it
  int in_flight = 0;                     // attempts of this replica in flight
  double sent_at_sum = 0;                // sum of the send times of the attempts in flight
  int reference_count = 0;               // attempts of pending requests, including ended ones
  bool slot_is_free = false;             // its index can be reused for another server
  double first_seen_at = 0;

  bool in_subset = false;                   // set by Subset
  double last_answered_sent_at = kNever;    // when the last request that it answered successfully was sent
  double last_unconfirmed_use_at = kNever;  // when it was last selected without a valid lease
  double saturated_until = 0;  // after a rejection: when an attempt of this replica at it has probably ended
  Throughput throughput;
  OutlierDetector outlier;
  SlowStartBudget slow_start;
  RelativeLatency latency;
};

class ServerTable {
 public:
  // Applies a delta or a full list. Resets the state of a server that is new, restarted or listed again after
  // its removal.
  void apply(double now, const EndpointUpdate& update, Random& random);

  Server& operator[](std::size_t index) { return servers_[index]; }
  const Server& operator[](std::size_t index) const { return servers_[index]; }
  // The number of slots, including free ones.
  std::size_t size() const { return servers_.size(); }
  // The number of servers in the table.
  std::size_t known_count() const { return servers_.size() - free_slots_.size(); }

  // Attempts in flight over all servers.
  int in_flight() const { return in_flight_; }
  // When the first endpoint update arrived; infinite before that.
  double first_update_at() const { return first_update_at_; }

  void attempt_started(std::size_t index, double now);
  void attempt_ended(std::size_t index, double sent_at);
  // Drops the reference of an attempt whose request is no longer pending. The slot of a removed server
  // without references is freed.
  void release_reference(std::size_t index);

 private:
  void update_server(double now, const Endpoint& endpoint, Random& random);
  Server& find_or_add(const std::string& address);
  void free_slot_if_unreferenced(std::size_t index);

  std::vector<Server> servers_;
  std::unordered_map<std::string, std::size_t> index_by_address_;
  std::vector<std::size_t> free_slots_;  // indexes of slots that can be reused
  std::uint64_t update_count_ = 0;
  int in_flight_ = 0;
  double first_update_at_ = std::numeric_limits<double>::infinity();
};

}  // namespace thymewood
