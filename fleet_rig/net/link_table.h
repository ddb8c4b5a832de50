// What happens to what passes between any two actors, one way at a time. Pure: no sockets, no clock. Relays
// ask it for each piece when it is to be delivered; the rig sets it as faults begin and end.
//
// Several faults may hold on one link. Each is laid on under a number of its own and taken off by it, so that
// the end of one does not heal another: delays add up, losses are independent of each other, the lowest rate
// binds, and one cut is enough.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "actors.h"
#include "fleet_tables.h"
#include "random.h"

namespace thymewood::fleet {

using bench::Actor;
using bench::Random;
using bench::Shape;

// One way of one pair.
class Direction {
 public:
  const Shape& shape() const { return sum_; }
  bool cut() const { return sum_.cut; }
  void lay(std::uint64_t fault, const Shape& shape);
  void lift(std::uint64_t fault);

  // For a piece of a stream that comes now: when it is to be delivered. A stream stays in order, so that a
  // lost piece (it comes Shape::kResend later) holds up those behind it. `free` is the stream's own, 0 at its
  // start: when what came before will have been delivered.
  double due_in_stream(double now, std::size_t bytes, double& free, Random& random) const;
  // For a datagram: when it is to be delivered, once, twice or not at all.
  std::vector<double> due_datagrams(double now, std::size_t bytes, Random& random);

 private:
  void add_up();
  double draw_delay(Random& random) const { return sum_.delay + sum_.jitter * random.unit(); }

  std::map<std::uint64_t, Shape> laid_;
  Shape sum_;
  double wire_free_ = 0;  // of datagrams, where a rate binds
};

class LinkTable {
 public:
  // Stays where it is for as long as the table lives.
  Direction& way(const Actor& from, const Actor& to) { return ways_[{from, to}]; }
  bool both_open(const Actor& a, const Actor& b) { return !way(a, b).cut() && !way(b, a).cut(); }

 private:
  std::map<std::pair<Actor, Actor>, Direction> ways_;
};

}  // namespace thymewood::fleet
