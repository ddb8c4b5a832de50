// Invariants of what servers receive: no double effect, no new attempts while draining, no overload while
// warming up.
#pragma once

#include <deque>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "checkers.h"

namespace thymewood::fleet {

// no-double-effect: a request that is not idempotent runs at most once; one with an idempotency key runs
// again only within the scope and the deduplication window of its key.
class DoubleEffectChecker {
 public:
  // All arguments must outlive the checker.
  DoubleEffectChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history),
        rules_(rules),
        verdict_(verdict),
        slack_(rules.time_tolerance + verdict.max_lateness) {}
  void check();

 private:
  struct Run {
    double at = 0;
    Actor server;
  };
  struct Request {
    int request_class = -1;
    std::vector<Run> runs;
    double answered = std::numeric_limits<double>::infinity();
  };

  void on_response(const Record& response, const RequestClass& c, Request& request);
  void on_received(const Record& attempt, const RequestClass& c, Request& request);
  void check_rerun(const Record& attempt, const Run& earlier, const RequestClass& c);
  bool in_same_scope(const Actor& a, const Actor& b, DedupScope scope) const;
  void report(const Record& at, const std::string& what);

  const History& history_;
  const Rules& rules_;
  Verdict& verdict_;
  double slack_;  // s
  std::unordered_map<std::string, Request> requests_;
};

// drains-kept: a node sends no new attempt to a server after Rules::drain_grace from the notification that
// the server is not ready.
class DrainChecker {
 public:
  // All arguments must outlive the checker.
  DrainChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history),
        verdict_(verdict),
        grace_(rules.drain_grace + rules.time_tolerance + verdict.max_lateness) {}
  void check();

 private:
  void on_received(const Record& attempt);

  const History& history_;
  Verdict& verdict_;
  double grace_;                                               // s
  std::map<std::pair<Actor, Actor>, double> not_ready_since_;  // key: node, server
};

// cold-servers: the nodes together don't overload a server that is warming up.
class ColdServerChecker {
 public:
  // All arguments must outlive the checker.
  ColdServerChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), rules_(rules), verdict_(verdict) {}
  void check();

 private:
  struct Arrival {
    double at = 0, work = 0;  // s
  };
  struct RecentArrivals {
    std::deque<Arrival> arrivals;  // within the last Rules::fall_s
    double work = 0;               // s; their sum
    bool reported = false;
  };

  void on_received(const Record& attempt);

  const History& history_;
  const Rules& rules_;
  Verdict& verdict_;
  std::map<Actor, RecentArrivals> recent_;
};

}  // namespace thymewood::fleet
