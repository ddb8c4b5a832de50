// Models the capacity of one server: its workers, the queue in front of them, and the causes of slowdown. It
// has no clock and does no I/O: the simulation in virtual time and the fake server on a socket run the same
// code.
//
// A request occupies one worker for its service time. That time is fixed when the worker starts the request:
// the announced work, divided by the server's speed, times the slowdown at that moment (overload, a shared
// dependency, a cold start). A pause delays everything that runs by its length.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

namespace thymewood::bench {

struct Capacity {
  int workers = 4;               // requests that run at once; 0: unlimited, so that nothing ever waits
  int queue = 1000;              // maximum number of waiting requests; further ones are rejected
  double speed = 1;              // divides service times
  int overload_threshold = 0;    // requests running or waiting from which the server is overloaded; 0: never
  double overload_slowdown = 1;  // multiplies the service time while the server is overloaded
  double cold_speed_share = 1;   // fraction of its speed that it starts with, 0 to 1
  double warm_up_s = 0;          // s from a start to full speed
  double pause_every_s = 0, pause_s = 0;  // interval and length of pauses of all work; interval 0: never
};

class ServerModel {
 public:
  // `started`: time of the last start; -infinity for a server that has fully warmed up.
  ServerModel(const Capacity& capacity, double started) : capacity_(capacity), started_(started) {
    if (capacity_.pause_every_s > 0) next_pause_ = capacity_.pause_every_s;
  }

  // Adds a request whose service takes `work` seconds at speed 1 on an idle server. Returns false if it is
  // rejected without being run. Times must not decrease, and `advance` must have been called up to `now`
  // before.
  bool arrive(double now, std::uint64_t request, double work);

  // Returns the time of the next internal event.
  std::optional<double> next() const;

  // Advances the time to `now`; appends the requests that ended, in order.
  void advance(double now, std::vector<std::uint64_t>& ended);

  // Sets an external slowdown: 2 doubles the service time of requests that begin from now on.
  void slow_down(double factor) { slowdown_ = factor; }
  // The process restarts and is cold again. No request may be running or waiting.
  void restart(double now) { started_ = now; }
  // The process ends: removes and returns all running and waiting requests, none of which completes.
  std::vector<std::uint64_t> take_all();

  // Returns the fraction of its full speed that the server has reached since its start.
  double warmth(double now) const;
  // Returns the requests per second that it can complete at this mean service time; infinite if workers = 0.
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
  void apply_pauses(double now);

  Capacity capacity_;
  double started_;
  double slowdown_ = 1;
  double next_pause_ = std::numeric_limits<double>::infinity();
  std::uint64_t order_ = 0;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::deque<Waiting> waiting_;
};

}  // namespace thymewood::bench
