// The tables of a scenario file that describe a fleet: client retries and the second tier, and, supported
// only when the scenario runs on a fleet of processes, machines, links, faults and discovery delays. All
// times are in seconds, all rates are per second.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "actors.h"
#include "server_model.h"

namespace thymewood::bench {

// Impairment of the traffic in one direction between two actors.
struct Shape {
  double delay = 0;      // s, one way
  double jitter = 0;     // s; maximum extra delay, drawn for each chunk; a stream stays in order
  double loss = 0;       // fraction of datagrams lost; of a stream's chunks, which then arrive kResend later
  double duplicate = 0;  // fraction of datagrams delivered twice
  double reorder = 0;    // fraction of datagrams overtaken by later ones
  double rate = std::numeric_limits<double>::infinity();  // bytes a second
  bool cut = false;                       // nothing is delivered; connections stay open without traffic
  static constexpr double kResend = 0.2;  // s; the minimum retransmission timeout of common kernels
};

// Applies from the start, in both directions, between all of `from` and all of `to`.
struct LinkRule {
  Selector from, to;
  Shape shape;
};

struct Fault {
  enum class What {
    // faults of machines
    kKill,             // killed at once; starts again after `lasts`
    kRestart,          // SIGTERM, then SIGKILL as soon as it may be killed; starts again
    kPause,            // process stopped for `lasts`
    kCpuLimit,         // limited to `share` of a core
    kDescriptors,      // limited to `count` open file descriptors
    kDiskFull,         // writes to files fail
    kDiskFails,        // `share` of writes to files, and all syncs, fail
    kDiskReadOnly,     // all writes, syncs and renames fail as on a read-only file system
    kDiskSlow,         // each write and sync takes `delay` longer
    kClock,            // wall clock off by `shift`
    kSighup,           // SIGHUP, once: the node reloads its configuration
    kIdleConnections,  // `count` clients hold open connections and send nothing, for `lasts`
    // faults of links
    kCut,       // black hole: all traffic dropped, in both directions
    kCutTo,     // black hole: all traffic dropped, only from `who` to `to`
    kDelay,     // `delay` and `jitter` added, in each direction
    kLoss,      // `share` of the traffic lost, in each direction
    kSlowLink,  // limited to `rate` bytes a second, in each direction
    kReset,     // all open connections are reset, once
    kRefuse,    // connections are refused
    // faults of discovery
    kDiscoveryDown,  // discovery is down: watches end and connections are refused
    kDiscoveryLag    // updates arrive `delay` later
  };
  double at = 0, lasts = std::numeric_limits<double>::infinity();
  What what = What::kKill;
  Selector who, to;    // empty `to`: all other actors
  double share = 0.1;  // kCpuLimit, kLoss
  double delay = 0, jitter = 0;
  double rate = 0;
  double shift = 0;  // s; kClock
  int count = 64;    // kDescriptors, kIdleConnections
  double flap = 0;   // s; the fault alternates between on and off, each for this long, until `lasts` is over
  double stagger = 0;  // s; interval between the starts of the fault at successive actors of `who`
  std::string text;    // as written in the file, for reports
};

// Retries by the clients themselves. By default a client makes one attempt.
struct ClientBehavior {
  int retries = 0;                  // maximum number of further attempts
  double attempt_share = 1;         // timeout of an attempt, as a fraction of the class's client timeout
  double wait = 0;                  // s; delay before a further attempt
  bool honors_retry_after = false;  // waits for the Retry-After of a rejection if that is longer
  double impatient_share = 0;  // fraction of attempts that the client abandons, closing the connection, after
                               // half of the timeout that it announced
  double failure_detection = 1;  // s; time until the frontend of the clients detects that a node has died
};

// A second tier, which each first-tier server calls through its own node.
struct Chain {
  int calls = 0;        // sequential calls for each request; 0: no second tier
  double share = 0.36;  // fraction of a request's work done in the second tier, over all calls
};

struct DiscoveryDelays {
  double lag = 0,
         spread = 0;  // s; each node receives an update after `lag` plus its own fraction of `spread`
};

}  // namespace thymewood::bench
