// What the player keeps of requests and attempts in flight.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "scenario.h"
#include "thymewood/balancer.h"

namespace thymewood::bench {

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

struct AttemptState {
  std::size_t request = 0, server = 0;
  int number = 0;
  double sent = 0, work = 0;
  double until = 0;  // the deadline that its server was given
  int calls = 0;     // to the second tier that are still to be made for it
  bool call_served = false;
  std::uint64_t turn = 0;  // tells this use of the record from earlier ones
  bool ended = false;      // the replica has its outcome
  bool at_end = false;     // nothing more comes from the server
  Outcome outcome = Outcome::kSuccess;
};

struct RequestState {
  std::string id;
  std::size_t request_class = 0, tenant = 0, client = kNone;
  int replica = 0, attempts_open = 0;
  double due = 0, until = 0;  // due: of this attempt
  double first_due = 0;       // when the first attempt was due
  int client_attempts = 1;
  bool pinned = false;            // further attempts go to the same replica
  bool over = false;              // it has its final answer
  std::size_t parent = kNone;     // of a call to the second tier: the attempt for which it is made ...
  std::uint64_t parent_turn = 0;  // ... and which use of that record
  std::vector<std::size_t> attempts;
};

struct ClosedLoopClient {
  const ClosedLoop* group = nullptr;
  int replica = 0;
};

// A pool of records that are used again once freed, so that a long run does not grow.
template <class T>
class RecordPool {
 public:
  std::size_t allocate() {
    if (free_.empty()) {
      all_.emplace_back();
      return all_.size() - 1;
    }
    const std::size_t at = free_.back();
    free_.pop_back();
    all_[at] = T{};
    return at;
  }
  void release(std::size_t at) { free_.push_back(at); }
  T& operator[](std::size_t at) { return all_[at]; }
  const T& operator[](std::size_t at) const { return all_[at]; }
  std::size_t size() const { return all_.size(); }

 private:
  std::vector<T> all_;
  std::vector<std::size_t> free_;
};

}  // namespace thymewood::bench
