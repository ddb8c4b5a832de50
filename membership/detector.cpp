#include "detector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <stdexcept>
#include <utility>

namespace thymewood::membership {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr std::size_t kMostErrands = 64;
constexpr int kWindow = 64;        // stamps below the newest that are told apart
constexpr double kAway = 0.5;      // periods by which a tick may be late before the loop counts as away
constexpr double kNackPart = 0.8;  // of the time that a helper's ping has, after which it says so

double scale_of(std::size_t peers) { return std::max(1.0, std::log10(static_cast<double>(peers))); }

}  // namespace

Detector::Detector(const Self& self, const Plan& plan, std::uint64_t seed)
    : self_(self), plan_(plan), random_(seed), table_(self.peers) {
  const auto require = [](bool good, const char* what) {
    if (!good) throw std::invalid_argument(std::string("membership: ") + what);
  };
  require(self.peers > 0, "peers has to be above 0");
  require(self.number < self.peers, "number has to be below peers");
  require(self.start_ms > 0 && self.start_ms < (std::uint64_t{1} << 47), "start_ms is no time");
  require(plan.period > 0 && plan.period <= 3600, "period has to be above 0 s, an hour at most");
  require(plan.answer_part > 0 && plan.answer_part < 1, "answer_part lies between 0 and 1");
  require(plan.helpers >= 0 && plan.accusers >= 1 && plan.most_doubt >= 0, "helpers, accusers or most_doubt");
  require(plan.suspicion >= 1 && plan.suspicion_most >= 1, "suspicion and suspicion_most are 1 at least");
  require(plan.rides >= 1 && plan.rejoin_every >= 1, "rides and rejoin_every are 1 at least");
  for (std::size_t i = 0; i < table_.size(); ++i)
    table_[i].record.number = table_[i].record.by = static_cast<Number>(i);
  Record& own = table_[self.number].record;
  own.zone = self.zone;
  own.incarnation = incarnation_of(self.start_ms);
  rides_ = static_cast<int>(std::ceil(plan.rides * scale_of(self.peers)));
}

double Detector::least_suspicion(const Plan& plan, std::size_t peers) {
  return plan.suspicion * scale_of(peers) * plan.period;
}

// Its turn comes once in each round of every peer, so twice a round's length after its death at the latest;
// then it is suspect for as long as with a single accuser. Where many live on, all are much quicker.
double Detector::most_until_failed(const Plan& plan, std::size_t peers) {
  const auto others = static_cast<double>(peers > 1 ? peers - 1 : 1);
  return (2 * others + 2) * plan.period + plan.suspicion_most * least_suspicion(plan, peers);
}

// ---------------------------------------------------------------- time

void Detector::start(double now, std::vector<Output>&) {
  if (std::exchange(started_, true)) return;
  rumors_.add(table_[self_.number].record);
  // Not all at one moment, where a whole fleet starts.
  probe_at_ = now + plan_.period * std::uniform_real_distribution<double>(0, 1)(random_);
}

double Detector::next() const {
  if (!started_ || left_) return kForever;
  double out = kForever;
  if (probe_) out = probe_->help || probe_->answered ? probe_->until : probe_->help_at;
  out = std::min(out, probe_at_);
  for (const Errand& e : errands_) out = std::min(out, e.nacked ? e.until : e.nack_at);
  for (const Entry& e : table_) {
    if (e.suspicion) out = std::min(out, deadline_of(*e.suspicion));
  }
  return out;
}

double Detector::deadline_of(const Suspicion& s) const {
  const double least = least_suspicion(plan_, table_.size()), most = plan_.suspicion_most * least;
  // No more can be expected than there are others who could accuse.
  const auto wanted = std::min<std::size_t>(static_cast<std::size_t>(plan_.accusers),
                                            table_.size() > 3 ? table_.size() - 2 : 1);
  const double more = static_cast<double>(s.accusers.size() - 1);
  const double part = std::log(more + 1) / std::log(static_cast<double>(wanted) + 1);
  return s.begun + s.extended + std::max(least, most - (most - least) * part);
}

// A loop that was stopped or starved heard nobody: it has no reason to accuse anyone, and every reason to
// doubt itself. What came meanwhile was received before.
void Detector::back_from_away(double now, double away, std::vector<Output>& out) {
  counts_.aways += 1;
  out.push_back(Remark{"was away for " + std::to_string(away) + " s"});
  for (Entry& e : table_) {
    if (e.suspicion) e.suspicion->extended += away;
  }
  probe_.reset();
  doubtful_.reset();
  errands_.clear();
  probe_at_ = now;
  doubt_by(1);
}

void Detector::tick(double now, std::vector<Output>& out) {
  if (!started_ || left_) return;
  if (const double late = now - next(); late > kAway * plan_.period) back_from_away(now, late, out);
  std::erase_if(errands_, [&](Errand& e) {
    if (!e.nacked && now >= e.nack_at) {
      e.nacked = true;
      post(Kind::kNack, e.of, e.target, e.asked, out);
    }
    return now >= e.until;
  });
  if (probe_ && !probe_->answered && !probe_->help && now >= probe_->help_at) ask_for_help(now, out);
  if (probe_ && now >= probe_->until) end_probe(now, out);
  for (Entry& e : table_) {
    if (!e.suspicion || now < deadline_of(*e.suspicion)) continue;
    Record failed = e.record;
    failed.state = State::kFailed;
    failed.by = self_.number;
    counts_.failures += 1;
    take(failed, "did not object, accused by " + std::to_string(e.suspicion->accusers.size()), out);
  }
  if (now >= probe_at_) begin_probe(now, out);
}

// ---------------------------------------------------------------- pings

// A peer in turn, in an order that is drawn anew for each round: so each waits at most two rounds for its
// turn, and no two nodes go through the fleet in step (SWIM, section 4.3).
std::optional<Number> Detector::next_target() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      const Number number = round_.back();
      round_.pop_back();
      if (table_[number].record.state < State::kFailed) return number;
    }
    for (std::size_t i = 0; i < table_.size(); ++i) {
      if (i != self_.number) round_.push_back(static_cast<Number>(i));
    }
    std::shuffle(round_.begin(), round_.end(), random_);
  }
  return std::nullopt;
}

void Detector::begin_probe(double now, std::vector<Output>& out) {
  const double period = plan_.period * stretch();
  probe_at_ = now + period;
  ++periods_;
  // Beside the usual one: without it, two parts of a fleet that hold each other to have failed never meet.
  if (periods_ % plan_.rejoin_every == 0) {
    std::vector<Number> gone;
    for (const Entry& e : table_) {
      if (e.record.state == State::kFailed) gone.push_back(e.record.number);
    }
    if (!gone.empty()) {
      const Number target = gone[below(gone.size())];
      post(Kind::kPing, target, target, 0, out);
    }
  }
  const bool again = doubtful_.has_value() && table_[*doubtful_].record.state < State::kFailed;
  const std::optional<Number> target = again ? doubtful_ : next_target();
  if (!again) doubtful_.reset();
  if (!target) return;
  Probe probe;
  probe.target = *target;
  probe.sent = now;
  probe.help_at = now + plan_.answer_part * period;
  probe.until = now + period;
  counts_.pings += 1;
  probe.stamp = post(Kind::kPing, *target, *target, 0, out);
  probe_ = probe;
}

// Some others that are held to be alive, in any order.
std::vector<Number> Detector::some(std::size_t most, Number without) {
  std::vector<Number> out;
  for (const Entry& e : table_) {
    const Number n = e.record.number;
    if (n != self_.number && n != without && e.record.state == State::kAlive) out.push_back(n);
  }
  for (std::size_t i = 0; i < std::min(most, out.size()); ++i)
    std::swap(out[i], out[i + below(out.size() - i)]);
  out.resize(std::min(most, out.size()));
  return out;
}

void Detector::ask_for_help(double, std::vector<Output>& out) {
  probe_->help = true;
  probe_->second = post(Kind::kPing, probe_->target, probe_->target, 0, out);
  for (const Number helper : some(static_cast<std::size_t>(plan_.helpers), probe_->target)) {
    post(Kind::kAsk, helper, probe_->target, probe_->stamp, out);
    probe_->asked += 1;
  }
}

void Detector::end_probe(double now, std::vector<Output>& out) {
  const Probe probe = *probe_;
  probe_.reset();
  sample_ = (sample_ << 1) | (probe.answered ? 1 : 0);
  sampled_ = std::min(sampled_ + 1, kSample);
  const bool again = doubtful_ == probe.target;
  doubtful_.reset();
  if (probe.answered) return;
  counts_.unanswered += 1;
  // Helpers that say that they are there speak for this node's own health; silent ones speak against it.
  doubt_by(probe.asked > 0 ? probe.asked - probe.nacks : 1);
  const Record& record = table_[probe.target].record;
  if (record.state >= State::kFailed) return;
  // Danger: where a fifth of all datagrams is lost, one ping in fourteen fails by chance. In a fleet of
  // hundreds that is more accusations than datagrams can carry, objections don't get through, and nodes that
  // live are failed.
  if (!again && record.state == State::kAlive) {
    doubtful_ = probe.target;
    return;
  }
  Record suspect = record;
  suspect.state = State::kSuspect;
  suspect.by = self_.number;
  accuse(now, suspect, out);
}

Detector::Reach Detector::reach() const {
  Reach out;
  out.asked = sampled_;
  for (int i = 0; i < sampled_; ++i) out.answered += static_cast<int>((sample_ >> i) & 1);
  return out;
}

void Detector::doubt_by(int more) { doubt_ = std::clamp(doubt_ + more, 0, plan_.most_doubt); }

// ---------------------------------------------------------------- what is sent

std::uint32_t Detector::post(Kind kind, Number to, Number target, std::uint32_t answers,
                             std::vector<Output>& out) {
  Message m;
  m.kind = kind;
  m.target = target;
  m.answers = answers;
  fill(m, to);
  Post post{to, encode(m)};
  counts_.sent += 1;
  counts_.sent_bytes += post.datagram.size;
  out.push_back(post);
  return m.stamp;
}

void Detector::fill(Message& m, std::optional<Number> to) {
  const Record& own = table_[self_.number].record;
  m.fleet = self_.fleet;
  m.from = self_.number;
  m.stamp = ++stamp_;
  m.zone = self_.zone;
  m.peers = self_.peers;
  m.incarnation = own.incarnation;
  m.digest = digest();
  if (!to) return;
  // What is held against the receiver comes first: it alone can object (Lifeguard, section 3.3).
  const Entry& receiver = table_[*to];
  if (receiver.record.incarnation > 0) m.records.push_back(receiver.record);
  rumors_.take(kMostRecords - m.records.size(), rides_, *to, m.records);
  if (receiver.life > 0 && receiver.digest == m.digest) return;
  // Its table differs: what room is left goes to ours, from where the last one ended.
  for (std::size_t i = 0; i < table_.size() && m.records.size() < kMostRecords; ++i) {
    cursor_ = (cursor_ + 1) % table_.size();
    const Record& r = table_[cursor_].record;
    const bool there = std::any_of(m.records.begin(), m.records.end(),
                                   [&](const Record& o) { return o.number == r.number; });
    if (r.incarnation > 0 && r.number != self_.number && !there) m.records.push_back(r);
  }
}

// A sum, so that it does not hang on the order in which things were heard. Who is suspect passes by itself,
// and that one left is believed of itself alone: who missed it has it as failed.
std::uint32_t Detector::digest() {
  if (std::exchange(digest_known_, true)) return digest_;
  digest_ = 0;
  for (const Entry& e : table_) {
    const Record& r = e.record;
    if (r.incarnation == 0) continue;
    std::array<std::uint8_t, 11> bytes{};
    bytes[0] = static_cast<std::uint8_t>(r.number);
    bytes[1] = static_cast<std::uint8_t>(r.number >> 8);
    bytes[2] = static_cast<std::uint8_t>(r.state < State::kFailed ? 0 : 1);
    for (std::size_t i = 0; i < sizeof r.incarnation; ++i)
      bytes[3 + i] = static_cast<std::uint8_t>(r.incarnation >> (8 * i));
    digest_ += hash_of(bytes);
  }
  return digest_;
}

void Detector::leave(double, std::vector<Output>& out) {
  if (!started_ || std::exchange(left_, true)) return;
  table_[self_.number].record.state = State::kLeft;
  // A datagram may be lost, and who hears none of them suspects it as any other.
  constexpr int kTimes = 3;
  for (int i = 0; i < kTimes; ++i) {
    Message m;
    m.kind = Kind::kLeaving;
    m.target = self_.number;
    fill(m, std::nullopt);
    Post post{std::nullopt, encode(m)};
    counts_.sent += 1;
    counts_.sent_bytes += post.datagram.size;
    out.push_back(post);
  }
}

// ---------------------------------------------------------------- what comes

void Detector::receive(double now, std::optional<Number> sender, std::span<const std::uint8_t> bytes,
                       std::vector<Output>& out) {
  if (!started_ || left_) return;
  counts_.came += 1;
  counts_.came_bytes += bytes.size();
  Message m;
  switch (decode(bytes, self_.fleet, table_.size(), m)) {
    case Fault::kNone:
      break;
    case Fault::kShort:
      counts_.too_short += 1;
      return;
    case Fault::kLong:
      counts_.too_long += 1;
      return;
    case Fault::kStrange:
      counts_.strange += 1;
      return;
    case Fault::kNewer:
      counts_.newer += 1;
      return;
    case Fault::kOther:
      counts_.other_fleet += 1;
      return;
    case Fault::kDamaged:
      counts_.damaged += 1;
      return;
    case Fault::kSenseless:
      counts_.senseless += 1;
      return;
  }
  // What this node sent to all comes back to it.
  if (m.from == self_.number && sender == self_.number) return;
  if (!sender || *sender != m.from) {
    counts_.strangers += 1;
    return;
  }
  Entry& from = table_[m.from];
  if (life_of(m.incarnation) < life_of(from.record.incarnation)) {
    counts_.old += 1;
    // Of the old life, or of a new one whose clock stands back: told what is held of it, it can go on above.
    if (m.kind == Kind::kPing) post(Kind::kAck, m.from, self_.number, m.stamp, out);
    return;
  }
  if (!is_new(from, m)) {
    counts_.repeated += 1;
    return;
  }
  handle(now, m, out);
}

// Whether no datagram of this stamp has come in this life of its sender.
bool Detector::is_new(Entry& entry, const Message& m) {
  // Its new life may have been heard of before it was heard: the stamps have a life of their own.
  if (life_of(m.incarnation) > entry.life) {
    entry.life = life_of(m.incarnation);
    entry.newest = m.stamp;
    entry.window = 1;
    return true;
  }
  if (m.stamp > entry.newest) {
    const std::uint32_t ahead = m.stamp - entry.newest;
    entry.window = ahead >= kWindow ? 1 : (entry.window << ahead) | 1;
    entry.newest = m.stamp;
    return true;
  }
  const std::uint32_t back = entry.newest - m.stamp;
  if (back >= kWindow || ((entry.window >> back) & 1) != 0) return false;
  entry.window |= std::uint64_t{1} << back;
  return true;
}

void Detector::handle(double now, const Message& m, std::vector<Output>& out) {
  table_[m.from].digest = m.digest;
  Record sender;
  sender.number = sender.by = m.from;
  sender.zone = m.zone;
  sender.incarnation = m.incarnation;
  if (m.kind == Kind::kLeaving) {
    sender.state = State::kLeft;
    if (supersedes(sender, table_[m.from].record)) take(sender, "says that it ends", out);
    return;
  }
  hear(now, sender, m.from, false, out);
  std::vector<Number> accused;  // one accuser a datagram: it may be false
  for (const Record& r : m.records) {
    if (r.number >= table_.size() || r.incarnation == 0) continue;  // of a larger fleet than this node's
    const bool first = std::find(accused.begin(), accused.end(), r.number) == accused.end();
    if (r.state != State::kAlive) accused.push_back(r.number);
    hear(now, r, m.from, first, out);
  }
  switch (m.kind) {
    case Kind::kPing:
      if (m.target == self_.number) post(Kind::kAck, m.from, self_.number, m.stamp, out);
      break;
    case Kind::kAsk: {
      if (m.target >= table_.size() || m.target == self_.number || errands_.size() >= kMostErrands) break;
      Errand e;
      e.target = m.target;
      e.of = m.from;
      e.asked = m.answers;
      const double time = (1 - plan_.answer_part) * plan_.period;
      e.nack_at = now + kNackPart * time;
      e.until = now + time;
      e.stamp = post(Kind::kPing, m.target, m.target, 0, out);
      errands_.push_back(e);
      break;
    }
    case Kind::kAck: {
      const bool second = probe_ && probe_->second != 0 && m.answers == probe_->second;
      if (probe_ && (m.answers == probe_->stamp || second) && m.target == probe_->target) {
        if (!probe_->answered) doubt_by(-1);
        if (m.from == probe_->target) {
          table_[m.from].round_trip = now - (second ? probe_->help_at : probe_->sent);
        } else if (!probe_->answered) {
          counts_.helped += 1;
        }
        probe_->answered = true;
        break;
      }
      const auto errand = std::find_if(errands_.begin(), errands_.end(), [&](const Errand& e) {
        return e.stamp == m.answers && e.target == m.from;
      });
      if (errand == errands_.end()) break;
      const Errand done = *errand;
      errands_.erase(errand);
      post(Kind::kAck, done.of, done.target, done.asked, out);
      break;
    }
    case Kind::kNack:
      if (probe_ && m.answers == probe_->stamp && probe_->nacks < probe_->asked) probe_->nacks += 1;
      break;
    case Kind::kLeaving:
      break;
  }
}

// `from` says `record`. Word of a third node that takes it away is an accusation, if `accuse`, and no more.
void Detector::hear(double now, const Record& record, Number from, bool may_accuse,
                    std::vector<Output>& out) {
  if (record.number == self_.number) return hear_of_self(record, out);
  Entry& entry = table_[record.number];
  const bool higher = record.incarnation > entry.record.incarnation;
  if (record.state == State::kAlive) {
    if (higher) take(record, from == record.number ? "was heard" : "is said to be there", out);
    return;
  }
  if (record.incarnation < entry.record.incarnation || entry.record.state >= State::kFailed) {
    if (!higher) return;
  }
  if (higher) {
    // A life that is new here, and accused already: that it was there is worth knowing.
    Record alive = record;
    alive.state = State::kAlive;
    alive.by = record.number;
    take(alive, "is said to be there", out);
  }
  if (!may_accuse) return;
  Record accusation = record;
  accusation.state = State::kSuspect;
  if (record.state == State::kLeft || record.by >= table_.size() || record.by == record.number)
    accusation.by = from;
  accuse(now, accusation, out);
}

// One that was there accuses; the newest accusation is passed on, so that others can count it too.
void Detector::accuse(double now, const Record& record, std::vector<Output>& out) {
  Entry& entry = table_[record.number];
  if (entry.record.incarnation > 0 && record.incarnation < entry.record.incarnation) return;
  if (!entry.suspicion) {
    counts_.suspicions += 1;
    Suspicion s;
    s.begun = now;
    s.accusers.push_back(record.by);
    take(record, "gave no answer to " + std::to_string(record.by), out);
    entry.suspicion = s;
    return;
  }
  std::vector<Number>& accusers = entry.suspicion->accusers;
  if (accusers.size() > static_cast<std::size_t>(plan_.accusers) ||
      std::find(accusers.begin(), accusers.end(), record.by) != accusers.end())
    return;
  accusers.push_back(record.by);
  rumors_.add(record);
}

// Puts it in the table, and passes it on.
void Detector::take(const Record& record, const std::string& why, std::vector<Output>& out) {
  Entry& entry = table_[record.number];
  const Record before = entry.record;
  const bool other_life = life_of(record.incarnation) != life_of(before.incarnation);
  if (entry.suspicion && record.state == State::kAlive) counts_.cleared += 1;
  entry.suspicion.reset();
  entry.record = record;
  digest_known_ = false;
  rumors_.add(record);
  if (record.state != before.state || other_life) out.push_back(Change{record, before, why});
}

void Detector::hear_of_self(const Record& record, std::vector<Output>& out) {
  const Record& own = table_[self_.number].record;
  if (record.incarnation < own.incarnation) return;
  if (record.state != State::kAlive) {
    counts_.objections += 1;
    doubt_by(1);
    return object(record.incarnation, std::string("was called ") + name_of(record.state), out);
  }
  if (record.incarnation == own.incarnation) return;
  // Its own old life, with a clock that stands back now; or somebody else who has the same number.
  conflicts_ += 1;
  if (conflicts_ == kConflicts) out.push_back(Remark{"another node speaks under the number of this one"});
  if (conflicts_ <= kConflicts) object(record.incarnation, "an older life of it stands higher", out);
}

void Detector::object(Incarnation above, const std::string& why, std::vector<Output>& out) {
  Record& own = table_[self_.number].record;
  own.incarnation = above + 1;
  digest_known_ = false;
  rumors_.add(own);
  out.push_back(Remark{why + ", and objects"});
}

}  // namespace thymewood::membership
