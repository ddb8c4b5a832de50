// The open client sessions, and the order in which idle ones are evicted to free descriptors.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace thymewood::node {

class ClientSession;

class SessionTable {
 public:
  // Classes of evictable sessions. Sessions without a valid request are evicted first: if only idle time
  // counted, silent connections would displace clients that are between two requests.
  enum class IdleKind { kNoValidRequest, kBetweenRequests };

  // Bookkeeping that the table stores in each session.
  struct Entry {
    std::list<std::shared_ptr<ClientSession>>::iterator position;
    std::list<ClientSession*>* idle_list = nullptr;
    std::list<ClientSession*>::iterator idle_position;
  };

  [[nodiscard]] std::size_t size() const { return sessions_.size(); }
  [[nodiscard]] bool empty() const { return sessions_.empty(); }
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> all() const {
    return {sessions_.begin(), sessions_.end()};
  }

  // Allocates the list node before the session is created, so that insert() cannot fail.
  void reserve() { sessions_.emplace_back(); }
  void cancel_reservation() { sessions_.pop_back(); }
  void insert(const std::shared_ptr<ClientSession>& session);
  void erase(ClientSession& session);

  // Adds a session at the end of the eviction order of its kind.
  void add_idle(ClientSession& session, IdleKind kind);
  void remove_idle(ClientSession& session);

  // Closes the session that has been idle the longest, except sessions accepted within the last `min_age`
  // seconds that have not sent a valid request. Returns false if there is none.
  bool evict(double min_age);

 private:
  std::list<std::shared_ptr<ClientSession>> sessions_;
  std::list<ClientSession*> no_valid_request_, between_requests_;  // longest idle first
};

}  // namespace thymewood::node
