// A network of detectors in virtual time: what is sent arrives late, twice, in another order or never, as a
// seed draws it; links are cut one way or both; nodes stop, end, and start again. The same seed gives the
// same run.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::membership {

class Net {
 public:
  struct Weather {
    double delay = 0.001, jitter = 0.002;  // s
    double loss = 0, duplicate = 0, reorder = 0;
  };
  struct Node {
    std::unique_ptr<Detector> detector;
    std::unique_ptr<Views> views;
    bool up = false, paused = false;
    double late = 0;          // s by which its ticks come late: a starved core
    std::uint64_t clock = 0;  // ms by which its time of day is wrong
    bool clock_back = false;  // ... backwards
    int told = 0;             // of how many it was told
    std::vector<std::pair<std::optional<Number>, Datagram>> waiting;  // in its socket, while it is paused
    std::vector<Change> changes;
    std::vector<double> changed;  // when
    std::vector<std::string> remarks;
    int moves = 0;                         // of rank or live
    Confidence best = Confidence::kAlone;  // that it ever had
  };

  Net(int nodes, std::uint64_t seed, Plan plan = {}, ViewPlan views = {})
      : plan_(plan), view_plan_(views), random_(seed), nodes_(static_cast<std::size_t>(nodes)) {}

  Weather weather;
  // Whether what `from` sends reaches `to`; all does where it is empty.
  std::function<bool(int from, int to)> passes;
  std::size_t longest = 0;
  // What went over the wire, in order, for replays.
  std::vector<std::tuple<int, int, Datagram>> seen;
  bool keep = false;
  // A fault planted into the program: what a node sends is changed, or not sent (false).
  std::function<bool(int from, Message& m)> planted;

  double now() const { return now_; }
  int size() const { return static_cast<int>(nodes_.size()); }
  Node& node(int i) { return nodes_[static_cast<std::size_t>(i)]; }
  const Detector& detector(int i) { return *node(i).detector; }
  const FleetView& view(int i) { return node(i).views->now(); }
  std::uint32_t fleet() const { return fleet_of("net"); }

  void start(int i, int told = 0) {
    Node& n = node(i);
    n.told = told > 0 ? told : size();
    const auto real = static_cast<std::uint64_t>(now_ * 1000) + 1'700'000'000'000;
    Self self;
    self.number = static_cast<Number>(i);
    self.peers = static_cast<std::uint16_t>(n.told);
    self.zone = static_cast<std::uint8_t>(i % 3);
    self.start_ms = n.clock_back ? real - n.clock : real + n.clock;
    self.fleet = fleet();
    n.detector = std::make_unique<Detector>(self, plan_, random_());
    n.views = std::make_unique<Views>(self, view_plan_);
    n.up = true;
    n.paused = false;
    n.waiting.clear();
    std::vector<Output> out;
    n.detector->start(now_, out);
    carry(i, out);
  }
  void start_all() {
    for (int i = 0; i < size(); ++i) start(i);
  }
  void kill(int i) {
    node(i).up = false;
    node(i).waiting.clear();
  }
  void leave(int i) {
    std::vector<Output> out;
    node(i).detector->leave(now_, out);
    carry(i, out);
    kill(i);
  }
  void pause(int i) { node(i).paused = true; }
  // What came meanwhile is read before it acts, as the shell does.
  void resume(int i) {
    Node& n = node(i);
    n.paused = false;
    for (const auto& [from, datagram] : std::exchange(n.waiting, {})) hand_over(i, from, datagram);
    plan_tick(i);
  }
  // Something that no node has sent.
  void inject(int to, std::optional<Number> from, const Datagram& datagram) { hand_over(to, from, datagram); }

  void run(double seconds) {
    run_until(seconds, [] { return false; });
  }
  // Whether `done` came true within `seconds`.
  bool run_until(double seconds, const std::function<bool()>& done) {
    const double end = now_ + seconds;
    if (done()) return true;
    while (!events_.empty() && events_.top().at <= end) {
      const Event e = events_.top();
      events_.pop();
      now_ = std::max(now_, e.at);
      if (e.tick) {
        tick(e.to, e.turn);
      } else {
        arrive(e);
      }
      if (done()) return true;
    }
    now_ = end;
    return done();
  }

  // Whether every live node in `who` (all, where empty) holds `number` to be in `state`.
  bool all_hold(Number number, State state, const std::vector<int>& who = {}) {
    for (int i = 0; i < size(); ++i) {
      if (!who.empty() && std::find(who.begin(), who.end(), i) == who.end()) continue;
      if (!node(i).up || i == number || number >= node(i).told) continue;
      if (node(i).detector->record(number).state != state) return false;
    }
    return true;
  }
  // Whether all live nodes hold exactly the live ones to be alive.
  bool agree() {
    for (int i = 0; i < size(); ++i) {
      if (!node(i).up) continue;
      for (int k = 0; k < size(); ++k) {
        const State s = node(i).detector->record(static_cast<Number>(k)).state;
        if (node(k).up ? s != State::kAlive : s < State::kFailed) return false;
      }
    }
    return true;
  }
  // How often a node that was up and not paused was held to have failed, over all nodes.
  int falsely_failed(const std::set<int>& except = {}) {
    int out = 0;
    for (int i = 0; i < size(); ++i) {
      if (except.contains(i)) continue;
      for (const Change& c : node(i).changes) {
        if (c.now.state == State::kFailed && !except.contains(c.now.number)) ++out;
      }
    }
    return out;
  }

 private:
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    bool tick = false;
    int from = 0, to = 0;
    std::uint64_t turn = 0;
    Datagram datagram;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void post(int from, int to, const Datagram& datagram) {
    longest = std::max(longest, datagram.size);
    if (keep) seen.emplace_back(from, to, datagram);
    if (from != to && passes && !passes(from, to)) return;
    if (unit() < weather.loss) return;
    const int times = unit() < weather.duplicate ? 2 : 1;
    for (int k = 0; k < times; ++k) {
      double at = now_ + weather.delay + weather.jitter * unit();
      if (unit() < weather.reorder) at += 10 * (weather.delay + weather.jitter);
      events_.push({at, ++order_, false, from, to, 0, datagram});
    }
  }

  void carry(int from, const std::vector<Output>& out) {
    Node& n = node(from);
    for (const Output& o : out) {
      if (const auto* p = std::get_if<Post>(&o)) {
        Datagram datagram = p->datagram;
        if (planted) {
          Message m;
          if (decode(datagram.view(), fleet(), nodes_.size(), m) != Fault::kNone) continue;
          if (!planted(from, m)) continue;
          datagram = encode(m);
        }
        if (p->to) {
          post(from, *p->to, datagram);
        } else {
          for (int to = 0; to < n.told; ++to) post(from, to, datagram);
        }
      } else if (const auto* c = std::get_if<Change>(&o)) {
        n.changes.push_back(*c);
        n.changed.push_back(now_);
      } else {
        n.remarks.push_back(std::get<Remark>(o).text);
      }
    }
    if (n.views) {
      const FleetView before = n.views->now();
      if (const auto view = n.views->update(now_, *n.detector)) {
        n.best = std::max(n.best, view->confidence);
        if (view->rank != before.rank || view->live != before.live) n.moves += 1;
      }
    }
    plan_tick(from);
  }

  void plan_tick(int i) {
    Node& n = node(i);
    if (!n.up || n.paused) return;
    const double at = std::min(n.detector->next(), n.views->next());
    if (at < 1e18)
      events_.push({std::max(now_, at) + n.late * unit(), ++order_, true, i, i, ++turn_of(i), {}});
  }

  std::uint64_t& turn_of(int i) {
    turns_.resize(nodes_.size());
    return turns_[static_cast<std::size_t>(i)];
  }

  void tick(int i, std::uint64_t turn) {
    Node& n = node(i);
    if (!n.up || n.paused || turn != turn_of(i)) return;
    std::vector<Output> out;
    n.detector->tick(now_, out);
    carry(i, out);
  }

  void arrive(const Event& e) {
    Node& n = node(e.to);
    if (!n.up) return;
    // Whose address it came from is known to a node by its own list alone.
    std::optional<Number> from;
    if (e.from < n.told) from = static_cast<Number>(e.from);
    if (n.paused) {
      n.waiting.emplace_back(from, e.datagram);
      return;
    }
    hand_over(e.to, from, e.datagram);
  }

  void hand_over(int to, std::optional<Number> from, const Datagram& datagram) {
    Node& n = node(to);
    if (!n.up) return;
    std::vector<Output> out;
    n.detector->receive(now_, from, datagram.view(), out);
    carry(to, out);
  }

  Plan plan_;
  ViewPlan view_plan_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<std::uint64_t> turns_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  double now_ = 0;
};

}  // namespace thymewood::membership
