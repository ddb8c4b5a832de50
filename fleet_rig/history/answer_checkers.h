// Invariants of what clients see: every request has one final answer in time, and nothing is sent for a
// client that has disconnected.
#pragma once

#include <string>
#include <unordered_map>

#include "checkers.h"
#include "fault_windows.h"

namespace thymewood::fleet {

// one-final-answer: each request that a client has sent is answered once, by its deadline.
class FinalAnswerChecker {
 public:
  // All outlive it.
  FinalAnswerChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), verdict_(verdict), faults_(history), slack_(rules.slack + verdict.latest) {}
  void check();

 private:
  struct Request {
    const Record* sent = nullptr;
    bool answered = false;
  };

  void on_ended(const Record& end);
  void report(const Record& request, const std::string& what, double at);

  const History& history_;
  Verdict& verdict_;
  FaultWindows faults_;
  double slack_;  // s
  std::unordered_map<std::string, Request> requests_;
};

// abandoned: no attempt leaves a node long after its client has disconnected.
class AbandonmentChecker {
 public:
  // All outlive it.
  AbandonmentChecker(const History& history, const Rules& rules, Verdict& verdict)
      : history_(history), verdict_(verdict), faults_(history), allowed_(rules.abandoned + verdict.latest) {}
  void check();

 private:
  void on_received(const Record& attempt);

  const History& history_;
  Verdict& verdict_;
  FaultWindows faults_;
  double allowed_;  // s
  std::unordered_map<std::string, const Record*> disconnected_;
};

}  // namespace thymewood::fleet
