// Fault injection plan of the system call shim for the sockets and timers of a process, in memory that the
// test and the process share.
#pragma once

#include <atomic>
#include <cstdint>

namespace thymewood::fleet {

// The calls that can be made to fail.
enum class FaultyCall : std::uint32_t {
  kNone,
  kAccept,
  kSocket,
  kConnect,
  kEpollWait,
  kRecv,
  kSend,
  kGetsockopt,
  kTimer,
  kCount
};

// Active while `call` is set: the `nth` matching call from then on, counted from 1, and the `times` - 1 after
// it fail with `error`. If `error` is 0, sends and receives transfer one byte only.
struct CallPlan {
  std::atomic<FaultyCall> call{FaultyCall::kNone};
  std::atomic<std::int32_t> error{0};
  std::atomic<std::uint64_t> nth{1}, times{1};
  std::atomic<std::uint64_t> matching_calls{0};   // matching calls since the plan was set
  std::atomic<std::uint64_t> injected_faults{0};  // of these, how many had a fault injected
};

constexpr const char* kCallPlanVariable = "THYMEWOOD_CALL_PLAN";  // path of the file that holds the plan

}  // namespace thymewood::fleet
