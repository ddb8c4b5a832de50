// The requests that are owed a final response or have attempts in flight. Sees to it that each gets exactly
// one final response before its client's timeout.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "message.h"
#include "upstream.h"

namespace thymewood::node {

// A request's final response.
struct FinalResponse {
  enum class Kind { kFromServer, kRejected, kFailed };
  Kind kind = Kind::kFailed;
  double retry_after = 0;  // s, with kRejected; 0: none
  HttpResponse response;   // with kFromServer
};

// The client's side of a request.
struct ResponseHandler {
  std::function<void(FinalResponse&&)> on_response;  // called once
  std::function<bool()> is_client_waiting;
};

struct PendingRequest {
  std::shared_ptr<const HttpRequest> message;
  bool can_repeat = true;  // by the idempotency of its class
  // Empty once the final response is out, or the client has gone.
  std::function<void(FinalResponse&&)> on_response;
  // Shared, because a call may notice that the client has gone and remove the request.
  std::shared_ptr<const std::function<bool()>> is_client_waiting;
  double received_at = 0;   // s on the clock, as are the next two
  double deadline = 0;      // of the final response
  double attempts_end = 0;  // a margin before the deadline
  std::unique_ptr<boost::asio::steady_timer> deadline_timer;
  std::vector<Upstream::Handle> attempts;
  std::vector<bool> is_attempt_open;

  bool is_answered() const { return !on_response; }
  bool has_open_attempt() const;
};

class PendingRequests {
 public:
  // `on_deadline` is called with the id of a request that has no final response right before its deadline.
  PendingRequests(boost::asio::io_context& io, const Clock& clock, Upstream& upstream,
                  std::function<void(const std::string& id)> on_deadline);

  // Throws std::exception, and adds nothing, when memory does not suffice.
  PendingRequest& add(const std::string& id, std::shared_ptr<const HttpRequest> message,
                      ResponseHandler handler, double now, double time_left);
  // Null where no such request is pending.
  [[nodiscard]] PendingRequest* find(const std::string& id);
  // Null also where its final response is out.
  [[nodiscard]] PendingRequest* find_unanswered(const std::string& id);
  [[nodiscard]] bool contains(const std::string& id) const { return requests_.contains(id); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

  // No deadline is later than this any more, s on the clock.
  void limit_deadlines(double latest);
  // Gives the final response.
  void respond(PendingRequest& request, FinalResponse&& response);
  // The client has gone: there will be no final response.
  void abandon(PendingRequest& request);
  // Ends the attempts that are not completely written. Whether the others are cancelled is for the settings
  // to say.
  void withdraw_attempts(const PendingRequest& request);
  // Removes the request if it is answered and has no attempt in flight.
  void remove_if_settled(const std::string& id);

 private:
  void set_deadline(const std::string& id, PendingRequest& request, double deadline);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Upstream& upstream_;
  std::function<void(const std::string& id)> on_deadline_;
  std::unordered_map<std::string, PendingRequest> requests_;  // by id
};

}  // namespace thymewood::node
