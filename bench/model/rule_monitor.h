// Checks the four rules from outside: from the requests that a node received, sent and answered, the monitor
// reports which rule was violated and by what. It is independent of how the node makes its decisions.
//
// Times are in seconds on one clock, durations in seconds. Events must be reported in time order.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "thymewood/balancer.h"

namespace thymewood::bench {

enum class Final { kServed, kRejected, kFailed };

class RuleMonitor {
 public:
  struct Limits {
    double drain_grace = 1;      // s after the notification of a drain or removal; then no new requests
    double overload_factor = 4;  // a cold server is overloaded by this multiple of its current rate ...
    double overload_window = 1;  // ... arriving for this many seconds
    double slack = 0;            // s; tolerance for times measured on sockets
    std::size_t max_retained_texts = 100;  // violations retained as text; all of them are counted
  };
  struct Place {  // decides where a request with an idempotency key may be sent again
    int zone = 0, cell = 0;
  };

  RuleMonitor(const Limits& limits, std::vector<RequestClass> classes, std::vector<Place> servers);

  // drains-kept: a replica was notified that a server is ready or not ready (draining or removed).
  void endpoint_notified(double now, int replica, std::size_t server, bool ready);

  // one-final-answer: a replica accepted a request whose client waits until `deadline`.
  void taken(double now, const std::string& id, std::size_t request_class, double deadline);
  void answered(double now, const std::string& id, Final outcome);
  // The client disconnected, so the request no longer needs an answer.
  void gone(const std::string& id);

  // no-double-effect: the attempts of a request, numbered in the order in which they were sent.
  // `may_have_run`: according to the attempt's outcome; until `ended` an attempt counts as one that may run.
  void sent(double now, const std::string& id, int replica, std::size_t server);
  void ended(const std::string& id, std::size_t attempt, bool may_have_run);

  // cold-servers: `work` seconds of work arrived at a server that can do `rate` seconds of work per second; a
  // rate of 0 stands for a warm server.
  void came(double now, std::size_t server, double work, double rate);

  // Ends the run: reports each accepted request that has no answer.
  void finish(double now);

  std::uint64_t broken() const { return violation_count_; }
  const std::vector<std::string>& breaks() const { return violations_; }  // "RULE: MESSAGE, at TIME s"

 private:
  struct Attempt {
    std::size_t server = 0;
    double at = 0;
    bool may_have_run = true, open = true;
  };
  struct OpenRequest {
    std::size_t request_class = 0;
    double deadline = 0;
    bool awaiting_answer = true;
    std::vector<Attempt> attempts;
  };
  struct RecentWork {
    std::deque<std::pair<double, double>> arrivals;  // time and work in s, within the last overload_window
    double total_work = 0;
    bool overload_reported = false;
  };

  void report(double now, const char* rule, const std::string& message);
  void check_resend(double now, const std::string& id, const OpenRequest& request, std::size_t server);
  void erase_if_finished(const std::string& id);

  Limits limits_;
  std::vector<RequestClass> classes_;
  std::vector<Place> locations_;
  std::vector<RecentWork> recent_work_;
  std::unordered_map<std::uint64_t, double> not_ready_since_;  // first notification, by replica and server
  std::unordered_map<std::string, OpenRequest> open_requests_;
  std::uint64_t violation_count_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace thymewood::bench
