// Simulates a network of failure detectors in virtual time. Datagrams are delayed, duplicated, reordered or
// lost at random; links can fail in one or both directions; nodes can pause, stop and restart. Runs with the
// same seed are identical.
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
    double delay = 0.001;   // seconds
    double jitter = 0.002;  // seconds
    double loss = 0;        // probability, as are the two below
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
    // Seconds. Timers fire late by a random time up to this, as on a starved CPU core.
    double max_timer_delay = 0;
    std::uint64_t clock_offset_ms = 0;            // error of the node's wall clock
    bool is_clock_behind = false;                 // otherwise the clock is ahead
    int configured_count = 0;                     // number of nodes in its configuration
    std::vector<ReceivedDatagram> socket_buffer;  // datagrams received while the node is paused
    std::vector<MemberChanged> changes;
    int rank_changes = 0;                                        // changes of rank or live_count
    Connectivity best_connectivity = Connectivity::kStandalone;  // best value in the whole run
  };
  struct SentDatagram {
    int from = 0;
    int to = 0;
    Datagram datagram;
  };

  SimulatedNetwork(int node_count, std::uint64_t seed, DetectorConfig config = {},
                   ReplicaSetViewConfig view_config = {});

  LinkConditions links;
  // Returns whether datagrams from `from` can reach `to`. If empty, all links work.
  std::function<bool(int from, int to)> link_filter;
  // Datagrams sent while `capture_traffic` is set, in order.
  std::vector<SentDatagram> traffic;
  bool capture_traffic = false;

  [[nodiscard]] double now() const { return now_; }
  [[nodiscard]] int size() const { return static_cast<int>(nodes_.size()); }
  [[nodiscard]] std::size_t longest_datagram() const { return longest_datagram_; }
  Node& node(int index) { return nodes_[static_cast<std::size_t>(index)]; }
  const Detector& detector(int index) { return *node(index).detector; }
  const ReplicaSetView& view(int index) { return node(index).tracker->current(); }
  static std::uint32_t replica_set_id() { return replica_set_id_of("net"); }

  // Starts or restarts a node. `configured_count`: number of nodes in its configuration; 0 means all.
  void start(int index, int configured_count = 0);
  void start_all();
  void kill(int index);
  void leave(int index);
  void pause(int index) { node(index).is_paused = true; }
  // Delivers the datagrams that arrived during the pause before any timer runs, as node/peers.cpp does.
  void resume(int index);
  // Delivers a datagram that no simulated node sent.
  void inject(int to, std::optional<NodeId> from, const Datagram& datagram) { deliver(to, from, datagram); }

  void run(double seconds);
  // Runs until `done` returns true, for at most `seconds`. Returns whether it did.
  bool run_until(double seconds, const std::function<bool()>& done);

  // Whether every live node in `observers` (all nodes if empty) has `id` in state `state`.
  [[nodiscard]] bool all_see(NodeId id, MemberState state, const std::vector<int>& observers = {});
  // Whether every live node sees exactly the live nodes as alive.
  [[nodiscard]] bool has_converged();
  // How many times a node marked another as failed. Nodes in `excluded` count neither as observers nor as
  // failed nodes.
  [[nodiscard]] int false_failures(const std::set<int>& excluded = {});

 private:
  struct Event {
    double at = 0;
    std::uint64_t sequence = 0;
    bool is_timer = false;
    int from = 0;
    int to = 0;
    std::uint64_t timer_id = 0;
    Datagram datagram;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  double random_unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
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
  std::vector<std::uint64_t> latest_timer_ids_;  // by node index; timers with older ids are cancelled
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  std::size_t longest_datagram_ = 0;
  double now_ = 0;
};

}  // namespace thymewood::membership
