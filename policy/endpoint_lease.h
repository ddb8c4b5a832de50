// How long a server may be used while the endpoint list is stale.
//
// While a watch is open, every endpoint that it does not report is unchanged. Without a watch, a server may
// start draining or be removed without this replica being notified. A replica counts as notified of a change
// a fixed time after discovery learned of it, whether or not the change arrived. That time does not run while
// discovery is down, but a replica cannot tell a discovery that is down from one that is too busy to answer.
// It does know that a server which accepts new requests is not draining. The lease of a server therefore
// starts when the list was last current, or when the last request that the server answered was sent,
// whichever is later: a replica counts as notified of any change after that time no sooner than the lease
// ends.
//
// No clock or I/O: times are parameters, in seconds on the host's clock.
#pragma once

#include <algorithm>
#include <limits>

namespace thymewood {

class EndpointLease {
 public:
  // `duration`: s; infinite if the list needs no confirmation.
  explicit EndpointLease(double duration) : duration_(duration) {}

  // A watch is open and all of its updates have been delivered.
  void mark_list_current() {
    list_is_current_ = true;
    moved_at_ = kNever;
  }
  // The watch has ended or has gone silent; the list was current until `as_of`.
  void mark_list_stale(double as_of) {
    list_is_current_ = false;
    as_of_ = std::max(as_of_, as_of);
  }
  // Discovery has moved to another address: replicas count as notified of the changes that it already had
  // `lease_reduction` s sooner than of later ones.
  void on_discovery_moved(double now, double lease_reduction) {
    moved_at_ = now;
    lease_reduction_ = lease_reduction;
  }

  bool is_current() const { return list_is_current_ || duration_ == kForever; }

  // Whether a server may be used whose last accepted request was sent at `accepted_at`.
  bool is_valid(double now, double accepted_at) const {
    if (is_current()) return true;
    const double confirmed_at = std::max(as_of_, accepted_at);
    double end = confirmed_at + duration_;
    if (confirmed_at < moved_at_) end = std::min(end, moved_at_ + duration_ - lease_reduction_);
    return now < end;
  }

 private:
  static constexpr double kForever = std::numeric_limits<double>::infinity();
  static constexpr double kNever = -kForever;

  double duration_;
  bool list_is_current_ = false;
  double as_of_ = kNever;
  double moved_at_ = kNever;
  double lease_reduction_ = 0;
};

}  // namespace thymewood
