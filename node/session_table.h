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

  // Adds an empty element before the session is created, so that insert(), which fills it, cannot fail.
  // size() counts the element.
  void reserve() { sessions_.emplace_back(); }
  void cancel_reservation() { sessions_.pop_back(); }
  void insert(const std::shared_ptr<ClientSession>& session);
  void erase(ClientSession& session);

  // Adds a session at the end of the eviction order of its kind.
  void add_idle(ClientSession& session, IdleKind kind);
  void remove_idle(ClientSession& session);

  // Closes one idle session without unread data: the one that has been idle the longest among those without a
  // valid request, or else among those between two requests. Sessions without a valid request are kept for
  // `min_age` seconds after they were accepted. Returns false if no session can be closed.
  bool evict(double min_age);

 private:
  std::list<std::shared_ptr<ClientSession>> sessions_;
  std::list<ClientSession*> no_valid_request_, between_requests_;  // longest idle first
};

}  // namespace thymewood::node
