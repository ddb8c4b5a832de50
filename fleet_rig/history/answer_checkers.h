// Invariants seen from the clients: every request gets exactly one final response by its deadline, and no
// attempt is sent for a client that has disconnected.
#pragma once

#include <string>
#include <unordered_map>

#include "checkers.h"
#include "fault_windows.h"

namespace thymewood::fleet {

// one-final-answer: each request that a client has sent gets exactly one response, by its deadline.
class FinalAnswerChecker {
 public:
  // All arguments must outlive the checker.
  FinalAnswerChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history),
        verdict_(verdict),
        faults_(history),
        slack_(rules.time_tolerance + verdict.max_lateness) {}
  void check();

 private:
  struct Request {
    const Record* sent = nullptr;
    bool answered = false;
  };

  void on_request_end(const Record& end);
  void report(const Record& request, const std::string& what, double at);

  const History& history_;
  Verdict& verdict_;
  FaultWindows faults_;
  double slack_;  // s
  std::unordered_map<std::string, Request> requests_;
};

// abandoned: a node sends no attempt later than Rules::abandoned after the client has disconnected.
class AbandonmentChecker {
 public:
  // All arguments must outlive the checker.
  AbandonmentChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history),
        verdict_(verdict),
        faults_(history),
        grace_(rules.abandoned + verdict.max_lateness) {}
  void check();

 private:
  void on_received(const Record& attempt);

  const History& history_;
  Verdict& verdict_;
  FaultWindows faults_;
  double grace_;  // s
  std::unordered_map<std::string, const Record*> disconnected_;
};

}  // namespace thymewood::fleet
