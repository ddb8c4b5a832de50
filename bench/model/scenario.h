// A scenario as a file describes it: the load, the servers and the changes during the run. The simulation in
// virtual time and the rig on sockets read the same files; bench/scenarios/README.md lists every key.
//
// All times are in seconds since the start of the scenario. Rates are requests per second over all replicas.
#pragma once

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "fleet_tables.h"
#include "random.h"
#include "server_model.h"
#include "thymewood/balancer.h"

namespace thymewood::bench {

// The service time of a request class on an idle server of speed 1.
struct Service {
  enum class Form { kConstant, kExponential, kLognormal, kBimodal };
  Form form = Form::kExponential;
  double mean = 0.02;  // s; kBimodal: the constant time of the fast mode
  double cv = 1;       // kLognormal: coefficient of variation (standard deviation / mean)
  double slow = 0;     // s; kBimodal: the constant time of the slow mode
  double slow_share = 0;

  double draw(Random& random) const;
  double expected() const;
};

struct LoadClass {
  std::string name;
  double share = 1;       // of the requests, relative to the shares of other classes
  RequestClass settings;  // configuration of the node
  Service service;
};

struct LoadTenant {
  std::string name;
  double share = 1;
  std::optional<double> quota;  // requests per second; configuration of the node
};

// The rate is `rate` from `at` on; with `ramp` it changes linearly to it from the previous step on.
struct LoadStep {
  double at = 0, rate = 0;
  bool ramp = false;
};

// Clients in a closed loop: each sends its next request `think` after the answer to the last one. Each client
// uses one replica.
struct ClosedLoop {
  int count = 0;
  double from = 0, to = std::numeric_limits<double>::infinity();
  double think = 0;
  double after_refusal = 0;  // s; delay after a rejection; negative: the Retry-After of the answer
};

struct Change {
  enum class What {
    kSlow,
    kDrain,
    kStop,
    kStart,
    kFail,    // `part` of the calls fail at once, without work
    kMute,    // `part` of the calls are accepted and never answered; connections stay open
    kRestart  // a replica of the node ends and starts again without state after `down`
  };
  double at = 0;
  What what = What::kSlow;
  std::size_t first = 0, last = 0;  // range of servers, inclusive
  double factor = 1;                // kSlow: multiplies service times from now on
  double notify_delay = 0;          // s; delay until the replicas are notified
  double part = 1;                  // kFail, kMute: fraction of the calls; 0 ends the fault
  bool backends = false;            // `first` and `last` refer to servers of the second tier
  int replica = 0;                  // kRestart
  double down = 0;                  // s; kRestart
};

// A tenant that sends `rate` requests per second in addition to the load.
struct Flood {
  std::size_t tenant = 0;
  double at = 0, lasts = std::numeric_limits<double>::infinity();
  double rate = 0;
  int replica = -1;  // all requests go to this replica; -1: spread like the other load
};

struct ScenarioServer {
  Capacity capacity;
  int zone = 0, cell = 0;
  double weight = 1;
  bool up = true;  // at the start
};

struct Scenario {
  std::string name, title;
  double seconds = 30;
  double settle = 5;  // s excluded from the results, at the start and after each change
  int replicas = 1;
  double net = 0.0002;  // s; one-way latency replica to server and client to replica
  int max_attempts = 3;
  double max_retry_after = 1;
  double slow_start_min_capacity = 0.3, slow_start_window = 0;  // settings of the replicas
  double over_quota_weight = 1;
  std::vector<LoadClass> classes;
  std::vector<LoadTenant> tenants;  // empty: requests have no tenants
  std::vector<ScenarioServer> servers;
  std::vector<LoadStep> load;
  std::vector<ClosedLoop> closed_loops;
  std::vector<Change> changes;
  std::vector<Flood> floods;
  ClientBehavior client_behavior;
  Chain chain;
  std::vector<ScenarioServer> backends;  // the second tier
  // Supported only when the scenario runs on a fleet of processes.
  std::vector<int> node_zones;  // by replica; all 0 if there is no [[node]]
  std::vector<LinkRule> links;
  std::vector<Fault> faults;
  DiscoveryDelays discovery;
  bool peers = false;                // nodes can send each other datagrams
  std::string operators;             // the operators file of each node; empty: none
  double view_convergence_time = 0;  // s after the last change until all views must be correct; 0: unchecked
  std::string clients_at;            // "FILE:LINE: [clients]"; empty if there is no such table
  // "FILE:LINE: TABLE" for each table of the file that needs a fleet of processes.
  std::vector<std::string> fleet_only;

  std::vector<double> settle_after;  // s; times of load steps and changes, each followed by `settle`

  const LoadClass& class_named(const std::string& class_name) const;  // the first class if none matches
  double mean_work() const;        // s; mean over the classes by share, on an idle server of speed 1
  double full_rate() const;        // total capacity, requests per second, of the servers up at the start
  double load_at(double t) const;  // rate of the open loop
  bool counts_at(double t) const;  // whether results at `t` count: outside every `settle` period
  Settings settings(int replica) const;
  Settings sidecar_settings(int server) const;  // for the replica beside a first-tier server
  Topology topology() const;
};

// Reads and validates a file. Throws std::runtime_error with a one-line message: file, line, key and the
// error. `times` multiplies the load, so that one file can be used for a sweep over loads.
Scenario read_scenario(const std::string& path, double times = 1);
Scenario parse_scenario(const std::string& text, const std::string& name, double times = 1);

// Returns the index of a random entry, weighted by the entries' shares; 0 if there are no entries.
template <class Entries>
std::size_t draw_by_share(Random& random, const Entries& entries) {
  double sum = 0;
  for (const auto& entry : entries) sum += entry.share;
  double left = random.unit() * sum;
  for (std::size_t i = 0; i + 1 < entries.size(); ++i) {
    left -= entries[i].share;
    if (left < 0) return i;
  }
  return entries.empty() ? 0 : entries.size() - 1;
}

// The arrivals of the open loop: a Poisson process whose rate follows the load steps.
class Arrivals {
 public:
  Arrivals(const Scenario& scenario, std::uint64_t seed);
  // Returns the first arrival after `t`; infinity if there are no more.
  double after(double t);

 private:
  const Scenario& scenario_;
  double max_rate_ = 0;  // maximum of the load steps
  Random random_;
};

}  // namespace thymewood::bench
