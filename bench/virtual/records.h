// The state of requests and attempts in flight in a simulated run.
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
  double deadline = 0;  // passed to the server
  int calls = 0;        // calls to the second tier that remain to be made
  bool call_served = false;
  std::uint64_t generation = 0;  // distinguishes this use of the record from earlier ones
  bool ended = false;            // the replica knows its outcome
  bool server_done = false;      // the server does nothing more for it
  Outcome outcome = Outcome::kSuccess;
};

struct RequestState {
  std::string id;
  std::size_t request_class = 0, tenant = 0, client = kNone;
  int replica = 0, open_attempts = 0;
  double due = 0, deadline = 0;  // of this client attempt
  double first_due = 0;          // due time of the first client attempt
  int client_attempts = 1;
  bool pinned = false;                  // further client attempts go to the same replica
  bool finished = false;                // it has its final result
  std::size_t parent = kNone;           // for a call to the second tier: the attempt that makes it ...
  std::uint64_t parent_generation = 0;  // ... and the generation of that record
  std::vector<std::size_t> attempts;
};

struct ClosedLoopClient {
  const ClosedLoop* group = nullptr;
  int replica = 0;
};

// A pool that reuses released records, so that memory does not grow with the length of a run.
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
