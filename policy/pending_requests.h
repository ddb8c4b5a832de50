// Requests that still need a final answer or have attempts in flight.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "thymewood/balancer.h"

namespace thymewood {

struct Attempt {
  std::size_t server = 0;  // index in the server table
  double sent_at = 0;
  int zone = 0;  // location of the server when the attempt was sent; a restart may change it
  int cell = 0;
  bool in_flight = true;
  bool may_have_run = true;
};

struct PendingRequest {
  std::size_t tenant = 0;
  std::size_t request_class = 0;
  double response_deadline = 0;  // when a response loses all of its value
  std::vector<Attempt> attempts;
  bool finished = false;      // answered or abandoned
  bool streaming = false;     // the client has begun to receive the response
  bool within_quota = false;  // its tenant was within its quota when the request arrived

  bool any_in_flight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.may_have_run; });
  }
  bool was_sent_to(std::size_t server) const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [=](const Attempt& a) { return a.server == server; });
  }
};

// Accessed by id only and never iterated, because the order of a hash map differs between platforms.
class PendingRequests {
 public:
  bool contains(const std::string& id) const { return requests_.contains(id); }
  PendingRequest& add(const std::string& id) { return requests_[id]; }
  // Returns nullptr if the request is not pending. The pointer is valid until the request is removed.
  PendingRequest* find(const std::string& id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }
  // Removes and returns a request, which must be pending.
  PendingRequest remove(const std::string& id) { return std::move(requests_.extract(id).mapped()); }

 private:
  std::unordered_map<std::string, PendingRequest> requests_;
};

}  // namespace thymewood
