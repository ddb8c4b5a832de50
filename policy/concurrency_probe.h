// Trials of fewer calls in flight: where calls are refused for want of room, do fewer at once get more done?
// Servers that slow down when crowded tell nobody; behind a long queue they look like any busy server. So for
// a moment fewer calls are let in, and the work that is answered is held against that of the moment before.
//
// Why a trial and not a curve of work over calls in flight: what is seen in passing is seen while load, mix
// or a shared dependency change, and takes their doing for the crowd's. In a trial only the calls in flight
// change, and where it errs it errs to a number of calls that does as much.
//
// Nothing here decides what is refused; the module asks for the bound. Times are seconds on the module's
// clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace thymewood {

class ConcurrencyProbe {
 public:
  static constexpr double kNoBound = std::numeric_limits<double>::infinity();

  // Calls in flight that are let in at most. Without refusals it is lifted by and by.
  double bound(double now) const {
    if (phase_ == Phase::kSettles || phase_ == Phase::kTries) return tried_;
    return bound_ * std::exp(std::max(0.0, now - refused_at_ - kRefusing) / kLift);
  }

  // A call was answered after `elapsed` s: `work` is what such calls are taken to need on an idle tier, s.
  void answered(double now, double work, double in_flight, double answer_time, double elapsed) {
    work_ += work;
    elapsed_ += elapsed;
    answers_ += 1;
    if (phase_ == Phase::kRests) return;
    if (now > refused_at_ + kRefusing) return rest(now, kFirstRest);  // nothing is to be gained any more
    // Danger: where answers are few, calls would be held back for minutes to learn nothing.
    if (now > phase_at_ + kLongest) return rest(now, std::min(kLongestRest, 2 * rest_));
    if (phase_ == Phase::kSettles) {
      // Calls that met another number in flight are out for an answer time after the last of them was let in.
      const bool there = part_ < 1 ? in_flight <= tried_ : in_flight >= kThere * tried_;
      if (there_at_ == kNoBound && (there || now > phase_at_ + kSettle * answer_time)) there_at_ = now;
      if (now >= there_at_ + answer_time) enter(now, Phase::kTries);
      return;
    }
    if (answers_ < kAnswers || now - phase_at_ < kShortest) return;
    const double rate = work_ / (now - phase_at_);
    if (phase_ == Phase::kMeasures) {
      before_ = rate;
      stretch_before_ = elapsed_ / work_;
      there_at_ = kNoBound;
      return enter(now, Phase::kSettles);
    }
    conclude(now, rate);
  }

  // A call was refused for want of room, with so many in flight. Fewer than `least` are not tried.
  void refused(double now, double in_flight, double least) {
    if (now > refused_at_ + kRefusing) {
      bound_ = bound(now);
      if (phase_ == Phase::kRests) next_at_ = std::max(next_at_, now + kFirstRest);
    }
    refused_at_ = now;
    if (phase_ != Phase::kRests || now < next_at_) return;
    const bool up = bound_ < kNoBound && !down_next_;
    down_next_ = up;
    part_ = up ? kUp : part_ / 2 < kLeastPart ? kHalf : part_ / 2;
    if (!up && part_ * in_flight < least) part_ = kHalf;
    tried_ = part_ * in_flight;
    // Danger: a step up into a crowd costs more than it can gain, and servers may be slow to get over it.
    if (up && now < crowded_until_) tried_ = std::min(tried_, kClear * crowded_);
    met_ = in_flight;
    if (tried_ < least || (up && tried_ <= bound_)) {  // not now; that is no trial that failed
      next_at_ = now + kFirstRest;
      return;
    }
    enter(now, Phase::kMeasures);
  }

  // Whether a trial has just ended in which calls took as long with fewer in flight: they met no queue at
  // all. By Little's law a queue would have become shorter by what was taken away.
  bool take_proof() { return std::exchange(proof_, false); }

  // Other servers stand behind it from now on.
  void forget() { *this = {}; }

 private:
  enum class Phase { kRests, kMeasures, kSettles, kTries };
  static constexpr double kRefusing = 1;    // s; without a refusal for so long there is room
  static constexpr double kLift = 5;        // s; how fast the bound rises then
  static constexpr double kAnswers = 400;   // answers that a measure takes: chance is within a twentieth
  static constexpr double kLongest = 20;    // s; a phase that lasts longer is given up
  static constexpr double kShortest = 0.1;  // s; and it takes so long at least
  static constexpr double kSettle =
      3;  // x the answer time: the longest wait for calls in flight to come down
  static constexpr double kThere = 0.95;  // x the calls that are tried: near enough
  static constexpr double kHalf = 0.5, kLeastPart = 0.1, kUp = 1.5;  // of the calls in flight: what is tried
  static constexpr double kMore = 1.25;       // x the work of before: worth having fewer calls for
  static constexpr double kClear = 0.75;      // x the calls that were found to crowd: how near more may come
  static constexpr double kCrowdMemory = 60;  // s; for so long
  static constexpr double kAsLong = 0.9;      // x the time of before: no queue was there to become shorter
  static constexpr double kAsMuch = 0.95;     // x the work of before: no harm in having more
  static constexpr double kFirstRest = 1,
                          kLongestRest = 60;  // s; between two trials, doubled while they fail

  void enter(double now, Phase phase) {
    phase_ = phase;
    phase_at_ = now;
    work_ = answers_ = elapsed_ = 0;
  }
  void rest(double now, double how_long) {
    enter(now, Phase::kRests);
    rest_ = how_long;
    next_at_ = now + how_long;
  }
  void conclude(double now, double rate) {
    proof_ = part_ < 1 && elapsed_ / work_ > kAsLong * stretch_before_;
    const bool taken = rate > (part_ > 1 ? kAsMuch : kMore) * before_;
    if (taken) bound_ = tried_;
    if (taken && part_ < 1) {
      crowded_ = now < crowded_until_ ? std::min(crowded_, met_) : met_;
      crowded_until_ = now + kCrowdMemory;
    }
    // What has helped may help again; and more calls that did no harm at once may do so later.
    down_next_ = taken || part_ > 1;
    rest(now, taken ? kFirstRest : std::min(kLongestRest, 2 * rest_));
  }

  Phase phase_ = Phase::kRests;
  double phase_at_ = 0, next_at_ = 0, rest_ = kFirstRest, refused_at_ = -kNoBound;
  double there_at_ = kNoBound;  // when calls in flight had come to what is tried
  double work_ = 0, answers_ = 0, elapsed_ = 0, before_ = 0, stretch_before_ = 0;
  double met_ = 0;                                  // calls in flight as the trial began
  double crowded_ = 0, crowded_until_ = -kNoBound;  // calls in flight that were found to crowd
  double part_ = 1, tried_ = kNoBound, bound_ = kNoBound;
  bool down_next_ = false, proof_ = false;
};

}  // namespace thymewood
