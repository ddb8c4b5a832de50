// A scenario: what comes, what serves it, and what changes meanwhile, as a file describes it. The player in
// virtual time and the rig on sockets read the same files; bench/scenarios/README.md lists every key.
//
// All times are seconds since the scenario began. Rates are requests a second over all replicas.
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

// How long a request of a class takes on an idle server of speed 1.
struct Service {
  enum class Form { kConstant, kExponential, kLognormal, kBimodal };
  Form form = Form::kExponential;
  double mean = 0.02;  // s; of kBimodal the quick mode's, both modes being constant
  double cv = 1;       // kLognormal: standard deviation over mean
  double slow = 0;     // s; kBimodal: the slow mode
  double slow_share = 0;

  double draw(Random& random) const;
  double expected() const;
};

struct LoadClass {
  std::string name;
  double share = 1;       // of the requests, against the others' shares
  RequestClass settings;  // as the node is configured with it
  Service service;
};

struct LoadTenant {
  std::string name;
  double share = 1;
  std::optional<double> quota;  // requests a second; the node is configured with it
};

// From `at` on the rate is this; with `ramp` it goes straight to it from where it was at the step before.
struct LoadStep {
  double at = 0, rate = 0;
  bool ramp = false;
};

// Clients in a closed loop: each asks again at once, or after `think`, when it has its answer. Each belongs
// to one replica.
struct ClosedLoop {
  int count = 0;
  double from = 0, to = std::numeric_limits<double>::infinity();
  double think = 0;
  double after_refusal = 0;  // s; waits so long when refused; negative: as the answer advises
};

struct Change {
  enum class What {
    kSlow,
    kDrain,
    kStop,
    kStart,
    kFail,    // `part` of the calls end in an error at once, without work
    kMute,    // `part` of the calls are taken in and never answered; connections stay open
    kRestart  // a replica of the node ends and starts again from nothing after `down`
  };
  double at = 0;
  What what = What::kSlow;
  std::size_t first = 0, last = 0;  // servers, both included
  double factor = 1;                // kSlow: x the service time from now on
  double notify_delay = 0;          // s; how much later the replicas hear of it
  double part = 1;                  // kFail, kMute: of the calls; 0 ends it
  bool backends = false;            // `first` and `last` count those of the second tier
  int replica = 0;                  // kRestart
  double down = 0;                  // s; kRestart
};

// A tenant that sends `rate` requests a second beside what the load brings.
struct Flood {
  std::size_t tenant = 0;
  double at = 0, lasts = std::numeric_limits<double>::infinity();
  double rate = 0;
  int replica = -1;  // all of it through this one; -1: as all others come
};

struct ScenarioServer {
  Capacity capacity;
  int zone = 0, cell = 0;
  double weight = 1;
  bool up = true;  // from the beginning
};

struct Scenario {
  std::string name, title;
  double seconds = 30;
  double settle = 5;  // s left out of the figures, at the beginning and after each change
  int replicas = 1;
  double net = 0.0002;  // s; one way between a replica and a server, and between a client and its replica
  int max_attempts = 3;
  double max_retry_after = 1;
  double slow_start_min_capacity = 0.3, slow_start_window = 0;  // settings of the replicas
  double over_quota_weight = 1;
  std::vector<LoadClass> classes;
  std::vector<LoadTenant> tenants;  // empty: no tenants
  std::vector<ScenarioServer> servers;
  std::vector<LoadStep> load;
  std::vector<ClosedLoop> closed_loops;
  std::vector<Change> changes;
  std::vector<Flood> floods;
  ClientBehavior client_behavior;
  Chain chain;
  std::vector<ScenarioServer> backends;  // the second tier
  // Only a fleet of processes can play these.
  std::vector<int> node_zones;  // by replica; all 0 without [[node]]
  std::vector<LinkRule> links;
  std::vector<Fault> faults;
  DiscoveryDelays discovery;
  bool peers = false;       // nodes may send each other datagrams
  std::string operators;    // the operators' file of each node; empty: none
  double views_within = 0;  // s after the last change by which nodes see the fleet as it is; 0: not judged
  std::string clients_at;   // "FILE:LINE: [clients]", where there is one
  // "FILE:LINE: TABLE", one for each table above that the file holds.
  std::vector<std::string> fleet_only;

  std::vector<double> settle_after;  // s; load steps and changes, after each of which `settle` is left out

  const LoadClass& class_named(const std::string& class_name) const;  // the first class where there is none
  double mean_work() const;        // s; over the classes by their shares, on an idle server of speed 1
  double full_rate() const;        // requests a second of all servers that are up from the beginning
  double load_at(double t) const;  // of the open loop
  bool counts_at(double t) const;  // whether `settle` is over
  Settings settings(int replica) const;
  Settings sidecar_settings(int server) const;  // of the replica beside a first-tier server
  Topology topology() const;
};

// Reads and checks a complete file. Throws std::runtime_error with one line: file, line, key and what is
// wrong. `times` multiplies the load, so that one file serves for a sweep.
Scenario read_scenario(const std::string& path, double times = 1);
Scenario parse_scenario(const std::string& text, const std::string& name, double times = 1);

// The place of an entry, drawn by the entries' shares; 0 where there is none.
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

// The open loop's arrivals: a Poisson process whose rate follows the steps.
class Arrivals {
 public:
  Arrivals(const Scenario& scenario, std::uint64_t seed);
  // The first arrival after `t`; infinity when there is none any more.
  double after(double t);

 private:
  const Scenario& scenario_;
  double most_ = 0;  // the highest rate
  Random random_;
};

}  // namespace thymewood::bench
