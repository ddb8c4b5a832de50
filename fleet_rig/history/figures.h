// How a fleet did, from its history: shares, amplification, fairness, recovery. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "record.h"
#include "scenario.h"

namespace thymewood::fleet {

// One second of a run, by when the clients wanted.
struct Second {
  double wanted = 0, served = 0, in_time = 0, rejected = 0, failed = 0;
  double client_attempts = 0, first_tier = 0,
         second_tier = 0;  // requests that came to nodes, servers, backends in it
  double connections = 0;  // open at servers at its end
};

struct Figures {
  double wanted = 0, served = 0, in_time = 0, rejected = 0, failed = 0;
  double client_attempts = 0;              // by clients, a first attempt
  double first_tier = 0, second_tier = 0;  // attempts that came to servers and to backends, a first attempt
  double most_first_tier = 0;              // the highest of any second with at least a tenth of the mean load
  double p50 = 0, p99 = 0;                 // s; of what was served
  double worst_second = 1;  // least part served of any second with at least a tenth of the mean load
  double recovery = 0;      // s after the last fault's end until well again; -1: never, see below
  double most_server = 1;   // requests that came to the first-tier server with the most, against the mean
  double least_node = 1, most_node = 1;  // least and most served part of any node that was up all the time
  double least_tenant = 1;               // least served part of any tenant that does not flood
  double memory_kb = 0,
         memory_grown_kb = 0;  // the largest node's at the end, and the most that one has grown
  int descriptors = 0;         // the most that any node had at the end
  double cpu_us = 0;           // of all nodes, for each attempt
  std::vector<Second> seconds;
  std::vector<std::pair<double, double>> faults;  // from, to
  double served_part() const { return wanted > 0 ? served / wanted : 1; }
  double in_time_part() const { return wanted > 0 ? in_time / wanted : 1; }
};

// Well again: from that second on, every three seconds together, the part served is 0.98 of what it was
// before the first fault; without a second before it, of all.
Figures figures_of(const History& history, const bench::Scenario& scenario);

}  // namespace thymewood::fleet
