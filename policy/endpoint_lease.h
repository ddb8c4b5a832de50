// How long a server may be used while the endpoint list is stale.
//
// While a watch is open, every endpoint that it does not report is unchanged. Without a watch, a server may
// start draining or be removed without this replica being notified. A replica counts as notified of a change
// a fixed time after discovery learned of it, whether or not the change arrived. That time does not run while
// discovery is unavailable. The list is therefore trusted for the duration of the lease from when it was last
// current, or from when discovery was last unavailable: a call that it had not answered by then.
//
// An unanswered call does not show that a server is still ready, so a server must also have answered a
// request within that time. An answer alone confirms nothing: a server that drains may continue to answer.
//
// No clock or I/O: times are parameters, in seconds on the host's clock.
#pragma once

#include <algorithm>
#include <limits>

namespace thymewood {

class EndpointLease {
 public:
  // `duration`: s; infinite if the list needs no confirmation. `outage_duration`: s; the same from the last
  // moment at which discovery was unavailable.
  EndpointLease(double duration, double outage_duration)
      : duration_(duration), outage_duration_(outage_duration) {}

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
  // A call to discovery was not answered: discovery may have been unavailable until `unavailable_until`.
  void on_call_unanswered(double unavailable_until) {
    unavailable_until_ = std::max(unavailable_until_, unavailable_until);
  }
  // Discovery has moved to another address: replicas count as notified of the changes that it already had
  // `lease_reduction` s sooner than of later ones.
  void on_discovery_moved(double now, double lease_reduction) {
    moved_at_ = now;
    lease_reduction_ = lease_reduction;
  }

  bool is_current() const { return list_is_current_ || duration_ == kForever; }

  // The time until which a list that is no longer current may be used without further confirmation.
  double list_valid_until() const { return duration_ == kForever ? kForever : end_from(as_of_, duration_); }

  // Whether any server may be used: a drain or removal that has not been received does not count as notified.
  bool is_list_trusted(double now) const {
    return is_current() || now < list_valid_until() || now < end_from(unavailable_until_, outage_duration_);
  }

  // Whether a server may be used whose last accepted request was sent at `accepted_at`.
  bool is_valid(double now, double accepted_at) const {
    if (is_current() || now < list_valid_until()) return true;
    return now < end_from(std::min(unavailable_until_, accepted_at), outage_duration_);
  }

 private:
  static constexpr double kForever = std::numeric_limits<double>::infinity();
  static constexpr double kNever = -kForever;

  double end_from(double confirmed_at, double duration) const {
    const double end = confirmed_at + duration;
    return confirmed_at < moved_at_ ? std::min(end, moved_at_ + duration - lease_reduction_) : end;
  }

  double duration_, outage_duration_;
  bool list_is_current_ = false;
  double as_of_ = kNever;
  double unavailable_until_ = kNever;
  double moved_at_ = kNever;
  double lease_reduction_ = 0;
};

}  // namespace thymewood
