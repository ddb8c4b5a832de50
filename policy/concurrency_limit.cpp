#include "concurrency_limit.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace thymewood {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kLeastAim = 1e-3, kMostAim = 60;  // s; what an aim counts as

// How long calls take on an idle tier.
constexpr double kStartBase = 0.15;  // of the aim; the most that answers under refusals may give at first
constexpr double kMostBase = 0.3;    // of the aim; a start under load takes no queue for usual
constexpr double kBaseCalls = 20;    // calls; answers before the usual answer time counts as learned
constexpr double kBaseSettle = 3;    // s; before it the answers are those of the quickest calls only
constexpr double kBaseGain = 0.02;   // weight of one answer
constexpr double kBaseFall = 5, kBaseRise = 60;  // s; how fast a quicker, and a slower, tier becomes usual
constexpr double kBaseDoubt = 15;  // s; the same for a slower one while nothing without a queue was seen

// How long they may wait.
constexpr double kQueueFactor = 0.9;  // x the idle answer time: what a call may wait, ...
constexpr double kQueueShare = 0.25;  // ... or this part of what its aim leaves, if that is more
constexpr double kLatePart = 0.5;     // of a late answer's worth: what it adds to the aim
constexpr double kSomeCalls = 0.03;   // of the calls; a class with fewer does not say how long all may wait
constexpr double kWaitsKept = 0.1;    // s; between two looks at the mix

// How many that makes.
constexpr double kLeastRoom = 2;      // calls in flight, over all copies, that any server has room for
constexpr double kStartRoom = 6;      // and more at one that has had no time to answer; fades as answers come
constexpr double kStartMemory = 2;    // s; how soon
constexpr double kServerPart = 0.85;  // x the room, at one server: its measure is less steady than the tier's
constexpr double kCalm = 0.45, kCrowded = 0.7;  // of the aim; answer times that leave chance all, no room
constexpr double kChance = 2;   // calls; what a copy may hold by chance, beside the deviations
constexpr double kNoise = 1.5;  // standard deviations of a count that are left to chance
constexpr double kIdleStretch = 1.5,
                 kQueuedStretch = 1.8;  // x the idle answer time: surely no queue; a queue
constexpr double kRecentGain = 0.15;    // weight of one answer in what the tier does now ...
constexpr double kRecentTime = 0.25;  // s; ... or less where answers come faster than that many in this time

// When there is none.
constexpr double kRefusing =
    1;  // s; so long after a refusal for want of room, calls in flight are what room is
constexpr double kTrialWait = 1.5,
                 kTrialLeast = 12;  // x the idle answer time; calls: a queue that has to spare
// Copies at a server. Danger: half the calls of one among many take next to nothing of a queue, and the queue
// would pass for none.
constexpr double kProofSharers = 2;
constexpr double kSureRoom = 1.3;  // x the calls that are worked on at once; no crowd is seen below

// s; by when an answer is worth its wait: the aim, and a part of what lies between it and the end where a
// late answer still has worth. Danger: all of that part lets queues grow in which servers turn slow.
double patience(const RequestClass& c) {
  return c.late_value > 0 && std::isfinite(c.client_timeout)
             ? c.latency_objective +
                   kLatePart * c.late_value * std::max(0.0, c.client_timeout - c.latency_objective)
             : c.latency_objective;
}

// Calls that may be in flight, over all copies, where nothing is measured yet.
double unmeasured_room(double now, double met_at) {
  return kLeastRoom + kStartRoom * std::exp((met_at - now) / kStartMemory);
}

}  // namespace

// ---------------------------------------------------------------- what is learned

void IdleTime::add(double now, double part_of_aim, bool queued) {
  if (usual_.samples == 0) at_ = now + kBaseSettle;
  usual_.add(part_of_aim, kBaseGain);
  if (now < at_ || usual_.samples < kBaseCalls) return;
  const double rise = sure_ ? kBaseRise : kBaseDoubt;
  const double step = learned_ ? (now - at_) / (usual_.mean < base_ ? kBaseFall : rise) : 1;
  const double most = std::max(proven_, queued && !learned_ ? kStartBase : kMostBase);
  base_ = std::min(base_ + (usual_.mean - base_) * std::min(1.0, step), most);
  sure_ = sure_ || !queued;
  learned_ = true;
  at_ = now;
}

// Danger: where the aim is a few times what calls take, the bounds above hold a start's guess for long.
void IdleTime::prove(double now) {
  if (usual_.samples < kBaseCalls || usual_.mean <= base_) return;
  base_ = proven_ = usual_.mean;
  learned_ = sure_ = true;
  at_ = now;
}

void Throughput::add(double now, double natural, double answer_time) {
  steady_.add(now, std::max(kMemory, 2 * answer_time));
  quick_.add(now, answer_time / 2);
  slow_.add(now);
  worked_ = std::max(worked_on(now), natural * slow_.at(now));
  worked_at_ = now;
}
double Throughput::steady(double now, double answer_time) const {
  return steady_.at(now, std::max(kMemory, 2 * answer_time));
}
double Throughput::quick(double now, double answer_time) const { return quick_.at(now, answer_time / 2); }
double Throughput::worked_on(double now) const {
  return worked_ * std::exp((worked_at_ - now) / kWorkedHold);
}

ConcurrencyLimit::ConcurrencyLimit(const std::vector<RequestClass>& classes) {
  for (const RequestClass& c : classes) {
    classes_.emplace_back();
    classes_.back().latency_objective = std::max(std::min(patience(c), kMostAim), kLeastAim);
  }
  learn_waits(0);
}

void ConcurrencyLimit::answered(double now, std::size_t request_class, double elapsed, double in_flight,
                                double usual_answer_time, Throughput& server) {
  ClassRoom& c = classes_[request_class];
  const double known = sure_ ? natural_ : 0;
  server.add(now, known, natural_ + wait_);
  all_.add(now, known, natural_ + wait_);
  trial_.answered(now, c.idle_time(), in_flight, usual_answer_time, elapsed);
  if (trial_.take_proof() && may_prove_) {
    for (ClassRoom& each : classes_) each.idle.prove(now);
    waits_until_ = now;
  }
  c.answered.add(now);
  c.idle.add(now, elapsed / c.latency_objective,
             now < refused_at_ + kRefusing && in_flight > kSureRoom * all_.worked_on(now) + 1);
  if (now >= waits_until_) learn_waits(now);
}

void ConcurrencyLimit::took(double now, std::size_t request_class, double elapsed) {
  const ClassRoom& c = classes_[request_class];
  const double gain = std::min(kRecentGain, (now - recent_at_) / kRecentTime);
  recent_.add(elapsed / c.latency_objective, gain);
  stretch_.add(elapsed / c.idle_time(), gain);
  recent_at_ = now;
}

// Danger: servers that were crowded from the start never show what they do otherwise. Half of a long queue
// still keeps them busy; a short one is left alone, for there fewer calls leave servers idle.
void ConcurrencyLimit::refused(double now, double in_flight, bool may_try, double sharers) {
  refused_at_ = now;
  may_prove_ = sharers <= kProofSharers;
  if (!may_try || (sure_ && wait_ < kTrialWait * natural_)) return;
  trial_.refused(now, in_flight, std::max(kTrialLeast, kSureRoom * all_.worked_on(now)));
}

// What the class allows that can bear the least. Danger: where one class may wait long, its queue is that of
// the others too.
void ConcurrencyLimit::learn_waits(double now) {
  double sum = 0, weighted = 0, least = kForever;
  sure_ = true;
  for (const ClassRoom& c : classes_) sum += c.answered.at(now);
  for (const ClassRoom& c : classes_) {
    const double part = sum > 0 ? c.answered.at(now) / sum : 1.0 / static_cast<double>(classes_.size());
    weighted += part * c.idle_time();
    if (part < kSomeCalls) continue;
    sure_ = sure_ && c.idle.sure();
    least = std::min(
        least, std::max(kQueueFactor * c.idle_time(), kQueueShare * (c.latency_objective - c.idle_time())));
  }
  natural_ = weighted;
  wait_ = std::isfinite(least) ? least : natural_;
  waits_until_ = now + kWaitsKept;
}

// ---------------------------------------------------------------- how much room that makes

double ConcurrencyLimit::unqueued() const {
  return std::clamp((kQueuedStretch - stretch_.mean) / (kQueuedStretch - kIdleStretch), 0.0, 1.0);
}

// Calls in flight at which the wait is what it may be, by the answers that come. Answers that show no queue
// are proof of more room than they use: then a few of them are enough to go by. Danger: under a queue the
// quick measure would take chance for room.
double ConcurrencyLimit::by_answers(const Throughput& t, double now) const {
  const double steady = t.steady(now, natural_ + wait_);
  const double rise = std::max(0.0, t.quick(now, natural_ + wait_) - steady);
  return std::max((natural_ + wait_) * (steady + unqueued() * rise), t.worked_on(now));
}

double ConcurrencyLimit::at_server(double now, const Throughput& server, double met_at,
                                   double sharers) const {
  return unmeasured_room(now, met_at) / sharers + kServerPart * by_answers(server, now);
}

double ConcurrencyLimit::at_all(double now, double servers, double met_at, double sharers) const {
  // Danger: what chance needs at each of many copies is a crowd over all: it is given in calm only.
  const double calm = std::clamp((kCrowded - recent_.mean) / (kCrowded - kCalm), 0.0, 1.0);
  const double room = unmeasured_room(now, met_at) * servers / sharers + by_answers(all_, now);
  return std::min(room + calm * (kChance + kNoise * std::sqrt(room)), trial_.bound(now));
}

}  // namespace thymewood
