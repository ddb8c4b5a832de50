#include "replica_set_view.h"

#include <algorithm>

namespace thymewood::membership {
namespace {

constexpr int kLeastSample = 4;  // pings; fewer say nothing of a part

}  // namespace

const char* name_of(Confidence confidence) {
  switch (confidence) {
    case Confidence::kAlone:
      return "alone";
    case Confidence::kCutOff:
      return "cut off";
    case Confidence::kPart:
      return "part";
    case Confidence::kWhole:
      return "whole";
  }
  return "unknown";
}

Views::Views(const Self& self, const ViewPlan& plan) : self_(self), plan_(plan), members_(self.peers) {
  view_.rank = self.number;
  view_.live = view_.bound = view_.told = self.peers;
  view_.reached = 1;
  view_.confidence = Confidence::kCutOff;  // until somebody has answered
}

double Views::hold_of(const Member& m) const {
  return plan_.hold * static_cast<double>(1 << std::min(m.turns, plan_.most_hold));
}

Confidence Views::confidence_of(const Detector& detector, int reached, int left) const {
  const int others = view_.told - 1 - left;
  if (detector.conflict()) return Confidence::kCutOff;
  if (others <= 0) return Confidence::kWhole;
  const Detector::Reach reach = detector.reach();
  if (reach.answered == 0) return Confidence::kCutOff;
  if (reach.asked >= kLeastSample && 2 * reach.answered <= reach.asked) return Confidence::kCutOff;
  if (2 * reached <= others + 1) return Confidence::kCutOff;
  return reached == others + 1 ? Confidence::kWhole : Confidence::kPart;
}

std::optional<FleetView> Views::update(double now, const Detector& detector) {
  next_ = std::numeric_limits<double>::infinity();
  FleetView out = view_;
  out.zones.clear();
  out.reached = 0;
  out.moving = false;
  int left = 0;
  bool due = false;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    Member& m = members_[i];
    const Record& r = detector.record(static_cast<Number>(i));
    const bool own = i == self_.number;
    const bool there = own || r.state < State::kFailed;
    if (!own && r.state == State::kLeft) ++left;
    if (own || (r.state == State::kAlive && r.incarnation > 0)) {
      out.reached += 1;
      out.zones[r.zone] += 1;
    }
    if (m.turns > 0 && now - m.turned >= plan_.forgive) {
      m.turns -= 1;
      m.turned = now;
    }
    if (there != m.there) {
      m.there = there;
      m.since = now;
    }
    if (m.there == m.settled) continue;
    out.moving = true;
    const double ripe = std::max(m.since + hold_of(m), moved_ + plan_.calm);
    if (now >= ripe) {
      due = true;
    } else {
      next_ = std::min(next_, ripe);
    }
  }
  // One move for all that are ripe: the next is `calm` later at the soonest.
  if (due) {
    moved_ = now;
    for (Member& m : members_) {
      if (m.there == m.settled || now < m.since + hold_of(m)) continue;
      m.settled = m.there;
      m.turns += 1;
      m.turned = now;
    }
  }
  if (now < moved_ + plan_.hold) {
    out.moving = true;
    next_ = std::min(next_, moved_ + plan_.hold);
  }
  const Confidence confidence = confidence_of(detector, out.reached, left);
  if (confidence == Confidence::kCutOff) worse_ = now;
  // Cut off at once, back after a while.
  out.confidence = confidence;
  if (confidence > Confidence::kCutOff && view_.confidence == Confidence::kCutOff &&
      now < worse_ + plan_.hold && worse_ > -std::numeric_limits<double>::infinity()) {
    out.confidence = Confidence::kCutOff;
    next_ = std::min(next_, worse_ + plan_.hold);
  }
  out.rank = self_.number;
  out.live = out.told;
  if (out.confidence > Confidence::kCutOff) {
    out.rank = out.live = 0;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (i == self_.number) out.rank = out.live;
      out.live += members_[i].settled ? 1 : 0;
    }
  }
  out.bound = std::max(out.live, out.told - left);
  if (out == view_) return std::nullopt;
  out.epoch = view_.epoch + 1;
  view_ = out;
  return out;
}

}  // namespace thymewood::membership
