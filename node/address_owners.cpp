#include "address_owners.h"

#include <algorithm>
#include <limits>
#include <unordered_set>
#include <utility>

namespace thymewood::node {
namespace {

constexpr double kLongAgo = -std::numeric_limits<double>::infinity();

// Start times before that of this node are negative; 0 stands for long ago.
double comparable_start(double started_at) {
  if (started_at == 0) return kLongAgo;
  return started_at;
}

}  // namespace

EndpointList AddressOwners::resolve(EndpointList update) {
  ++update_;
  for (const ListedEndpoint& entry : update.endpoints) store(entry);
  if (update.is_full) drop_unlisted();
  find_owners();
  std::unordered_set<std::string> in_update;
  for (ListedEndpoint& entry : update.endpoints) {
    const auto it = servers_.find(entry.endpoint.address);
    if (it != servers_.end() && it->second.has_lost_address) entry.endpoint.state = EndpointState::kRemoved;
    in_update.insert(entry.endpoint.address);
  }
  for (const auto& [name, server] : servers_) {
    if (!server.has_lost_address || in_update.contains(name)) continue;
    ListedEndpoint removed;
    removed.endpoint.address = name;
    removed.endpoint.state = EndpointState::kRemoved;
    update.endpoints.push_back(std::move(removed));
  }
  return update;
}

void AddressOwners::store(const ListedEndpoint& entry) {
  const Endpoint& endpoint = entry.endpoint;
  if (endpoint.state == EndpointState::kRemoved) {
    servers_.erase(endpoint.address);
    return;
  }
  if (entry.socket_address.port() == 0) return;  // malformed entry
  const auto [it, is_new] = servers_.try_emplace(endpoint.address);
  Listed& server = it->second;
  const double started_at = comparable_start(endpoint.started_at);
  const bool is_same_process =
      !is_new && server.address == entry.socket_address && server.started_at == started_at;
  if (!is_same_process) server = {entry.socket_address, started_at, update_, false};
  server.last_listed = update_;
}

void AddressOwners::drop_unlisted() {
  std::erase_if(servers_, [this](const auto& item) { return item.second.last_listed != update_; });
}

// Of two processes with the same start time neither is known to be newer, and both keep the address.
void AddressOwners::find_owners() {
  std::map<boost::asio::ip::tcp::endpoint, double> last_start;
  for (const auto& [name, server] : servers_) {
    const auto [it, is_first] = last_start.try_emplace(server.address, server.started_at);
    it->second = std::max(it->second, server.started_at);
  }
  for (auto& [name, server] : servers_) {
    if (server.started_at < last_start[server.address]) server.has_lost_address = true;
  }
}

}  // namespace thymewood::node
