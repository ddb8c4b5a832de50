// Fault injection plan of the shim for the file and clock calls of a process, in memory that the rig and the
// process share. The rig may write it at any time; it applies from the process's next call on. Write and sync
// faults affect regular files only, not sockets, pipes or terminals.
#pragma once

#include <atomic>
#include <cstdint>

namespace thymewood::fleet {

// All zero: no fault. `write_every`: 0 and 1 mean every call, n every n-th.
struct FaultPlan {
  std::atomic<std::int32_t> write_errno{0};  // error of write, pwrite and writev
  std::atomic<std::uint32_t> write_every{0};
  std::atomic<std::uint32_t> shorten_every{0};  // 0: never; writes half and reports a short write
  std::atomic<std::uint32_t> tear_every{0};     // 0: never; writes half and reports all as written
  std::atomic<std::int32_t> sync_errno{0};      // error of fsync and fdatasync
  std::atomic<std::uint32_t> skip_sync{0};      // 1: fsync and fdatasync do nothing and report success
  std::atomic<std::int32_t> rename_errno{0};
  std::atomic<std::uint32_t> delay_us{0};       // added to the duration of each of these calls
  std::atomic<std::int64_t> clock_shift_ns{0};  // added to CLOCK_REALTIME; monotonic clocks are unaffected
  std::atomic<std::uint64_t> writes{0}, syncs{0}, renames{0};  // counts of the process's calls
};

constexpr const char* kFaultsVariable = "FLEET_FAULTS";  // path of the file that holds the plan

}  // namespace thymewood::fleet
