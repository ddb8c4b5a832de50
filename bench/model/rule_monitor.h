// The four rules, checked from outside: given what a node received, sent and answered, the
// monitor says which rule was broken and by what. It knows nothing of how a node decides.
//
// Times are seconds on one clock, durations seconds. Events come in the order of their times.
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
    double drain_grace =
        1;  // s; nothing new to a server this long after the notification of its drain or removal
    double fall_multiple = 4;     // x what a cold server can do at that moment ...
    double fall_s = 1;            // ... sent to it for this long pushes it over
    double slack = 0;             // s; what times measured on sockets may be off
    std::size_t max_texts = 100;  // violations that are retained as text; all are counted
  };
  struct Place {  // what decides where a keyed request may go again
    int zone = 0, cell = 0;
  };

  RuleMonitor(const Limits& limits, std::vector<RequestClass> classes, std::vector<Place> servers);

  // drains-kept: a replica was notified that a server is ready, or is not (draining or removed).
  void endpoint_notified(double now, int replica, std::size_t server, bool wanted);

  // one-final-answer: a replica took a request whose client waits until `deadline`.
  void taken(double now, const std::string& id, std::size_t request_class, double deadline);
  void answered(double now, const std::string& id, Final how);
  // The client left by itself: nothing is owed any more.
  void gone(const std::string& id);

  // no-double-effect: the attempts of a request, numbered in the order of their sends. `may_run`: what the
  // outcome says at the latest; until `ended` an attempt may run.
  void sent(double now, const std::string& id, int replica, std::size_t server);
  void ended(const std::string& id, std::size_t attempt, bool may_have_run);

  // cold-servers: work of so many seconds has come to a server that can do `rate` seconds of it a second;
  // rate 0 stands for one that is warm.
  void came(double now, std::size_t server, double work, double rate);

  // All is over: what was taken and has no answer is lost.
  void finish(double now);

  std::uint64_t broken() const { return count_; }
  const std::vector<std::string>& breaks() const { return breaks_; }  // "RULE: what, when"

 private:
  struct Sent {
    std::size_t server = 0;
    double at = 0;
    bool may_have_run = true, open = true;
  };
  struct Taken {
    std::size_t request_class = 0;
    double deadline = 0;
    bool owed = true;
    std::vector<Sent> sends;
  };
  struct Arrivals {
    std::deque<std::pair<double, double>> late;  // when, and seconds of work, within the last fall_s
    double sum = 0;
    bool fallen = false;
  };

  void report(double now, const char* rule, const std::string& what);
  void check_repeat(double now, const std::string& id, const Taken& request, std::size_t server);
  void forget_if_over(const std::string& id);

  Limits limits_;
  std::vector<RequestClass> classes_;
  std::vector<Place> places_;
  std::vector<Arrivals> arrivals_;
  std::unordered_map<std::uint64_t, double> not_ready_since_;  // by replica and server: since when
  std::unordered_map<std::string, Taken> open_;
  std::uint64_t count_ = 0;
  std::vector<std::string> breaks_;
};

}  // namespace thymewood::bench
