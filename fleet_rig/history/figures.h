// Summary figures of a run, computed from its history alone: served shares, request amplification, fairness
// and recovery time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "record.h"
#include "scenario.h"

namespace thymewood::fleet {

// Figures for one second of a run. Operations count in the second in which they began.
struct Second {
  double wanted = 0, served = 0, in_time = 0, rejected = 0, failed = 0;
  double client_attempts = 0, first_tier = 0,
         second_tier = 0;  // requests that reached nodes, servers and backends
  double connections = 0;  // maximum seen open at servers in this second
};

struct Figures {
  double wanted = 0, served = 0, in_time = 0, rejected = 0, failed = 0;
  double client_attempts = 0;              // by clients, per operation
  double first_tier = 0, second_tier = 0;  // attempts that reached servers and backends, per operation
  double max_first_tier = 0;               // maximum over the seconds with at least a tenth of the mean load
  double p50 = 0, p99 = 0;                 // s; latency of served operations
  double min_second_share = 1;  // minimum served share of the seconds with at least a tenth of the mean load
  double recovery_seconds = 0;  // from the end of the last fault on, see compute_figures(); -1: never
  double max_server_load_ratio = 1;         // attempts at the busiest first-tier server, relative to the mean
  double min_node_share = 1, max_node = 1;  // minimum and maximum served share of the nodes
                                            // that were never down, paused or sent SIGTERM
  double min_tenant_share = 1;              // minimum served share of the tenants that don't flood
  double memory_kb = 0,
         max_memory_growth_kb = 0;  // maximum at the end, and maximum growth, of any node
  int descriptors = 0;              // maximum of any node at the end
  double cpu_us = 0;                // us of all nodes, per client attempt
  std::vector<Second> seconds;
  std::vector<std::pair<double, double>> faults;  // s; begin and end
  double served_share() const { return wanted > 0 ? served / wanted : 1; }
  double in_time_share() const { return wanted > 0 ? in_time / wanted : 1; }
};

// A run has recovered at the first second from which on the served share of every window of three seconds is
// at least 0.98 of the served share before the first fault. If the first fault begins in the first second,
// the share of the whole run takes its place.
Figures compute_figures(const History& history, const bench::Scenario& scenario);

}  // namespace thymewood::fleet
