// Requests that have no final response yet or have attempts in flight. Ensures that each request gets exactly
// one final response, before its client's timeout.
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
  double retry_after = 0;  // s, for kRejected; 0 if there is none
  HttpResponse response;   // for kFromServer
};

// The client's side of a request.
struct ResponseHandler {
  std::function<void(FinalResponse&&)> on_response;  // called at most once
  std::function<bool()> is_client_waiting;
};

struct PendingRequest {
  std::shared_ptr<const HttpRequest> message;
  bool is_retryable = true;   // depends on the idempotency of its class, like the next one
  bool may_run_twice = true;  // without harm
  // Empty once the final response was sent or the client has disconnected.
  std::function<void(FinalResponse&&)> on_response;
  // Shared, because a call can detect that the client has disconnected and remove this request.
  std::shared_ptr<const std::function<bool()>> is_client_waiting;
  double received_at = 0;        // s on the node's clock, like the next two
  double deadline = 0;           // for the final response
  double attempts_deadline = 0;  // earlier than `deadline` by a margin
  std::unique_ptr<boost::asio::steady_timer> deadline_timer;
  std::vector<Upstream::Handle> attempts;
  std::vector<bool> is_attempt_open;

  bool is_answered() const { return !on_response; }
  bool has_open_attempt() const;
};

class PendingRequests {
 public:
  // `on_deadline` is called shortly before the deadline of a request that has no final response, with the
  // request's id.
  PendingRequests(boost::asio::io_context& io, const Clock& clock, Upstream& upstream,
                  std::function<void(const std::string& id)> on_deadline);

  // If memory is exhausted, throws std::exception and adds nothing.
  PendingRequest& add(const std::string& id, std::shared_ptr<const HttpRequest> message,
                      ResponseHandler handler, double now, double time_left);
  // Returns null if no request with this id is pending.
  [[nodiscard]] PendingRequest* find(const std::string& id);
  // Like find(), but also returns null if the final response was sent or the client has disconnected.
  [[nodiscard]] PendingRequest* find_unanswered(const std::string& id);
  [[nodiscard]] bool contains(const std::string& id) const { return requests_.contains(id); }
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

  // Shortens the deadline of each pending request to at most `max_deadline`, in seconds on the node's clock.
  void limit_deadlines(double max_deadline);
  // Sends the final response.
  void respond(PendingRequest& request, FinalResponse&& response);
  // The client has disconnected: no final response will be sent.
  void abandon(PendingRequest& request);
  // Ends the attempts whose request is not yet fully written. The settings determine whether the others are
  // cancelled.
  void cancel_unsent_attempts(const PendingRequest& request);
  // Removes the request if it needs no response any more and has no attempt in flight.
  void remove_if_complete(const std::string& id);

 private:
  void set_deadline(const std::string& id, PendingRequest& request, double deadline);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Upstream& upstream_;
  std::function<void(const std::string& id)> on_deadline_;
  std::unordered_map<std::string, PendingRequest> requests_;  // by id
};

}  // namespace thymewood::node
