// What is done to a fleet while its run goes on: faults of machines, links and discovery, and changes of
// servers.
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

constexpr double kFirstSecond = 1;  // s

// What the shim of a node does from now on; `on` false takes it back.
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

void Fleet::at(double seconds, std::function<void()> what) {
  timers_.push_back(std::make_unique<asio::steady_timer>(io_, history_.time_of(seconds)));
  timers_.back()->async_wait([what = std::move(what)](error_code cancelled) {
    if (!cancelled) what();
  });
}

// One after another, in the order of the plan: timers of the same time may fire in any.
void Fleet::run_steps(std::vector<Step> steps, std::size_t next) {
  while (next < steps.size() && steps[next].at <= history_.now()) apply(steps[next++]);
  if (next >= steps.size()) return;
  const double then = steps[next].at;
  at(then, [this, steps = std::move(steps), next]() mutable { run_steps(std::move(steps), next); });
}

void Fleet::record(Record::What what, const Actor& by, const std::string& text) {
  Record r;
  r.what = what;
  r.by = by;
  r.note = text;
  history_.add(r);
}

void Fleet::apply(const Step& step) {
  if (step.what == Step::What::kChange) return change(scenario_.changes.at(step.change));
  const Fault& fault = scenario_.faults.at(step.fault);
  const bool begins = step.what == Step::What::kBegins;
  if (options_.progress) options_.progress(history_.now(), (begins ? "" : "over: ") + step.note);
  if (begins) {
    begin_fault(fault, step);
    record(Record::What::kFault, kDiscoveryActor, step.note);
  } else {
    end_fault(fault, step);
    record(Record::What::kHealed, kDiscoveryActor, step.note);
  }
}

void Fleet::begin_node_fault(const Fault& fault, const Actor& actor) {
  Node& node = nodes_.at(actor);
  if (FaultPlan* const plan = node.machine->faults()) set_faults(*plan, fault, true);
  switch (fault.what) {
    case Fault::What::kKill:
      if (node.should_run && actor.kind == ActorKind::kNode)
        clients_->lost(actor.number, scenario_.client_behavior.failure_detection);
      stop_node(actor);
      break;
    case Fault::What::kRestart:
      asio::co_spawn(io_, restart(actor, std::isfinite(fault.lasts) ? fault.lasts : 0), asio::detached);
      break;
    case Fault::What::kPause:
      record(Record::What::kPaused, actor);
      node.machine->pause();
      break;
    case Fault::What::kStarve:
      record(Record::What::kPaused, actor);
      node.starved = true;
      asio::co_spawn(io_, starve(actor, fault.share), asio::detached);
      break;
    case Fault::What::kHangup:
      // Never in its first second, nor before it is ready.
      if (history_.now() - node.started_at > kFirstSecond && clients_->is_up(actor.number))
        node.machine->signal(SIGHUP);
      break;
    case Fault::What::kCrowd:
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
  for (const Actor& actor : step.who) {
    if (actor.kind == ActorKind::kDiscovery) break;
    begin_node_fault(fault, actor);
  }
  if (fault.what == Fault::What::kSilence) discovery_->down();
  if (fault.what == Fault::What::kLag) discovery_->lag_more(fault.delay);
  if (!step.ways.empty()) apply_link_fault(step, true);
  if (fault.what == Fault::What::kReset || fault.what == Fault::What::kRefuse) {
    for (const Way& way : step.ways) {
      const auto at = relays_.find({way.from, way.to});
      if (at == relays_.end()) continue;
      if (fault.what == Fault::What::kReset) {
        at->second->reset();
      } else {
        at->second->refuse(true);
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
    case Fault::What::kStarve:
      node.starved = false;
      node.machine->resume();
      record(Record::What::kResumed, actor);
      break;
    case Fault::What::kCrowd:
      idle_clients_.erase(actor);
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
  for (const Actor& actor : step.who) {
    if (actor.kind == ActorKind::kDiscovery) break;
    end_node_fault(fault, actor);
  }
  if (fault.what == Fault::What::kSilence) discovery_->up();
  if (fault.what == Fault::What::kLag) discovery_->lag_more(-fault.delay);
  if (fault.what == Fault::What::kRefuse) {
    for (const Way& way : step.ways) {
      const auto at = relays_.find({way.from, way.to});
      if (at != relays_.end()) at->second->refuse(false);
    }
  }
  if (!step.ways.empty()) apply_link_fault(step, false);
}

void Fleet::apply_link_fault(const Step& step, bool on) {
  for (const Way& way : step.ways) {
    Direction& direction = links_.way(way.from, way.to);
    if (on) {
      direction.lay(step.number, step.shape);
    } else {
      direction.lift(step.number);
    }
    Record r;
    r.what = on ? Record::What::kBadLink : Record::What::kGoodLink;
    r.by = way.from;
    r.to = way.to;
    history_.add(r);
  }
  for (const Way& way : step.ways) {
    for (const auto& ends : {std::pair{way.from, way.to}, std::pair{way.to, way.from}}) {
      const auto at = relays_.find(ends);
      if (at != relays_.end()) at->second->changed();
    }
    if (!on && way.from == kDiscoveryActor && !links_.way(way.from, way.to).cut()) discovery_->healed(way.to);
  }
}

void Fleet::refuse_connections_to(const Actor& actor, bool on) {
  for (const auto& [ends, relay] : relays_) {
    if (ends.second == actor) relay->refuse(on);
  }
}

// Clients that connect, say nothing, and stay until they are closed on.
void Fleet::open_idle_connections(const Actor& node, int count) {
  std::vector<std::shared_ptr<asio::ip::tcp::socket>>& sockets = idle_clients_[node];
  for (int i = 0; i < count; ++i) {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    sockets.push_back(socket);
    socket->async_connect(relay(kClientsActor, node).where(), [socket](error_code bad) {
      if (bad) return;
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
  server.fail(0);
  server.mute(0);
  server.up(true);
  refuse_connections_to(actor, false);
  record(Record::What::kUp, actor);
  const Actor sidecar{ActorKind::kSidecar, actor.number};
  if (actor.kind == ActorKind::kServer && nodes_.contains(sidecar) && !nodes_.at(sidecar).should_run)
    start_node(sidecar);
}

void Fleet::stop_server(const Actor& actor) {
  servers_.at(actor)->down();
  refuse_connections_to(actor, true);
  record(Record::What::kDown, actor);
  const Actor sidecar{ActorKind::kSidecar, actor.number};
  if (actor.kind == ActorKind::kServer && nodes_.contains(sidecar)) stop_node(sidecar);
}

void Fleet::kill_and_restart(int replica, double down) {
  const Actor node{ActorKind::kNode, replica};
  clients_->lost(replica, scenario_.client_behavior.failure_detection);
  stop_node(node);
  at(history_.now() + down, [this, node] { start_node(node); });
}

// Returns the status that discovery has to announce, if that has changed.
std::optional<DiscoveryStandIn::Status> Fleet::change_server(const bench::Change& c, const Actor& actor) {
  using What = bench::Change::What;
  ServerStandIn& server = *servers_.at(actor);
  switch (c.what) {
    case What::kSlow:
      server.slow_down(c.factor);
      return std::nullopt;
    case What::kFail:
      server.fail(c.part);
      return std::nullopt;
    case What::kMute:
      server.mute(c.part);
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

void Fleet::change(const bench::Change& c) {
  if (options_.progress) options_.progress(history_.now(), "change of servers");
  if (c.what == bench::Change::What::kRestart) return kill_and_restart(c.replica, c.down);
  const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  for (std::size_t i = c.first; i <= c.last; ++i) {
    const Actor actor{c.backends ? ActorKind::kBackend : ActorKind::kServer, static_cast<int>(i)};
    const std::optional<DiscoveryStandIn::Status> status = change_server(c, actor);
    if (!status) continue;
    const auto announce = [this, actor, status = *status, now_ms] {
      discovery_->change(actor, status, status == DiscoveryStandIn::Status::kUp ? now_ms : 0);
    };
    if (c.notify_delay > 0) {
      at(history_.now() + c.notify_delay, announce);
    } else {
      announce();
    }
  }
}

}  // namespace thymewood::fleet
