#include "session_table.h"

#include <iterator>
#include <utility>

#include "client_session.h"
#include "clock.h"

namespace thymewood::node {

void SessionTable::insert(const std::shared_ptr<ClientSession>& session) {
  sessions_.back() = session;
  session->table_entry().position = std::prev(sessions_.end());
}

void SessionTable::erase(ClientSession& session) { sessions_.erase(session.table_entry().position); }

void SessionTable::add_idle(ClientSession& session, IdleKind kind) {
  remove_idle(session);
  std::list<ClientSession*>& list = kind == IdleKind::kNoValidRequest ? no_valid_request_ : between_requests_;
  Entry& entry = session.table_entry();
  entry.idle_list = &list;
  entry.idle_position = list.insert(list.end(), &session);
}

void SessionTable::remove_idle(ClientSession& session) {
  Entry& entry = session.table_entry();
  if (entry.idle_list != nullptr) std::exchange(entry.idle_list, nullptr)->erase(entry.idle_position);
}

bool SessionTable::evict(double min_age) {
  const Clock::Steady::time_point max_accepted_at = Clock::Steady::now() - Clock::to_duration(min_age);
  for (const std::list<ClientSession*>* list : {&no_valid_request_, &between_requests_}) {
    for (ClientSession* session : *list) {
      // The sessions behind this one were accepted later.
      if (list == &no_valid_request_ && session->accepted_at() > max_accepted_at) break;
      if (session->has_unread()) continue;
      session->close(SessionEnd::kEvicted);
      return true;
    }
  }
  return false;
}

}  // namespace thymewood::node
