// Whether a node is cut off from its servers as well as from the other nodes, so that whoever asks it is
// better told at once to ask another. Pure; times are seconds on any clock that never runs backwards.
//
// A node that is cut off from peers alone goes on as ever: they may all be down. One that no server answers
// may face an outage that all nodes see, where another node would do no better. Only both together say that
// it is this node.
#pragma once

#include <deque>

#include "replica_set_view.h"

namespace thymewood::membership {

struct IsolationPlan {
  int least = 10;        // attempts that have to have ended ...
  double within = 5;     // ... in so many s ...
  double silent = 0.8;   // ... and this part of them without a word of any server
  double try_every = 1;  // s; isolated, one request in so long goes to a server all the same
  int answers = 2;       // so many of these in a row that bring a word of a server end it
};

class Isolation {
 public:
  explicit Isolation(const IsolationPlan& plan) : plan_(plan) {}

  void sees(Confidence confidence);
  // An attempt has ended; `heard`: the server said anything, be it that it is full.
  void attempt_ended(double now, bool heard);

  bool isolated() const { return isolated_; }
  // Whether a request that has just come is to be refused; not the one by which it is tried whether servers
  // are back.
  bool refuses(double now);

 private:
  struct Ended {
    double at = 0;
    bool heard = false;
  };
  void decide(double now);

  IsolationPlan plan_;
  std::deque<Ended> ended_;
  bool cut_off_ = false, isolated_ = false;
  double tried_ = 0;
  int answers_ = 0;
};

}  // namespace thymewood::membership
