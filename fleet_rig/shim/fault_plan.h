// What the shim does to the calls of a process, in memory that the rig and the process share: the rig writes
// it at any time, and it is in force with the process's next call. Files only: sockets, pipes and terminals
// are left alone.
#pragma once

#include <atomic>
#include <cstdint>

namespace thymewood::fleet {

// All zero: no fault. `every`: 0 and 1 stand for each call, n for each n-th.
struct FaultPlan {
  std::atomic<std::int32_t> write_errno{0};  // write, pwrite and writev fail with it
  std::atomic<std::uint32_t> write_every{0};
  std::atomic<std::uint32_t> shorten_every{0};  // 0: never; takes half of what it is given, and says so
  std::atomic<std::uint32_t> tear_every{0};     // 0: never; takes half, and says that it took all
  std::atomic<std::int32_t> sync_errno{0};      // fsync and fdatasync fail with it
  std::atomic<std::uint32_t> sync_lies{0};      // 1: they do nothing, and say that all is well
  std::atomic<std::int32_t> rename_errno{0};
  std::atomic<std::uint32_t> delay_us{0};       // each of these calls takes so much longer
  std::atomic<std::int64_t> clock_shift_ns{0};  // added to CLOCK_REALTIME; the monotonic clocks stay
  std::atomic<std::uint64_t> writes{0}, syncs{0}, renames{0};  // calls that the process has made
};

constexpr const char* kFaultsVariable = "FLEET_FAULTS";  // names the file that holds the plan

}  // namespace thymewood::fleet
