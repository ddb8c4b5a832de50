// Stands between the module and the sockets: turns what happens into events, and actions into calls. It
// decides nothing; but it alone sees to it that each request it took gets exactly one final answer in time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "discovery.h"
#include "isolation.h"
#include "message.h"
#include "thymewood/balancer.h"
#include "upstream.h"

namespace thymewood::node {

// A request's final answer.
struct Answer {
  enum class Kind { kServed, kRefused, kFailed };
  Kind kind = Kind::kFailed;
  double retry_after = 0;  // refused: when to come back; 0: no advice
  HttpResponse response;   // served: the server's
};

class Dispatcher {
 public:
  // Who asked: gets the one answer, and can be asked whether the caller still waits for it.
  struct Asker {
    std::function<void(Answer&&)> answer_to;
    std::function<bool()> still_waits;
  };
  // The watch on the list of servers.
  struct List {
    std::function<void()> watch;    // asks discovery anew
    std::function<void()> refresh;  // takes in, now, what discovery has said and nobody has read yet
  };

  Dispatcher(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
             std::size_t max_open, Upstream& upstream, List list);

  // The list that is known from before, if any, then the start. Where lists are pushed, requests wait for the
  // first one, or a moment without it.
  void start(const Membership& known);
  bool can_serve() const { return ready_ > 0 && !awaits_list_ && !(isolation_ && isolation_->is_isolated()); }

  // While the first pushed list is awaited, whether the node can serve is not known yet; `then` is called
  // once it is.
  bool awaits_list() const { return awaits_list_; }
  void when_listed(std::function<void()> then) { when_listed_.push_back(std::move(then)); }

  // All that is held, and all that is taken from now on, is answered by then (s on the clock).
  void answer_by(double latest);

  // Takes a request whose client waits until `event.time_left` from now. The answer may come at once. Throws
  // std::exception, and nothing is held, where the memory does not suffice.
  void take(Request event, std::shared_ptr<const HttpRequest> message, Asker asker);
  // Whether a request of this id is open, or has attempts out.
  bool holds(const std::string& id) const { return held_.contains(id); }
  void client_gone(const std::string& id);
  void members(const Membership& update);
  // The watch is open and has said what it had to say; or no longer so, since `as_of` (s on the clock).
  void list_current();
  void list_stale(double as_of);
  void discovery_moved();
  void watch_failed(const WatchFailure& failure);
  // How the fleet is seen from now on.
  void fleet(const membership::ReplicaSetView& view);
  // From now on callers are refused at once while this node is cut off from nodes and servers alike.
  void refuse_when_cut_off(const membership::IsolationConfig& config) { isolation_.emplace(config); }

 private:
  struct Held {
    std::shared_ptr<const HttpRequest> message;
    bool repeatable = true;                   // by its class
    std::function<void(Answer&&)> answer_to;  // empty once the final answer is out, or nobody waits for it
    std::shared_ptr<const std::function<bool()>> still_waits;  // shared with its attempts
    double taken = 0;
    double deadline = 0;  // when the answer has to be there
    double until = 0;     // when attempts end, a margin before that
    std::unique_ptr<boost::asio::steady_timer> guard;
    std::vector<Upstream::Handle> attempts;
    std::vector<bool> open;
    bool over() const { return !answer_to; }
    bool any_open() const;
  };

  void hold(const std::string& id, double now, const Request& event,
            std::shared_ptr<const HttpRequest> message, Asker asker);
  void happen(Event event);
  void handle(const Event& event);
  void attempt_ended(const std::string& id, int attempt, double sent, Upstream::End&& end);
  bool may_send(const std::string& id);
  void list_arrived();
  void keep_to(const std::string& id, Held& held, double deadline);
  void withdraw(const Held& held);
  void answer(Held& held, Answer&& answer);
  void settle(const std::string& id);
  void overdue(const std::string& id);

  void perform(const Send& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const Cancel& action);
  void perform(const SetTimer& action);
  void perform(const WatchEndpoints& action);
  void perform(const SheddingReport& action);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Balancer balancer_;
  bool must_watch_;
  std::minstd_rand jitter_;
  std::size_t max_open_;
  double busy_retry_after_;
  std::vector<Idempotency> effects_;  // by class
  std::optional<membership::IsolationDetector> isolation_;
  Upstream& upstream_;
  List list_;
  bool awaits_list_ = false;       // the first one, where they are pushed
  std::vector<Request> deferred_;  // until then
  std::vector<std::function<void()>> when_listed_;
  double latest_ = std::numeric_limits<double>::infinity();  // see answer_by
  double list_seen_ = 0;                                     // when the list was last brought up to date
  std::unordered_map<std::string, Held> held_;
  std::unordered_map<std::string, bool> ready_by_name_;
  std::size_t ready_ = 0;
  std::deque<Event> events_;
  bool handling_ = false;
};

}  // namespace thymewood::node
