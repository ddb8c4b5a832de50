// How many calls may be in flight: learned from answers alone, for nothing tells it. No clock, no I/O, and
// nothing is refused here; the module asks how much room there is.
//
// room = start + (idle + wait) x answers a second + chance     (Little's law; docs/design/learned-room.md)
//
// Times are seconds on the module's clock, durations seconds, room is in calls.
#pragma once

#include <vector>

#include "concurrency_probe.h"
#include "decaying_rate.h"
#include "estimate.h"
#include "thymewood/balancer.h"

namespace thymewood {

// The answer time without queues, as a part of the aim: falls soon, rises slowly. Danger: the first answers
// of a start are those of the quickest calls, and a start under load sees none that did not wait.
class IdleTime {
 public:
  // `queued`: the answer may have met a queue.
  void add(double now, double part_of_aim, bool queued);
  // What was seen of late met no queue, however long it took.
  void prove(double now);
  double part_of_aim() const { return base_; }
  // Whether answers without a queue are among what it goes by.
  bool sure() const { return sure_; }

 private:
  Estimate usual_;
  double base_ = 0.15;  // until it is learned
  double proven_ = 0;   // no bound on what is taken for usual is below this
  double at_ = 0;
  bool learned_ = false, sure_ = false;
};

// Answers a second, by a steady measure and by one that follows a rise within a few of them; and how many
// calls were worked on at once.
class Throughput {
 public:
  // `natural`: what calls take on an idle tier, 0 where that is not sure. `answer_time`: that with the wait
  // that is allowed; the longer it is, the longer the measures have to be.
  void add(double now, double natural, double answer_time);
  double steady(double now, double answer_time) const;
  double quick(double now, double answer_time) const;
  // Calls at once, at the most of late.
  double worked_on(double now) const;

 private:
  DecayingRate steady_{kMemory}, quick_{kMemory}, slow_{kWorkedMemory};
  double worked_ = 0, worked_at_ = 0;
  static constexpr double kMemory = 2;  // s; of the steady rate, if two answer times are not more
  static constexpr double kWorkedMemory = 10, kWorkedHold = 60;  // s; of the calls that were worked on
};

class ConcurrencyLimit {
 public:
  // By the classes' aims, each taken for 1 ms to 60 s.
  explicit ConcurrencyLimit(const std::vector<RequestClass>& classes);

  // A call of a class was answered, `in_flight` others being out still. `server`: of that server alone.
  void answered(double now, std::size_t request_class, double elapsed, double in_flight,
                double usual_answer_time, Throughput& server);
  // A call was answered or timed out: so long do calls take now.
  void took(double now, std::size_t request_class, double elapsed);
  // A call was refused for want of room; where `may_try`, fewer in flight are tried now and then. `sharers`:
  // as below.
  void refused(double now, double in_flight, bool may_try, double sharers);
  // Other servers stand behind it from now on.
  void forget_crowds() { trial_.forget(); }

  // At one server, and at `servers` of them together, each of which `sharers` copies use; `met_at`: since
  // when.
  double at_server(double now, const Throughput& server, double met_at, double sharers) const;
  double at_all(double now, double servers, double met_at, double sharers) const;
  // What trials of fewer calls have found to be the most that servers do well with; infinite where nothing
  // is.
  double crowd_bound(double now) const { return trial_.bound(now); }

  // 1 where answers are as quick as on an idle tier, 0 where they must have met a queue.
  double unqueued() const;
  double natural() const { return natural_; }  // what calls of the present mix take on an idle tier
  double wait() const { return wait_; }        // how long one may wait
  double answers(double now) const { return all_.steady(now, natural_ + wait_); }  // a second

 private:
  struct ClassRoom {
    double latency_objective = 0;
    IdleTime idle;
    DecayingRate answered{2};
    double idle_time() const { return idle.part_of_aim() * latency_objective; }
  };
  void learn_waits(double now);
  double by_answers(const Throughput& t, double now) const;

  std::vector<ClassRoom> classes_;
  Throughput all_;
  ConcurrencyProbe trial_;
  double natural_ = 0, wait_ = 0, waits_until_ = 0;
  bool sure_ = false;       // whether natural_ is known by answers without queues
  bool may_prove_ = false;  // whether trials of this copy move the queues at its servers
  double refused_at_ = -ConcurrencyProbe::kNoBound;
  Estimate recent_, stretch_;  // answer time now, in parts of the aim and of the idle one
  double recent_at_ = 0;
};

}  // namespace thymewood
