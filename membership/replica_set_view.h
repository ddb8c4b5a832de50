// What the rest of a node makes of its detector: its rank among the live nodes, how many these are, and how
// far that can be relied on. Pure.
//
// Two things are kept apart. What spreads work (rank, live) follows the nodes that are there, held still so
// that one that comes and goes does not move the others. What bounds harm (`bound`) counts every node that
// may still be there: a node that does not answer may be cut off and go on sending, so only its own word that
// it ends takes it out.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "detector.h"

namespace thymewood::membership {

enum class Confidence {
  kAlone,   // membership is off
  kCutOff,  // this node reaches half of the others or fewer, or does not know its own number for sure
  kPart,    // some are missing, and more than half are reached
  kWhole
};
const char* name_of(Confidence confidence);

struct FleetView {
  std::uint64_t epoch = 0;  // of this node's own: raised with each change
  // Which part of the work is this node's: the rank-th of so many. Cut off: as it was told at its start.
  int rank = 0, live = 1;
  // How many nodes have to be reckoned with where a limit is shared out: never fewer than `live`.
  int bound = 1;
  bool moving = false;  // others may see another fleet for now: somebody comes or goes, or has just done so
  int told = 1;
  int reached = 1;  // heard of and held to be alive, this one included
  Confidence confidence = Confidence::kAlone;
  std::map<int, int> zones;  // reached, by zone
  bool operator==(const FleetView&) const = default;
};

struct ViewPlan {
  double hold = 5;      // s for which a node has to be there, or gone, before others move for it
  double calm = 10;     // s between two moves, at the least
  int most_hold = 5;    // a node that comes and goes is held up to 2 to this longer ...
  double forgive = 60;  // s after which one of its turns is forgotten
};

class Views {
 public:
  Views(const Self& self, const ViewPlan& plan);
  const FleetView& now() const { return view_; }
  // Looks at the detector. The new view, where it differs.
  std::optional<FleetView> update(double now, const Detector& detector);
  // When something changes though nothing happens; infinity: never.
  double next() const { return next_; }

 private:
  struct Member {
    bool settled = true;  // counted as live
    bool there = true;
    double since = 0;  // s; when `there` last changed
    int turns = 0;
    double turned = -std::numeric_limits<double>::infinity();
  };
  double hold_of(const Member& m) const;
  Confidence confidence_of(const Detector& detector, int reached, int left) const;

  Self self_;
  ViewPlan plan_;
  std::vector<Member> members_;
  FleetView view_;
  double moved_ = -std::numeric_limits<double>::infinity();
  double worse_ = -std::numeric_limits<double>::infinity();  // when it was last cut off
  double next_ = std::numeric_limits<double>::infinity();
};

}  // namespace thymewood::membership
