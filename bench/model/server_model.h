// What one server can do, as a model: so many workers, a queue in front of them, and what makes it slower.
// It has no clock and no I/O: a player in virtual time and a stand-in on a socket drive the same code.
//
// A request occupies one worker for its service time. The time is fixed when the worker takes it up: the
// announced work, divided by the server's speed, times what slows it at that moment (a crowd, a shared
// dependency, a cold start). A pause holds up everything that runs by its length.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

namespace thymewood::bench {

struct Capacity {
  int workers = 4;    // requests that run at once; 0: any number, so that nothing ever waits
  int queue = 1000;   // requests that wait at most; one more is rejected
  double speed = 1;   // service times are divided by it
  int crowd_at = 0;   // requests running or waiting from which it is crowded; 0: never
  double crowd = 1;   // x the service time while it is crowded
  double cold = 1;    // the part of its speed that it starts with, 0 to 1
  double ramp_s = 0;  // s from a start to its full speed
  double pause_every_s = 0, pause_s = 0;  // every so often all work stands still; 0: never
};

class ServerModel {
 public:
  // `started`: when it last started; a server that has long run gets -infinity.
  ServerModel(const Capacity& capacity, double started) : capacity_(capacity), started_(started) {
    if (capacity_.pause_every_s > 0) next_pause_ = capacity_.pause_every_s;
  }

  // A request whose service takes `work` seconds at speed 1 on an idle server. False: rejected, not run.
  // Times never run backwards; all that ended up to `now` has to be taken out by `advance` before.
  bool arrive(double now, std::uint64_t request, double work);

  // When something happens by itself the next time.
  std::optional<double> next() const;

  // Lets time pass up to `now`; appends the requests that ended, in order.
  void advance(double now, std::vector<std::uint64_t>& ended);

  // What slows the server from now on, beside its own state: 2 doubles the time of what begins.
  void slow_down(double factor) { slowed_ = factor; }
  // The process is replaced and is cold again; it has to be empty.
  void restart(double now) { started_ = now; }
  // The process ends: hands out what ran or waited, none of which will end.
  std::vector<std::uint64_t> take_all();

  // The part of its full speed that it has for reasons of its own age.
  double warmth(double now) const;
  // Requests a second that it can end, for service times of this mean; infinite with workers = 0.
  double rate(double now, double mean_work) const;
  int running() const { return static_cast<int>(running_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }

 private:
  struct Running {
    double end = 0;
    std::uint64_t order = 0, request = 0;
    bool operator>(const Running& o) const { return end != o.end ? end > o.end : order > o.order; }
  };
  struct Waiting {
    std::uint64_t request = 0;
    double work = 0;
  };

  void begin(double now, std::uint64_t request, double work);
  void pause_if_due(double now);

  Capacity capacity_;
  double started_;
  double slowed_ = 1;
  double next_pause_ = std::numeric_limits<double>::infinity();
  std::uint64_t order_ = 0;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::deque<Waiting> waiting_;
};

}  // namespace thymewood::bench
