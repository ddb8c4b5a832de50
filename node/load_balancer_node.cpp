#include "load_balancer_node.h"

#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <sstream>
#include <utility>

#include "event_log.h"
#include "event_loop.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
namespace membership = thymewood::membership;

std::string to_text(const asio::ip::tcp::endpoint& address) {
  std::ostringstream out;
  out << address;
  return out.str();
}

std::uint64_t unix_time_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

membership::LocalNode make_local_node(const Config& config, const std::string& replica_set) {
  membership::LocalNode local;
  local.id = static_cast<membership::NodeId>(config.settings.replica_index);
  local.peer_count = static_cast<std::uint16_t>(config.peers->peers.size());
  local.zone = static_cast<std::uint8_t>(config.settings.zone);
  local.start_ms = unix_time_ms();
  local.replica_set_id = membership::replica_set_id_of(replica_set);
  return local;
}

}  // namespace

LoadBalancerNode::LoadBalancerNode(asio::io_context& io, const Clock& clock, Config config,
                                   operators::ReplicaSetOptions replica_set, MemoryBudget& message_budget)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      replica_set_(std::move(replica_set)),
      descriptors_(divide_descriptors(config_.max_descriptors)),
      upstream_(io, {config_.connect_timeout, config_.server_idle_timeout, descriptors_.servers},
                message_budget),
      discovery_(io, config_.discovery_address, config_.zones, clock, config_.start_times),
      dispatcher_(io, clock, config_.settings, config_.seed, config_.max_pending_requests, upstream_,
                  discovery_),
      frontend_(io, clock,
                {descriptors_.clients, descriptors_.rejected_clients, config_.settings.max_retry_after / 2},
                {config_.class_names, config_.tenant_names, config_.settings.classes}, message_budget,
                dispatcher_),
      report_signals_(io) {
  discovery_.set_listener(dispatcher_);
  // If lists are pushed, the full list is always requested: it is cheap, and is sent even if nothing has
  // changed.
  if (config_.settings.uses_watch && !config_.known_endpoints.endpoints.empty())
    discovery_.set_known_version(config_.known_endpoints.version);
}

void LoadBalancerNode::start() {
  listen();
  if (!config_.known_endpoints.first_error.empty())
    log_warning("list_unreadable").with("problem", "known: " + config_.known_endpoints.first_error);
  dispatcher_.start(config_.known_endpoints);
  frontend_.start();
  start_peers();
  log_info("listening").with("node", config_.name).with("address", to_text(frontend_.local_endpoint()));
}

void LoadBalancerNode::listen() {
  try {
    frontend_.listen(config_.listen_address);
  } catch (const boost::system::system_error& error) {
    throw StartupError("listen: " + error.code().message());
  }
}

// Requires that both the platform's configuration and the operators' file enable failure detection.
void LoadBalancerNode::start_peers() {
  if (!replica_set_.enabled || !config_.peers) return;
  const membership::LocalNode local = make_local_node(config_, replica_set_.name);
  if (replica_set_.rejects_when_isolated) dispatcher_.reject_when_isolated({});
  try {
    peers_ = std::make_unique<Peers>(
        io_, clock_, *config_.peers, local, replica_set_.detector, replica_set_.view, config_.seed,
        [this](const membership::ReplicaSetView& view) { dispatcher_.on_replica_set(view); });
  } catch (const boost::system::system_error& error) {
    throw StartupError("peer_listen: " + error.code().message());
  }
  report_signals_.add(SIGUSR1);
  on_each_signal(report_signals_, [this] { std::clog << "fleet: " << peers_->report() << '\n'; });
  peers_->start();
}

void LoadBalancerNode::reload(const std::string& path) {
  try {
    const Config config = read_config(path, clock_);
    discovery_.move_to(config.discovery_address);
    log_info("reload").with("discovery", to_text(config.discovery_address));
  } catch (const std::exception& error) {
    log_warning("reload_failed").with("problem", error.what());
  }
}

void LoadBalancerNode::shut_down() {
  log_info("drain_started");
  frontend_.drain([this] {
    // Announce the shutdown to peers only now: until its last response this node still sends requests, and
    // peers must count it as live.
    if (peers_) peers_->leave();
    log_info("drain_ended");
    io_.stop();
  });
}

void LoadBalancerNode::recover() {
  frontend_.resume_after_exception();
  discovery_.recover();
}

}  // namespace thymewood::node
