// A simulated network of failure detectors in virtual time. Datagrams are delayed, duplicated, reordered or
// lost as a seed draws it; links are cut one way or both; nodes pause, stop and start again. The same seed
// gives the same run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::membership {

class SimulatedNetwork {
 public:
  struct LinkConditions {
    double delay = 0.001;   // s
    double jitter = 0.002;  // s
    double loss = 0;        // probabilities
    double duplicate = 0;
    double reorder = 0;
  };

  struct ReceivedDatagram {
    std::optional<NodeId> sender;
    Datagram datagram;
  };
  struct Node {
    std::unique_ptr<Detector> detector;
    std::unique_ptr<ReplicaSetViewTracker> tracker;
    bool is_up = false;
    bool is_paused = false;
    double timer_delay = 0;                       // s by which its timers are late at most: a starved core
    std::uint64_t clock_error = 0;                // ms by which its wall clock is wrong
    bool is_clock_behind = false;                 // else ahead
    int configured_count = 0;                     // nodes in its configuration
    std::vector<ReceivedDatagram> socket_buffer;  // while it is paused
    std::vector<MemberChanged> changes;
    int rank_changes = 0;                                        // of rank or live_count
    Connectivity best_connectivity = Connectivity::kStandalone;  // over the whole run
  };
  struct SentDatagram {
    int from = 0;
    int to = 0;
    Datagram datagram;
  };

  SimulatedNetwork(int node_count, std::uint64_t seed, DetectorConfig config = {},
                   ReplicaSetViewConfig view_config = {});

  LinkConditions links;
  // Whether what `from` sends reaches `to`; everything does where it is empty.
  std::function<bool(int from, int to)> delivers;
  // What was sent, in order, while `records_traffic`.
  std::vector<SentDatagram> traffic;
  bool records_traffic = false;

  [[nodiscard]] double now() const { return now_; }
  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] std::size_t longest_datagram() const { return longest_datagram_; }
  Node& node(int index) { return nodes_[static_cast<std::size_t>(index)]; }
  const Detector& detector(int index) { return *node(index).detector; }
  const ReplicaSetView& view(int index) { return node(index).tracker->current(); }
  static std::uint32_t replica_set_id() { return replica_set_id_of("net"); }

  // `configured_count`: nodes in its configuration; 0: all.
  void start(int index, int configured_count = 0);
  void start_all();
  void kill(int index);
  void leave(int index);
  void pause(int index) { node(index).is_paused = true; }
  // Receives what has arrived meanwhile before any timer, as node/peers does.
  void resume(int index);
  // Delivers a datagram that no node has sent.
  void inject(int to, std::optional<NodeId> from, const Datagram& datagram) { deliver(to, from, datagram); }

  void run(double seconds);
  // Whether `done` became true within `seconds`.
  bool run_until(double seconds, const std::function<bool()>& done);

  // Whether every live node in `observers` (all, where empty) has `id` in `state`.
  [[nodiscard]] bool all_see(NodeId id, MemberState state, const std::vector<int>& observers = {});
  // Whether every live node has exactly the live ones as alive.
  [[nodiscard]] bool has_converged();
  // How often nodes, but those in `except`, were declared failed by others, over all nodes.
  [[nodiscard]] int false_failures(const std::set<int>& except = {});

 private:
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    bool is_timer = false;
    int from = 0;
    int to = 0;
    std::uint64_t timer_id = 0;
    Datagram datagram;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  double draw_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void transmit(int from, int to, const Datagram& datagram);
  void process(int index, const std::vector<Output>& outputs);
  void update_view(Node& node);
  void schedule_timer(int index);
  void on_timer(int index, std::uint64_t timer_id);
  void on_arrival(const Event& event);
  void deliver(int to, std::optional<NodeId> from, const Datagram& datagram);

  DetectorConfig config_;
  ReplicaSetViewConfig view_config_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::vector<std::uint64_t> newest_timers_;  // by node; older ones are cancelled
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  std::size_t longest_datagram_ = 0;
  double now_ = 0;
};

}  // namespace thymewood::membership
