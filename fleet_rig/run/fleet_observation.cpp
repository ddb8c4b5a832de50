// Records crashes and resource usage of running nodes, and their views of the replica set from their logs.
#include <sys/wait.h>

#include <fstream>
#include <string_view>

#include "fleet.h"

namespace thymewood::fleet {
namespace {

constexpr double kObserveInterval = 0.05;  // s
constexpr double kUsageInterval = 1;       // s

}  // namespace

void Fleet::observe_nodes() {
  for (auto& [actor, node] : nodes_) {
    if (!scenario_.operators.empty() && actor.kind == ActorKind::kNode) read_log(actor, node);
    if (node.should_run && !node.machine->running()) record_crash(actor, node);
  }
  if (history_.now() - last_usage_time_ >= kUsageInterval) record_usage();
  observe_timer_.expires_at(history_.time_of(history_.now() + kObserveInterval));
  observe_timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) observe_nodes();
  });
}

// Records the views of the replica set that a node has logged, with the time at which they are read.
void Fleet::read_log(const Actor& actor, Node& node) {
  std::ifstream log(node.machine->folder() + "/log");
  if (!log.seekg(node.log_position)) return;
  constexpr std::string_view kViewEvent = " event=replica_set_changed ";
  for (std::string line; std::getline(log, line) && !log.eof();) {
    node.log_position += static_cast<std::streamoff>(line.size()) + 1;
    const std::size_t position = line.find(kViewEvent);
    if (position != std::string::npos)
      record(Record::What::kView, actor, line.substr(position + kViewEvent.size()));
  }
}

void Fleet::record_crash(const Actor& actor, Node& node) {
  node.should_run = false;
  refuse_connections_to(actor, true);
  if (actor.kind == ActorKind::kNode)
    clients_->remove_after(actor.number, scenario_.client_behavior.failure_detection);
  const int status = node.machine->status();
  record(Record::What::kCrash, actor,
         WIFSIGNALED(status) ? "ended by signal " + std::to_string(WTERMSIG(status))
                             : "ended with status " + std::to_string(WEXITSTATUS(status)));
}

void Fleet::record_usage() {
  last_usage_time_ = history_.now();
  for (auto& [actor, node] : nodes_) {
    if (!node.should_run) continue;
    const Machine::Usage usage = node.machine->usage();
    Record r;
    r.what = Record::What::kUsage;
    r.by = actor;
    r.work = usage.cpu_s;
    r.status = static_cast<int>(usage.memory_kb);
    r.count = usage.descriptors;
    r.tier = static_cast<int>(actor.kind == ActorKind::kNode ? clients_->idle_connections(actor.number)
                                                             : node.client->idle_connections());
    history_.add(r);
  }
  std::size_t open = 0;
  for (const auto& [actor, server] : servers_) open += server->connections();
  Record r;
  r.what = Record::What::kOpen;
  r.by = kDiscoveryActor;
  r.count = static_cast<int>(open);
  history_.add(r);
  history_.flush();
  if (options_.progress) options_.progress(history_.now(), "");
}

}  // namespace thymewood::fleet
