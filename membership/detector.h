// Who is there: a failure detector and what spreads its word. Pure: events in, datagrams and changes out;
// time and randomness are arguments. Times are seconds on any clock that never runs backwards.
//
// SWIM (Das, Gupta, Motivala, DSN 2002) with Lifeguard's remedies (Dadgar, Phillips, Currey: "Lifeguard:
// Local Health Awareness for More Accurate Failure Detection", DSN-W 2018):
//   - each period one peer, in an order shuffled anew each round, is pinged; without an answer in time it is
//     pinged again, and `helpers` others are asked to ping it; without any by the period's end all of that is
//     done once more, and then it is suspect (SWIM 3, 4.3);
//   - a suspect has time to object by raising its incarnation; the time shrinks as others come to the same
//     result by themselves (SWIM 4.2, LHA-Suspicion); who is pinged as a suspect is told so (Buddy System);
//   - a node whose own pings fail, or whose helpers do not even say that they are there, doubts itself and
//     takes longer over everything (LHA-Probe);
//   - records ride on these datagrams (rumors.h); where digests differ, what room is left goes to the
//     whole table in turn, and now and then a failed peer is pinged: so a fleet that was cut in two for long
//     finds together again.
//
// What makes it hard to harm: word of a third node's failure or end is never believed at once, only taken as
// an accusation that it may object to, one accuser a datagram; a node's end is believed of itself alone.
//
// Within which time a node that died is failed at all live nodes that reach each other: most_until_failed().
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "codec.h"
#include "member_record.h"
#include "gossip_queue.h"

namespace thymewood::membership {

struct Plan {
  double period = 1;         // s; from one ping to the next
  double answer_part = 0.3;  // of the period; without an answer others are asked for help
  int helpers = 3;
  // x log10 of the fleet x period: how long a suspect has to object, at the least ...
  int suspicion = 4;
  double suspicion_most = 6;  // ... and x that with a single accuser
  int accusers = 3;           // that many more, and it is the least
  int most_doubt = 8;         // all of a node's times are up to 1 + this times longer
  int rides = 4;              // x log10 of the fleet: how often a rumour is passed on
  int rejoin_every = 3;       // periods, between pings of a peer that is held to have failed
};

struct Self {
  Number number = 0;
  std::uint16_t peers = 1;  // numbers are below it
  std::uint8_t zone = 0;
  std::uint64_t start_ms = 1;  // Unix time, above 0
  std::uint32_t fleet = 0;
};

// To be sent, to one peer, or to everyone.
struct Post {
  std::optional<Number> to;
  Datagram datagram;
};
// A record has changed its state, or began another life.
struct Change {
  Record now, before;
  std::string why;
};
// Something that an operator wants to know and no record tells.
struct Remark {
  std::string text;
};
using Output = std::variant<Post, Change, Remark>;

struct Counts {
  std::uint64_t sent = 0, sent_bytes = 0, came = 0, came_bytes = 0;
  // dropped: see codec.h; strangers: from an address that is not the sender's; old: of a life that is over
  std::uint64_t too_short = 0, too_long = 0, strange = 0, newer = 0, other_fleet = 0, damaged = 0,
                senseless = 0;
  std::uint64_t strangers = 0, repeated = 0, old = 0;
  std::uint64_t pings = 0, unanswered = 0, helped = 0;  // helped: answered through somebody else
  std::uint64_t suspicions = 0, cleared = 0, failures = 0, objections = 0;
  std::uint64_t aways = 0;  // how often the loop was found to have been away
};

class Detector {
 public:
  // Throws std::invalid_argument, naming the field, where `self` or `plan` can't be.
  Detector(const Self& self, const Plan& plan, std::uint64_t seed);

  void start(double now, std::vector<Output>& out);
  // `sender`: whose address it came from, nothing where it is nobody's.
  void receive(double now, std::optional<Number> sender, std::span<const std::uint8_t> bytes,
               std::vector<Output>& out);
  // At next(), or later: what came in the meantime has to be received before.
  void tick(double now, std::vector<Output>& out);
  double next() const;
  // This node ends: says so to all at once. It answers no more.
  void leave(double now, std::vector<Output>& out);

  // Of every number, this node's own too; incarnation 0 where nothing was heard.
  const Record& record(Number number) const { return table_[number].record; }
  std::size_t size() const { return table_.size(); }
  const Self& self() const { return self_; }
  int doubt() const { return doubt_; }
  const Counts& counts() const { return counts_; }
  // s; the newest round trip of a direct ping, nothing before the first.
  std::optional<double> round_trip(Number number) const { return table_[number].round_trip; }
  // Of its newest pings, eight at most: how many were answered, by whatever way. A sample of the part of the
  // fleet that this node reaches, there long before all that it does not reach have failed.
  struct Reach {
    int asked = 0, answered = 0;
  };
  Reach reach() const;
  // Whether somebody else speaks under this node's number.
  bool conflict() const { return conflicts_ >= kConflicts; }

  // s; see above. It holds where no datagram is lost, and its own doubt is 0.
  static double most_until_failed(const Plan& plan, std::size_t peers);
  static double least_suspicion(const Plan& plan, std::size_t peers);

 private:
  static constexpr int kConflicts = 3;  // within one life
  static constexpr int kSample = 8;
  struct Suspicion {
    double begun = 0, extended = 0;  // s; `extended`: time in which nobody could have been heard
    std::vector<Number> accusers;
  };
  struct Entry {
    Record record;
    std::optional<Suspicion> suspicion;
    std::optional<double> round_trip;
    std::uint32_t digest = 0;  // what it said last
    std::uint64_t life = 0;    // of the datagrams that came, 0 before the first
    std::uint32_t newest =
        0;  // stamp in that life, and below it a window of those that came (as RFC 4303, 3.4.3)
    std::uint64_t window = 0;
  };
  struct Probe {
    Number target = 0;
    std::uint32_t stamp = 0,
                  second = 0;  // of the two direct pings, the second goes out with the calls for help
    double sent = 0, help_at = 0, until = 0;
    int asked = 0, nacks = 0;
    bool help = false, answered = false;
  };
  // A ping for somebody else.
  struct Errand {
    Number target = 0, of = 0;
    std::uint32_t stamp = 0, asked = 0;
    double nack_at = 0, until = 0;
    bool nacked = false;
  };

  void handle(double now, const Message& m, std::vector<Output>& out);
  bool is_new(Entry& entry, const Message& m);
  void hear(double now, const Record& record, Number from, bool accuse, std::vector<Output>& out);
  void hear_of_self(const Record& record, std::vector<Output>& out);
  void accuse(double now, const Record& record, std::vector<Output>& out);
  void take(const Record& record, const std::string& why, std::vector<Output>& out);
  void object(Incarnation above, const std::string& why, std::vector<Output>& out);
  double deadline_of(const Suspicion& suspicion) const;
  void back_from_away(double now, double away, std::vector<Output>& out);

  void begin_probe(double now, std::vector<Output>& out);
  void ask_for_help(double now, std::vector<Output>& out);
  void end_probe(double now, std::vector<Output>& out);
  std::optional<Number> next_target();
  std::vector<Number> some(std::size_t most, Number without);
  void doubt_by(int more);
  double stretch() const { return 1.0 + doubt_; }
  std::uint32_t post(Kind kind, Number to, Number target, std::uint32_t answers, std::vector<Output>& out);
  void fill(Message& m, std::optional<Number> to);
  std::uint32_t digest();
  std::size_t below(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_); }

  Self self_;
  Plan plan_;
  std::mt19937_64 random_;
  std::vector<Entry> table_;
  Rumors rumors_;
  int rides_;
  std::vector<Number> round_;  // who is pinged in this round, from the back
  std::optional<Probe> probe_;
  std::optional<Number> doubtful_;  // gave no answer: asked once more before it is accused
  std::vector<Errand> errands_;
  double probe_at_ = 0;  // the next one
  int periods_ = 0, doubt_ = 0, conflicts_ = 0;
  int sampled_ = 0;           // of the newest pings, kSample at most ...
  std::uint32_t sample_ = 0;  // ... a bit each, set where it was answered
  std::uint32_t stamp_ = 0;
  std::size_t cursor_ = 0;  // through the table, for those whose digest differs
  std::uint32_t digest_ = 0;
  bool digest_known_ = false, started_ = false, left_ = false;
  Counts counts_;
};

}  // namespace thymewood::membership
