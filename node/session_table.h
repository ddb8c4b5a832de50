// The open client sessions, and the order in which idle ones are closed to free descriptors.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

namespace thymewood::node {

class ClientSession;

class SessionTable {
 public:
  // Why a session may be evicted. Clients that have sent no valid request go first: by idle time alone,
  // silent connections would push out the clients between two requests.
  enum class IdleKind { kUnproven, kBetweenRequests };

  // What the table keeps in each session.
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

  // Allocates the place of a session ahead of the session itself, so that insert() cannot fail.
  void reserve() { sessions_.emplace_back(); }
  void cancel_reservation() { sessions_.pop_back(); }
  void insert(const std::shared_ptr<ClientSession>& session);
  void erase(ClientSession& session);

  // Makes a session the last to be evicted of its kind.
  void add_idle(ClientSession& session, IdleKind kind);
  void remove_idle(ClientSession& session);

  // Closes the session that has been idle the longest; not one that was accepted within the last `min_age`
  // seconds and has sent no valid request. False where there is none.
  bool evict(double min_age);

 private:
  std::list<std::shared_ptr<ClientSession>> sessions_;
  std::list<ClientSession*> unproven_, between_requests_;  // the longest idle first
};

}  // namespace thymewood::node
