// Invariants of what servers receive: no double effect, nothing new while draining, no overload while warming
// up.
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

// no-double-effect: a request that is not idempotent runs once, and one with a key again only where and while
// the key is known.
class DoubleEffectChecker {
 public:
  // All outlive it.
  DoubleEffectChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), rules_(rules), verdict_(verdict), slack_(rules.slack + verdict.latest) {}
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

  void on_answered(const Record& answer, const RequestClass& c, Request& request);
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

// drains-kept: a node sends nothing new to a server once the drain grace after its notification is over.
class DrainChecker {
 public:
  // All outlive it.
  DrainChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), verdict_(verdict), allowed_(rules.drain_grace + rules.slack + verdict.latest) {}
  void check();

 private:
  void on_received(const Record& attempt);

  const History& history_;
  Verdict& verdict_;
  double allowed_;                                             // s
  std::map<std::pair<Actor, Actor>, double> not_ready_since_;  // by node and server
};

// cold-servers: all nodes together do not overload a server that warms up.
class ColdServerChecker {
 public:
  // All outlive it.
  ColdServerChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), rules_(rules), verdict_(verdict) {}
  void check();

 private:
  struct Arrival {
    double at = 0, work = 0;  // s; s
  };
  struct RecentArrivals {
    std::deque<Arrival> arrivals;  // of the last Rules::fall_s
    double work = 0;               // s, in all
    bool reported = false;
  };

  void on_received(const Record& attempt);

  const History& history_;
  const Rules& rules_;
  Verdict& verdict_;
  std::map<Actor, RecentArrivals> recent_;
};

}  // namespace thymewood::fleet
