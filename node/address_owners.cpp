#include "address_owners.h"

#include <algorithm>
#include <iterator>
#include <limits>
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
  std::vector<std::string> outdated;
  for (ListedEndpoint& entry : update.endpoints) {
    const auto it = servers_.find(entry.endpoint.address);
    if (it == servers_.end()) continue;
    std::vector<std::string> names = find_owner(it->second.address);
    std::move(names.begin(), names.end(), std::back_inserter(outdated));
    if (it->second.has_lost_address) entry.endpoint.state = EndpointState::kRemoved;
  }
  for (std::string& name : outdated) {
    ListedEndpoint removed;
    removed.endpoint.address = std::move(name);
    removed.endpoint.state = EndpointState::kRemoved;
    update.endpoints.push_back(std::move(removed));
  }
  return update;
}

void AddressOwners::store(const ListedEndpoint& entry) {
  const Endpoint& endpoint = entry.endpoint;
  if (endpoint.state == EndpointState::kRemoved) return remove(endpoint.address);
  if (entry.socket_address.port() == 0) return;  // malformed entry
  const double started_at = comparable_start(endpoint.started_at);
  const auto it = servers_.find(endpoint.address);
  if (it != servers_.end() && it->second.address == entry.socket_address &&
      it->second.started_at == started_at) {
    it->second.last_listed = update_;
    return;
  }
  remove(endpoint.address);
  servers_[endpoint.address] = {entry.socket_address, started_at, update_, false};
  by_address_[entry.socket_address].push_back(endpoint.address);
}

void AddressOwners::remove(const std::string& name) {
  const auto it = servers_.find(name);
  if (it == servers_.end()) return;
  const auto at_address = by_address_.find(it->second.address);
  std::erase(at_address->second, name);
  if (at_address->second.empty()) by_address_.erase(at_address);
  servers_.erase(it);
}

void AddressOwners::drop_unlisted() {
  std::vector<std::string> unlisted;
  for (const auto& [name, server] : servers_) {
    if (server.last_listed != update_) unlisted.push_back(name);
  }
  for (const std::string& name : unlisted) remove(name);
}

// Returns the servers that lose the address now. Of two processes with the same start time neither is known
// to be newer, and both keep the address.
std::vector<std::string> AddressOwners::find_owner(const Address& address) {
  std::vector<std::string> outdated;
  const std::vector<std::string>& names = by_address_.at(address);
  double last_start = kLongAgo;
  for (const std::string& name : names) last_start = std::max(last_start, servers_.at(name).started_at);
  for (const std::string& name : names) {
    Listed& server = servers_.at(name);
    if (server.has_lost_address || server.started_at >= last_start) continue;
    server.has_lost_address = true;
    outdated.push_back(name);
  }
  return outdated;
}

}  // namespace thymewood::node
