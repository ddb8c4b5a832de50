#include "simulated_network.h"

#include <algorithm>
#include <limits>

namespace thymewood::membership {
namespace {

constexpr std::uint64_t kStartUnixMs = 1'700'000'000'000;  // Unix time at the start of a run
constexpr int kZoneCount = 3;

}  // namespace

SimulatedNetwork::SimulatedNetwork(int node_count, std::uint64_t seed, DetectorConfig config,
                                   ReplicaSetViewConfig view_config)
    : config_(config),
      view_config_(view_config),
      random_(seed),
      nodes_(static_cast<std::size_t>(node_count)),
      latest_timer_ids_(nodes_.size()) {}

void SimulatedNetwork::start(int index, int configured_count) {
  Node& node = this->node(index);
  node.configured_count = configured_count > 0 ? configured_count : size();
  const auto unix_ms = static_cast<std::uint64_t>(now_ * 1000) + kStartUnixMs;
  LocalNode local;
  local.id = static_cast<NodeId>(index);
  local.peer_count = static_cast<std::uint16_t>(node.configured_count);
  local.zone = static_cast<std::uint8_t>(index % kZoneCount);
  local.start_ms = node.is_clock_behind ? unix_ms - node.clock_offset_ms : unix_ms + node.clock_offset_ms;
  local.replica_set_id = replica_set_id();
  node.detector = std::make_unique<Detector>(local, config_, random_());
  node.tracker = std::make_unique<ReplicaSetViewTracker>(local, view_config_);
  node.is_up = true;
  node.is_paused = false;
  node.socket_buffer.clear();
  node.detector->start(now_);
  process(index, {});
}

void SimulatedNetwork::start_all() {
  for (int i = 0; i < size(); ++i) start(i);
}

void SimulatedNetwork::kill(int index) {
  node(index).is_up = false;
  node(index).socket_buffer.clear();
}

void SimulatedNetwork::leave(int index) {
  process(index, node(index).detector->leave());
  kill(index);
}

void SimulatedNetwork::resume(int index) {
  Node& node = this->node(index);
  node.is_paused = false;
  for (const ReceivedDatagram& received : std::exchange(node.socket_buffer, {}))
    deliver(index, received.sender, received.datagram);
  schedule_timer(index);
}

void SimulatedNetwork::run(double seconds) {
  run_until(seconds, [] { return false; });
}

bool SimulatedNetwork::run_until(double seconds, const std::function<bool()>& done) {
  const double end = now_ + seconds;
  if (done()) return true;
  while (!events_.empty() && events_.top().at <= end) {
    const Event event = events_.top();
    events_.pop();
    now_ = std::max(now_, event.at);
    if (event.is_timer) {
      on_timer(event.to, event.timer_id);
    } else {
      on_arrival(event);
    }
    if (done()) return true;
  }
  now_ = end;
  return done();
}

bool SimulatedNetwork::all_see(NodeId id, MemberState state, const std::vector<int>& observers) {
  for (int i = 0; i < size(); ++i) {
    if (!observers.empty() && std::find(observers.begin(), observers.end(), i) == observers.end()) continue;
    if (!node(i).is_up || i == id || id >= node(i).configured_count) continue;
    if (node(i).detector->record(id).state != state) return false;
  }
  return true;
}

bool SimulatedNetwork::has_converged() {
  for (int i = 0; i < size(); ++i) {
    if (!node(i).is_up) continue;
    for (int k = 0; k < size(); ++k) {
      const MemberState state = node(i).detector->record(static_cast<NodeId>(k)).state;
      if (node(k).is_up ? state != MemberState::kAlive : state < MemberState::kFailed) return false;
    }
  }
  return true;
}

int SimulatedNetwork::false_failures(const std::set<int>& excluded) {
  int out = 0;
  for (int i = 0; i < size(); ++i) {
    if (excluded.contains(i)) continue;
    for (const MemberChanged& change : node(i).changes) {
      if (change.current.state == MemberState::kFailed && !excluded.contains(change.current.id)) ++out;
    }
  }
  return out;
}

void SimulatedNetwork::transmit(int from, int to, const Datagram& datagram) {
  constexpr double kReorderFactor = 10;  // extra delay, x (delay + jitter)
  longest_datagram_ = std::max(longest_datagram_, datagram.size);
  if (capture_traffic) traffic.push_back({from, to, datagram});
  if (from != to && link_filter && !link_filter(from, to)) return;
  if (random_unit() < links.loss) return;
  const int deliveries = random_unit() < links.duplicate ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    double at = now_ + links.delay + links.jitter * random_unit();
    if (random_unit() < links.reorder) at += kReorderFactor * (links.delay + links.jitter);
    events_.push({at, ++event_count_, false, from, to, 0, datagram});
  }
}

void SimulatedNetwork::process(int index, const std::vector<Output>& outputs) {
  Node& node = this->node(index);
  for (const Output& output : outputs) {
    if (const auto* send = std::get_if<SendDatagram>(&output)) {
      if (send->to) {
        transmit(index, *send->to, send->datagram);
      } else {
        for (int to = 0; to < node.configured_count; ++to) transmit(index, to, send->datagram);
      }
    } else if (const auto* change = std::get_if<MemberChanged>(&output)) {
      node.changes.push_back(*change);
    }
  }
  update_view(node);
  schedule_timer(index);
}

void SimulatedNetwork::update_view(Node& node) {
  const ReplicaSetView before = node.tracker->current();
  const std::optional<ReplicaSetView> view = node.tracker->update(now_, *node.detector);
  if (!view) return;
  node.best_connectivity = std::max(node.best_connectivity, view->connectivity);
  if (view->rank != before.rank || view->live_count != before.live_count) node.rank_changes += 1;
}

void SimulatedNetwork::schedule_timer(int index) {
  Node& node = this->node(index);
  if (!node.is_up || node.is_paused) return;
  const double at = std::min(node.detector->next_deadline(), node.tracker->next_deadline());
  if (at == std::numeric_limits<double>::infinity()) return;
  const double due = std::max(now_, at) + node.max_timer_delay * random_unit();
  const std::uint64_t sequence = ++event_count_;
  events_.push({due, sequence, true, index, index, ++latest_timer_ids_[static_cast<std::size_t>(index)], {}});
}

void SimulatedNetwork::on_timer(int index, std::uint64_t timer_id) {
  Node& node = this->node(index);
  const bool is_cancelled = timer_id != latest_timer_ids_[static_cast<std::size_t>(index)];
  if (!node.is_up || node.is_paused || is_cancelled) return;
  process(index, node.detector->on_timer(now_));
}

void SimulatedNetwork::on_arrival(const Event& event) {
  Node& node = this->node(event.to);
  if (!node.is_up) return;
  // A node knows only the source addresses in its configuration.
  std::optional<NodeId> sender;
  if (event.from < node.configured_count) sender = static_cast<NodeId>(event.from);
  if (node.is_paused) {
    node.socket_buffer.push_back({sender, event.datagram});
    return;
  }
  deliver(event.to, sender, event.datagram);
}

void SimulatedNetwork::deliver(int to, std::optional<NodeId> from, const Datagram& datagram) {
  Node& node = this->node(to);
  if (!node.is_up) return;
  process(to, node.detector->receive(now_, from, datagram.view()));
}

}  // namespace thymewood::membership
