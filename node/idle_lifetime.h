// How long a kept connection may have stood idle and still be trusted with a request that may not be sent
// twice.
//
// What lies between a node and its servers may forget a connection that is idle, and servers may close it
// sooner than they say: neither is seen before the next request is written, and that one is reset. It may
// have run (RFC 9110, 9.2.2, lets only what is idempotent be sent again), so a request of an unsafe class is
// lost with it. Where such resets come often, those requests go on connections that were in use a moment ago,
// or on new ones, which cost the servers some work; requests that may be repeated go on using the others.
//
// Pure: times are seconds on any steady clock, given with each call.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood::node {

class IdleTrust {
 public:
  // A request was written to a connection that had been idle for `idle` s, and has ended; `dropped`: by a
  // reset, too soon for an answer.
  void used(double now, double idle, bool dropped) {
    dropped_ += kGain * ((dropped ? 1 : 0) - dropped_);
    if (!dropped) return;
    shortest_ = std::min(shortest(now), idle);
    at_ = now;
  }

  // s; infinite where few connections are dropped.
  double longest(double now) const {
    return dropped_ < kOften ? std::numeric_limits<double>::infinity() : kPart * shortest(now);
  }

  // s; a reset later than this after the request says nothing of the idling.
  static constexpr double kSoon = 0.02;

 private:
  static constexpr double kGain = 0.02;  // weight of one use: about the last fifty count
  static constexpr double kOften =
      0.03;  // of the uses. Two in a row do, as when a server dies; they fade with use
  static constexpr double kPart = 0.5;   // x the shortest idling after which one was dropped
  static constexpr double kDouble = 10;  // s; in which that doubles again

  double shortest(double now) const { return shortest_ * std::exp2((now - at_) / kDouble); }

  double dropped_ = 0;  // part of the uses
  double shortest_ = std::numeric_limits<double>::infinity(), at_ = 0;
};

}  // namespace thymewood::node
