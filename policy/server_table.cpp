#include "server_table.h"

#include <algorithm>

namespace thymewood {

void ServerTable::apply(double now, const EndpointUpdate& update, Random& random) {
  first_update_at_ = std::min(first_update_at_, now);
  ++update_count_;
  for (const Endpoint& endpoint : update.endpoints) update_server(now, endpoint, random);
  if (update.form == EndpointUpdate::Form::kFull) {
    for (Server& server : servers_) {
      if (server.last_listed_update != update_count_) server.endpoint.state = EndpointState::kRemoved;
    }
  }
  for (std::size_t i = 0; i < servers_.size(); ++i) free_slot_if_unreferenced(i);
}

Server& ServerTable::find_or_add(const std::string& address) {
  const auto [it, added] = index_by_address_.try_emplace(address, servers_.size());
  if (!added) return servers_[it->second];
  if (free_slots_.empty()) {
    servers_.emplace_back();
  } else {
    it->second = free_slots_.back();
    free_slots_.pop_back();
    servers_[it->second] = {};
  }
  servers_[it->second].ring_position = stable_hash(address);
  return servers_[it->second];
}

void ServerTable::update_server(double now, const Endpoint& endpoint, Random& random) {
  const bool is_new = !index_by_address_.contains(endpoint.address);
  Server& server = find_or_add(endpoint.address);
  if (is_new || endpoint.started_at != server.endpoint.started_at ||
      server.endpoint.state == EndpointState::kRemoved) {
    Server restarted;  // statistics of the previous process do not apply to the new one
    restarted.ring_position = server.ring_position;
    restarted.in_flight = server.in_flight;
    restarted.reference_count = server.reference_count;
    restarted.sent_at_sum = server.sent_at_sum;
    restarted.first_seen_at = now;
    restarted.slow_start = SlowStartBudget(now, random);
    server = restarted;
  }
  server.endpoint = endpoint;
  server.last_listed_update = update_count_;
  if (!(server.endpoint.weight > 0)) server.endpoint.weight = 1;
}

// Attempts of pending requests refer to their servers even after they have ended: an attempt that may have
// run restricts the servers to which a retry may be sent.
void ServerTable::free_slot_if_unreferenced(std::size_t index) {
  Server& server = servers_[index];
  if (server.endpoint.state != EndpointState::kRemoved || server.reference_count > 0 || server.slot_is_free)
    return;
  index_by_address_.erase(server.endpoint.address);
  server.slot_is_free = true;
  free_slots_.push_back(index);
}

void ServerTable::attempt_started(std::size_t index, double now) {
  Server& server = servers_[index];
  server.in_flight += 1;
  server.sent_at_sum += now;
  server.reference_count += 1;
  in_flight_ += 1;
}

void ServerTable::attempt_ended(std::size_t index, double sent_at) {
  Server& server = servers_[index];
  server.in_flight -= 1;
  server.sent_at_sum -= sent_at;
  in_flight_ -= 1;
}

void ServerTable::release_reference(std::size_t index) {
  servers_[index].reference_count -= 1;
  free_slot_if_unreferenced(index);
}

}  // namespace thymewood
