// The callers' side: their connections, what they may ask, and the answers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatcher.h"
#include "memory_budget.h"
#include "validation.h"

namespace thymewood::node {

class Frontend {
 public:
  struct Limits {
    std::size_t most = 0;      // connections; beyond it, idle ones are closed and new ones turned away
    std::size_t overflow = 0;  // how many of these may be open besides; beyond, nothing is accepted
    double busy_retry_after = 0;
  };

  Frontend(boost::asio::io_context& io, const Clock& clock, const Limits& limits, Catalog catalog,
           MemoryBudget& budget, Dispatcher& dispatcher);
  ~Frontend();
  Frontend(const Frontend&) = delete;
  Frontend& operator=(const Frontend&) = delete;

  // Throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& where);
  void start();
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

  // After an exception that got out of a handler: takes up what that handler may have left undone.
  void recover();

  // Goes on accepting for a while and serving for a while longer, sees to it that all that was taken is
  // answered before the node is killed, and calls `done` when no connection is left.
  void drain(std::function<void()> done);

 private:
  class Session;
  friend class Session;

  void accept();
  void accept_failed(boost::system::error_code bad);
  void admit(boost::asio::ip::tcp::socket socket);
  void admit(boost::asio::ip::tcp::socket socket, bool full, double patience);
  void keep_spare();
  // Closes one that waits for its caller; not one that has come within the last `spared` seconds.
  bool evict(double spared);
  void ended(Session& session);
  void stop_accepting();
  bool accept_with_spare();
  void close_idle();
  void end_if_drained();

  boost::asio::io_context& io_;
  const Clock& clock_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;  // a pause after a failed accept; then for the drain
  Limits limits_;
  Catalog catalog_;
  MemoryBudget& budget_;
  Dispatcher& dispatcher_;
  std::list<std::shared_ptr<Session>> sessions_;
  // Those that may be closed for others, the one that has waited the longest first: callers that never asked
  // for anything that can be served, and those between two requests.
  std::list<Session*> strangers_, idle_;
  int spare_ = -1;                 // a descriptor in reserve
  std::uint64_t accept_turn_ = 0;  // tells the accept that is out from one that was given up
  bool accepting_ = false, pausing_ = false, draining_ = false, closing_ = false;
  Clock::Steady::time_point last_answer_;  // of a drain
  Clock::Steady::time_point last_accept_;  // of a drain, where descriptors are short
  std::function<void()> drained_;
};

}  // namespace thymewood::node
