// The connections to servers, and the attempts on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "clock.h"
#include "idle_lifetime.h"
#include "memory_budget.h"
#include "message.h"
#include "preconnect.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

class Upstream {
 public:
  struct Limits {
    double dial_timeout = 0;
    double idle_close = 0;            // a server may close a connection that has stood idle this long
    std::size_t max_connections = 0;  // over all servers
  };
  // How an attempt ended.
  struct End {
    Outcome outcome = Outcome::kUnknown;
    HttpResponse response;  // with kSuccess alone
    double unread = 0;  // s that the answer had lain there before this node came to it; 0: it was not away
  };
  struct Sender {
    // Asked right before the first byte, which may be long after start(): whether it is still to be sent. It
    // may place and retire servers.
    std::function<bool()> may_send;
    std::function<void(End&&)> report;
  };

  class Attempt;
  using Handle = std::weak_ptr<Attempt>;

  Upstream(boost::asio::io_context& io, const Limits& limits, MemoryBudget& budget);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Where a server listens, and whether it may get new work. `started` tells one of its processes from the
  // next, whose connections are not the last one's.
  void place(const std::string& server, const boost::asio::ip::tcp::endpoint& where, double started,
             bool usable);
  // It has left the list: attempts that are out go on, nothing new is to come.
  void retire(const std::string& server);

  // How long an attempt may take, in s from its start.
  struct Time {
    double timeout = 0;  // in all
    // Until its last byte is written; at most `timeout`. Danger: a repeat is harmless for a while only.
    double send_by = timeout;
  };

  // Sends a request, once, and reports exactly once, never from within this call. One that is not
  // `repeatable` is kept off connections that may have been dropped while they were idle. One whose time is
  // over before its first byte, or that may not be sent by then, ends as kNotSent.
  Handle start(const std::string& server, const std::shared_ptr<const HttpRequest>& request, Time time,
               bool repeatable, Sender sender);
  // It ends by then, if not sooner.
  void end_by(const Handle& attempt, Clock::Steady::time_point latest);
  // One whose last byte is not written ends as kNotSent, and no more of it is; any other goes on.
  void withdraw(const Handle& attempt);
  // Closes the attempt's connection; it is reported as kCancelled, unless its end is on its way already.
  void cancel(const Handle& attempt);

  std::size_t connections() const { return connections_; }

 private:
  class Connection;
  struct Pool;

  void dial(const std::shared_ptr<Pool>& pool);
  void dialled(const std::shared_ptr<Pool>& pool, const std::shared_ptr<Connection>& connection, bool up);
  std::shared_ptr<Connection> take_idle(Pool& pool, bool repeatable);
  static bool is_resting(const Pool& pool);
  // `since`: when it began to be idle.
  void release(const std::shared_ptr<Connection>& connection, bool fresh, Clock::Steady::time_point since);
  void serve_waiting(Pool& pool);
  void serve_rested(const std::shared_ptr<Pool>& pool);
  void drop(const std::shared_ptr<Connection>& connection, const char* reason);
  void forget(Pool& pool, const Connection& connection);
  void drop_idle(Pool& pool);
  void end_half_written(Pool& pool);
  bool make_room();
  void arm(const std::shared_ptr<Attempt>& attempt);
  // Nothing more is written of it from here on; it is reported in a moment.
  void end_later(const std::shared_ptr<Attempt>& attempt, Outcome outcome);
  void finish(const std::shared_ptr<Attempt>& attempt, Outcome outcome, bool keep);

  boost::asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  IdleLifetimeEstimate idle_lifetime_;
  std::size_t connections_ = 0;  // dialling ones too
  // Outlived by no handler that looks at it: what is left in the event loop at the end sees that we are gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace thymewood::node
