// How long a server may be used by an endpoint list that is no longer confirmed.
//
// While a watch is open, what it does not report has not changed. Without one a server may start draining, or
// be removed, and this replica is not notified; yet a change counts as notified a stated time after discovery
// had it, whether or not it arrived. Nor can a replica tell a discovery that is down, for which no such time
// runs, from one that is too busy to answer. It does know that a server which accepts new requests is not
// draining. So a lease runs from the last moment that the list was current, or from the sending of the last
// request that the server answered: what discovery learns after that moment counts as notified no sooner than
// the lease ends.
//
// Pure: times are seconds on the host's clock.
#pragma once

#include <algorithm>
#include <limits>

namespace thymewood {

class EndpointLease {
 public:
  // `duration`: s; infinite where lists need no confirmation.
  explicit EndpointLease(double duration) : duration_(duration) {}

  // A watch is open and has delivered all it had.
  void list_is_current() {
    current_ = true;
    moved_at_ = kNever;
  }
  // The watch has ended, or is silent; the list was current until `as_of`.
  void list_is_stale(double as_of) {
    current_ = false;
    as_of_ = std::max(as_of_, as_of);
  }
  // Discovery has moved: changes it had by now count as notified `earlier` s sooner than others.
  void discovery_moved(double now, double earlier) {
    moved_at_ = now;
    earlier_ = earlier;
  }

  bool is_current() const { return current_ || duration_ == kForever; }

  // Whether a server may be used that last accepted a request sent at `accepted_at`.
  bool covers(double now, double accepted_at) const {
    if (is_current()) return true;
    const double confirmed_at = std::max(as_of_, accepted_at);
    double end = confirmed_at + duration_;
    if (confirmed_at < moved_at_) end = std::min(end, moved_at_ + duration_ - earlier_);
    return now < end;
  }

 private:
  static constexpr double kForever = std::numeric_limits<double>::infinity();
  static constexpr double kNever = -kForever;

  double duration_;
  bool current_ = false;
  double as_of_ = kNever;
  double moved_at_ = kNever;
  double earlier_ = 0;
};

}  // namespace thymewood
