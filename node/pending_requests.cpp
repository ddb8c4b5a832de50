#include "pending_requests.h"

#include <algorithm>
#include <utility>

namespace thymewood::node {
namespace {

namespace asio = boost::asio;

// In seconds. Attempts end this long before the client's timeout, to allow for the transfer of the request
// and the response and for delays of the event loop.
constexpr double kResponseMargin = 0.040;
// In seconds before the client's timeout. The node fails a request that has no final response by then.
constexpr double kDeadlineMargin = 0.020;
// Upper bound of the margin as a fraction of the client's timeout, so that most of a short timeout is
// available to the server. The protocol allows a response to be 0.05 s late.
constexpr double kMaxMarginFraction = 0.125;

}  // namespace

bool PendingRequest::has_open_attempt() const {
  return std::find(is_attempt_open.begin(), is_attempt_open.end(), true) != is_attempt_open.end();
}

PendingRequests::PendingRequests(asio::io_context& io, const Clock& clock, Upstream& upstream,
                                 std::function<void(const std::string& id)> on_deadline)
    : io_(io), clock_(clock), upstream_(upstream), on_deadline_(std::move(on_deadline)) {}

PendingRequest& PendingRequests::add(const std::string& id, std::shared_ptr<const HttpRequest> message,
                                     ResponseHandler handler, double now, double time_left) {
  try {
    PendingRequest& request = requests_[id];
    request.message = std::move(message);
    request.on_response = std::move(handler.on_response);
    request.is_client_waiting =
        std::make_shared<const std::function<bool()>>(std::move(handler.is_client_waiting));
    request.received_at = now;
    set_deadline(id, request, now + time_left);
    return request;
  } catch (...) {
    requests_.erase(id);  // without its deadline timer the request might never get a response
    throw;
  }
}

void PendingRequests::set_deadline(const std::string& id, PendingRequest& request, double deadline) {
  const double now = clock_.now();
  const double margin = std::min(kResponseMargin, kMaxMarginFraction * std::max(0.0, deadline - now));
  request.deadline = deadline;
  request.attempts_deadline = deadline - margin;
  request.deadline_timer = std::make_unique<asio::steady_timer>(
      io_, clock_.to_time_point(deadline - margin * kDeadlineMargin / kResponseMargin));
  request.deadline_timer->async_wait([this, id](boost::system::error_code cancelled) {
    if (!cancelled) on_deadline_(id);
  });
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.is_attempt_open[i])
      upstream_.shorten_deadline(request.attempts[i], clock_.to_time_point(request.attempts_deadline));
  }
}

PendingRequest* PendingRequests::find(const std::string& id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

PendingRequest* PendingRequests::find_unanswered(const std::string& id) {
  PendingRequest* const request = find(id);
  return request == nullptr || request->is_answered() ? nullptr : request;
}

void PendingRequests::limit_deadlines(double max_deadline) {
  for (auto& [id, request] : requests_) {
    if (!request.is_answered() && request.deadline > max_deadline) set_deadline(id, request, max_deadline);
  }
}

void PendingRequests::respond(PendingRequest& request, FinalResponse&& response) {
  const auto on_response = std::exchange(request.on_response, nullptr);
  request.deadline_timer.reset();
  on_response(std::move(response));
}

void PendingRequests::abandon(PendingRequest& request) {
  request.on_response = nullptr;
  request.deadline_timer.reset();
  cancel_unsent_attempts(request);
}

void PendingRequests::cancel_unsent_attempts(const PendingRequest& request) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.is_attempt_open[i]) upstream_.cancel_if_unsent(request.attempts[i]);
  }
}

void PendingRequests::remove_if_complete(const std::string& id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.is_answered() && !it->second.has_open_attempt())
    requests_.erase(it);
}

}  // namespace thymewood::node
