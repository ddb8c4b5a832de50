// The tables of a scenario file that are about a fleet: clients that retry and a second tier, and, played
// by a fleet of processes alone, machines, links, faults and a discovery that is late. All times are seconds,
// all rates a second.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "actors.h"
#include "server_model.h"

namespace thymewood::bench {

// What happens to what passes one way between two actors.
struct Shape {
  double delay = 0;      // s, one way
  double jitter = 0;     // s; up to so much more, drawn for each piece; a stream stays in order
  double loss = 0;       // part: of datagrams; of a stream's pieces, which then come kResend later
  double duplicate = 0;  // part of datagrams that come twice
  double reorder = 0;    // part of datagrams that are overtaken by later ones
  double rate = std::numeric_limits<double>::infinity();  // bytes a second
  bool cut = false;                                       // nothing passes; connections stay open and silent
  static constexpr double kResend = 0.2;  // s; the minimum retransmission timeout of common kernels
};

// From the beginning, between all of `from` and all of `to`, both ways.
struct LinkRule {
  Selector from, to;
  Shape shape;
};

struct Fault {
  enum class What {
    // of machines
    kKill,          // ended outright; starts again after `lasts`
    kRestart,       // SIGTERM, then SIGKILL when it may be killed; starts again
    kPause,         // stopped for `lasts`
    kStarve,        // gets `share` of a core
    kDescriptors,   // may hold no more than `count`
    kDiskFull,      // what it writes to files fails
    kDiskFails,     // `share` of its writes to files, and all syncs, fail
    kDiskReadOnly,  // all its writes, syncs and renames fail as on a file system that is read-only
    kDiskSlow,      // each write and sync takes `delay` longer
    kClock,         // its time of day is wrong by `shift`
    kHangup,        // SIGHUP, once: it reads its configuration again
    kCrowd,         // `count` clients connect to it and say nothing, for `lasts`
    // of links
    kCut,       // black hole, both ways
    kCutTo,     // black hole from `who` to `to` alone
    kDelay,     // `delay` and `jitter` more, each way
    kLoss,      // `share` is lost, each way
    kSlowLink,  // `rate` bytes a second, each way
    kReset,     // all open connections are reset, once
    kRefuse,    // connections are refused
    // of discovery
    kSilence,  // it is down: watches end and connections are refused
    kLag       // what it tells comes `delay` later
  };
  double at = 0, lasts = std::numeric_limits<double>::infinity();
  What what = What::kKill;
  Selector who, to;    // `to` nobody: everyone else
  double share = 0.1;  // kStarve, kLoss
  double delay = 0, jitter = 0;
  double rate = 0;
  double shift = 0;    // s; kClock
  int count = 64;      // kDescriptors, kCrowd
  double flap = 0;     // s; on and off in turn, each for so long, until `lasts` is over
  double stagger = 0;  // s; one after another of `who`, so far apart
  std::string text;    // as the file has it, for reports
};

// Clients that retry by themselves. Without them each asks once.
struct ClientBehavior {
  int retries = 0;                  // further attempts at most
  double attempt_share = 1;         // an attempt is given up after this part of the class's time
  double wait = 0;                  // s; before a further attempt
  bool honors_retry_after = false;  // waits as a refusal advises, if that is longer
  double impatient_share =
      0;  // part of the attempts that are given up, and closed, after half of what was said
  double failure_detection = 1;  // s; how much later their front learns that a node has died
};

// A second tier: each first-tier server calls it by a node of its own.
struct Chain {
  int calls = 0;        // for each request, one after another; 0: there is no second tier
  double share = 0.36;  // of the work, done there, all calls together
};

struct DiscoveryDelays {
  double lag = 0, spread = 0;  // s; each node hears of a change after `lag` and its own part of `spread`
};

}  // namespace thymewood::bench
