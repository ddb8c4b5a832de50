// Whether one more connection is worth dialling while all that are idle at a server rest.
//
// A connection rests for a moment after each answer (see upstream.cpp), so that a server takes as many as
// requests come in that moment, beside those in flight. One caller that asks again at once would otherwise
// wait out the rest each time. But a connection costs the server a handshake, and it holds only so many: a
// request in kUses may have one dialled, and a dial that fails takes that away for a while. Where requests
// come far apart, as they do at most servers, they find rested connections and nothing is dialled; where they
// come densely, connections grow to what is needed within some hundred requests and are kept in use by them.
//
// Pure: counts only.
#pragma once

#include <algorithm>

namespace thymewood::node {

class SpareDials {
 public:
  // A request goes to the server, by whichever connection.
  void request() { saved_ = std::min(kMost, saved_ + 1 / kUses); }
  // A request would have to wait for a rest to end; true: dial for it as well.
  bool take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }
  // No connection came about: the server may hold no more.
  void failed() { saved_ = -kPenalty; }

 private:
  static constexpr double kUses = 16;    // requests for a dial
  static constexpr double kMost = 2;     // dials saved up
  static constexpr double kPenalty = 8;  // dials forgone after one that failed

  double saved_ = 0;
};

}  // namespace thymewood::node
