// Applies the plan of a run to the fleet: faults of machines, links and discovery, and changes of servers.
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <utility>

#include "fleet.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr double kMinAgeForHangup = 1;  // s

// Injects a fault through the shim of a node, or with `on` false clears it.
void set_faults(FaultPlan& plan, const Fault& fault, bool on) {
  switch (fault.what) {
    case Fault::What::kDiskFails:
      plan.write_every = fault.share > 0 ? static_cast<std::uint32_t>(std::lround(1 / fault.share)) : 0;
      plan.write_errno = on ? EIO : 0;
      plan.sync_errno = on ? EIO : 0;
      break;
    case Fault::What::kDiskReadOnly:
      plan.write_every = 1;
      plan.write_errno = plan.sync_errno = plan.rename_errno = on ? EROFS : 0;
      break;
    case Fault::What::kDiskSlow:
      plan.delay_us = on ? static_cast<std::uint32_t>(fault.delay * 1e6) : 0;
      break;
    case Fault::What::kClock:
      plan.clock_shift_ns = on ? static_cast<std::int64_t>(fault.shift * 1e9) : 0;
      break;
    default:
      break;
  }
}

}  // namespace

// ---------------------------------------------------------------- faults

void Fleet::schedule_at(double seconds, std::function<void()> action) {
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, history_.time_of(seconds)));
  timers_.back()->async_wait([action = std::move(action)](error_code cancelled) {
    if (!cancelled) action();
  });
}

// Applies steps one after another in the order of the plan: timers with the same expiry may fire in any
// order.
void Fleet::run_steps(std::vector<Step> steps, std::size_t next) {
  while (next < steps.size() && steps[next].at <= history_.now()) apply(steps[next++]);
  if (next >= steps.size()) return;
  const double due = steps[next].at;
  schedule_at(due, [this, steps = std::move(steps), next]() mutable { run_steps(std::move(steps), next); });
}

void Fleet::record(Record::What what, const Actor& actor, const std::string& note) {
  Record r;
  r.what = what;
  r.by = actor;
  r.note = note;
  history_.add(r);
}

void Fleet::apply(const Step& step) {
  if (step.what == Step::What::kServerChange) return apply_change(scenario_.changes.at(step.change));
  const Fault& fault = scenario_.faults.at(step.fault);
  const bool begins = step.what == Step::What::kFaultBegins;
  if (options_.progress) options_.progress(history_.now(), (begins ? "" : "ended: ") + step.note);
  if (begins) {
    begin_fault(fault, step);
    record(Record::What::kFault, kDiscoveryActor, step.note);
  } else {
    end_fault(fault, step);
    record(Record::What::kFaultEnded, kDiscoveryActor, step.note);
  }
}

void Fleet::begin_node_fault(const Fault& fault, const Actor& actor) {
  Node& node = nodes_.at(actor);
  if (FaultPlan* const plan = node.machine->faults()) set_faults(*plan, fault, true);
  switch (fault.what) {
    case Fault::What::kKill:
      if (node.should_run && actor.kind == ActorKind::kNode)
        clients_->remove_after(actor.number, scenario_.client_behavior.failure_detection);
      stop_node(actor);
      break;
    case Fault::What::kRestart:
      asio::co_spawn(io_, restart(actor, std::isfinite(fault.lasts) ? fault.lasts : 0), asio::detached);
      break;
    case Fault::What::kPause:
      record(Record::What::kPaused, actor);
      node.machine->pause();
      break;
    case Fault::What::kCpuLimit:
      record(Record::What::kPaused, actor);
      node.cpu_limited = true;
      asio::co_spawn(io_, limit_cpu(actor, fault.share), asio::detached);
      break;
    case Fault::What::kSighup:
      // SIGHUP is sent neither in the process's first second nor before the clients see the node as healthy.
      if (history_.now() - node.started_at > kMinAgeForHangup && clients_->is_available(actor.number))
        node.machine->signal(SIGHUP);
      break;
    case Fault::What::kIdleConnections:
      open_idle_connections(actor, fault.count);
      break;
    case Fault::What::kDescriptors:
      node.machine->limit_descriptors(static_cast<std::uint64_t>(fault.count));
      break;
    case Fault::What::kDiskFull:
      node.machine->fill_disk();
      break;
    default:
      break;
  }
}

void Fleet::begin_fault(const Fault& fault, const Step& step) {
  for (const Actor& actor : step.actors) {
    if (actor.kind == ActorKind::kDiscovery) break;
    begin_node_fault(fault, actor);
  }
  if (fault.what == Fault::What::kDiscoveryDown) discovery_->stop();
  if (fault.what == Fault::What::kDiscoveryLag) discovery_->add_lag(fault.delay);
  if (!step.links.empty()) apply_link_fault(step, true);
  if (fault.what == Fault::What::kReset || fault.what == Fault::What::kRefuse) {
    for (const DirectedLink& link : step.links) {
      const auto relay = relays_.find({link.from, link.to});
      if (relay == relays_.end()) continue;
      if (fault.what == Fault::What::kReset) {
        relay->second->reset();
      } else {
        relay->second->set_refusing(true);
      }
    }
  }
}

void Fleet::end_node_fault(const Fault& fault, const Actor& actor) {
  Node& node = nodes_.at(actor);
  if (FaultPlan* const plan = node.machine->faults()) set_faults(*plan, fault, false);
  switch (fault.what) {
    case Fault::What::kKill:
      if (!node.should_run) start_node(actor);
      break;
    case Fault::What::kPause:
      node.machine->resume();
      record(Record::What::kResumed, actor);
      break;
    case Fault::What::kCpuLimit:
      node.cpu_limited = false;
      node.machine->resume();
      record(Record::What::kResumed, actor);
      break;
    case Fault::What::kIdleConnections:
      idle_connections_.erase(actor);
      break;
    case Fault::What::kDescriptors:
      node.machine->limit_descriptors(0);
      break;
    case Fault::What::kDiskFull:
      node.machine->free_disk_space();
      break;
    default:
      break;
  }
}

void Fleet::end_fault(const Fault& fault, const Step& step) {
  for (const Actor& actor : step.actors) {
    if (actor.kind == ActorKind::kDiscovery) break;
    end_node_fault(fault, actor);
  }
  if (fault.what == Fault::What::kDiscoveryDown) discovery_->start();
  if (fault.what == Fault::What::kDiscoveryLag) discovery_->add_lag(-fault.delay);
  if (fault.what == Fault::What::kRefuse) {
    for (const DirectedLink& link : step.links) {
      const auto relay = relays_.find({link.from, link.to});
      if (relay != relays_.end()) relay->second->set_refusing(false);
    }
  }
  if (!step.links.empty()) apply_link_fault(step, false);
}

void Fleet::apply_link_fault(const Step& step, bool on) {
  for (const DirectedLink& link : step.links) {
    Direction& direction = links_.direction(link.from, link.to);
    if (on) {
      direction.add_fault(step.interval_id, step.shape);
    } else {
      direction.remove_fault(step.interval_id);
    }
    Record r;
    r.what = on ? Record::What::kLinkFaulty : Record::What::kLinkRestored;
    r.by = link.from;
    r.to = link.to;
    history_.add(r);
  }
  for (const DirectedLink& link : step.links) {
    for (const auto& actors : {std::pair{link.from, link.to}, std::pair{link.to, link.from}}) {
      const auto relay = relays_.find(actors);
      if (relay != relays_.end()) relay->second->on_link_changed();
    }
    if (!on && link.from == kDiscoveryActor && !links_.direction(link.from, link.to).cut())
      discovery_->link_restored(link.to);
  }
}

void Fleet::refuse_connections_to(const Actor& actor, bool on) {
  for (const auto& [link, relay] : relays_) {
    if (link.second == actor) relay->set_refusing(on);
  }
}

// Opens client connections that send nothing and stay open until the node closes them.
void Fleet::open_idle_connections(const Actor& node, int count) {
  std::vector<std::shared_ptr<asio::ip::tcp::socket>>& sockets = idle_connections_[node];
  for (int i = 0; i < count; ++i) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    sockets.push_back(socket);
    socket->async_connect(relay(kClientsActor, node).endpoint(), [socket](error_code error) {
      if (error) return;
      socket->async_wait(asio::ip::tcp::socket::wait_read, [socket](error_code) {
        error_code ignored;
        socket->close(ignored);
      });
    });
  }
}

// ---------------------------------------------------------------- servers

void Fleet::start_server(const Actor& actor) {
  ServerStandIn& server = *servers_.at(actor);
  if (server.is_up()) stop_server(actor);
  server.set_failure_share(0);
  server.set_no_response_share(0);
  server.start(true);
  refuse_connections_to(actor, false);
  record(Record::What::kUp, actor);
  const Actor sidecar{ActorKind::kSidecar, actor.number};
  if (actor.kind == ActorKind::kServer && nodes_.contains(sidecar) && !nodes_.at(sidecar).should_run)
    start_node(sidecar);
}

void Fleet::stop_server(const Actor& actor) {
  servers_.at(actor)->stop();
  refuse_connections_to(actor, true);
  record(Record::What::kDown, actor);
  const Actor sidecar{ActorKind::kSidecar, actor.number};
  if (actor.kind == ActorKind::kServer && nodes_.contains(sidecar)) stop_node(sidecar);
}

void Fleet::kill_and_restart(int replica, double down_time) {
  const Actor node{ActorKind::kNode, replica};
  clients_->remove_after(replica, scenario_.client_behavior.failure_detection);
  stop_node(node);
  schedule_at(history_.now() + down_time, [this, node] { start_node(node); });
}

// Returns the status that discovery has to announce, if it has changed.
std::optional<DiscoveryStandIn::Status> Fleet::change_server(const bench::Change& change,
                                                             const Actor& actor) {
  using What = bench::Change::What;
  ServerStandIn& server = *servers_.at(actor);
  switch (change.what) {
    case What::kSlow:
      server.slow_down(change.factor);
      return std::nullopt;
    case What::kFail:
      server.set_failure_share(change.part);
      return std::nullopt;
    case What::kMute:
      server.set_no_response_share(change.part);
      return std::nullopt;
    case What::kDrain:
      return DiscoveryStandIn::Status::kDraining;
    case What::kStop:
      stop_server(actor);
      return DiscoveryStandIn::Status::kRemoved;
    case What::kStart:
      start_server(actor);
      return DiscoveryStandIn::Status::kUp;
    case What::kRestart:
      break;
  }
  return std::nullopt;
}

void Fleet::apply_change(const bench::Change& change) {
  if (options_.progress) options_.progress(history_.now(), "server change");
  if (change.what == bench::Change::What::kRestart) return kill_and_restart(change.replica, change.down);
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  for (std::size_t i = change.first; i <= change.last; ++i) {
    const Actor actor{change.backends ? ActorKind::kBackend : ActorKind::kServer, static_cast<int>(i)};
    const std::optional<DiscoveryStandIn::Status> status = change_server(change, actor);
    if (!status) continue;
    const auto announce = [this, actor, status = *status, now_ms] {
      discovery_->set_status(actor, status, status == DiscoveryStandIn::Status::kUp ? now_ms : 0);
    };
    if (change.notify_delay > 0) {
      schedule_at(history_.now() + change.notify_delay, announce);
    } else {
      announce();
    }
  }
}

}  // namespace thymewood::fleet
