// The decisions of a load balancer for services that call services.
//
// A Balancer is one replica of the load balancer: it is notified of events and returns actions. It has no
// clock, no I/O, no threads and no globals: the same settings, seed and events always give the same actions.
// All times are seconds on the host's clock, which may start anywhere but never runs backwards; all durations
// are seconds.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "thymewood/actions.h"
#include "thymewood/events.h"
#include "thymewood/settings.h"

namespace thymewood {

// A snapshot of one tenant's rate limiter.
struct TenantLimitView {
  double rate_limit = 0;          // learned limit, calls per second
  double suppression_factor = 0;  // 0: all admitted, 1: all denied
  double total = 0;               // calls in the window
  double declined = 0;            // of these, denied
};

// A snapshot of the learned concurrency limit.
struct ConcurrencyLimitView {
  double idle_latency = 0;   // answer time of an idle tier
  double response_rate = 0;  // answers per second
  double in_flight = 0;      // calls in flight now
  double limit = 0;          // calls in flight over all servers beyond which a call is rejected
  double probed_bound = 0;   // the bound that probing has put on the limit; infinite where none
};

// The decisions of one replica: which server gets a request, whether to retry, reject or fail it, and when to
// open a watch on discovery. The host owns the sockets, the clock and the timers: it passes each event to
// handle(), in the order of time, and performs the actions. Not synchronized: for one thread at a time.
class Balancer {
 public:
  // Throws InvalidSettings, naming the field, when the settings cannot be used.
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Appends to `actions` what is to be done about `event`, in order.
  void handle(double now, const Event& event, std::vector<Action>& actions);

  // For metrics; changes nothing. A tenant out of range is answered as traffic without a tenant.
  TenantLimitView tenant(double now, std::size_t tenant) const;
  ConcurrencyLimitView concurrency_limit(double now) const;
  // How many endpoints are remembered: those listed, and those removed while requests refer to them.
  std::size_t known_endpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The part of calls to deny, 0 to 1, for a limit and the two rates of the sliding window.
double suppression_factor(double rate_limit, double window_rate, double last_second_rate);

// The positions, out of `servers` in a fixed order, that replica `replica_index` of `replica_count` uses.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size);

}  // namespace thymewood
