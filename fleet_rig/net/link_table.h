// Network conditions between any two actors, per direction. Pure logic: no sockets, no clock. Relays query it
// for the delivery time of each chunk; the rig updates it as faults begin and end.
//
// Several faults may be active on one link. Each is added and removed under its own ID, so that the end of
// one does not heal another: delays add up, losses are independent of each other, the lowest rate applies,
// and a single cut suffices.
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

// One direction of the link between a pair of actors.
class Direction {
 public:
  const Shape& shape() const { return combined_; }
  bool cut() const { return combined_.cut; }
  void add_fault(std::uint64_t fault, const Shape& shape);
  void remove_fault(std::uint64_t fault);

  // The delivery time of a stream chunk that arrives now. A stream stays in order, so a lost chunk, which is
  // delivered Shape::kResend later, delays those after it. `free_at` is state of the stream, 0 at its start:
  // the time at which the preceding chunk is delivered.
  double stream_delivery_time(double now, std::size_t bytes, double& free_at, Random& random) const;
  // The delivery times of a datagram: one, two if it is duplicated, none if it is lost.
  std::vector<double> datagram_delivery_times(double now, std::size_t bytes, Random& random);

 private:
  void combine_shapes();
  double draw_delay(Random& random) const { return combined_.delay + combined_.jitter * random.unit(); }

  std::map<std::uint64_t, Shape> shapes_by_fault_;
  Shape combined_;
  double link_free_at_ = 0;  // when a rate-limited link can send the next datagram
};

class LinkTable {
 public:
  // The reference stays valid for the lifetime of the table.
  Direction& direction(const Actor& from, const Actor& to) { return directions_[{from, to}]; }
  bool both_open(const Actor& a, const Actor& b) { return !direction(a, b).cut() && !direction(b, a).cut(); }

 private:
  std::map<std::pair<Actor, Actor>, Direction> directions_;
};

}  // namespace thymewood::fleet
