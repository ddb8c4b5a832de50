// Runs a program as a simulated machine: a child process in its own process group, with a folder that serves
// as its disk, and machine faults that can be injected. No call waits for a fixed time; a fault is in effect
// when the call that injects it returns.
//
// The child is killed when its parent ends, even if the parent is killed itself (prctl(2), PR_SET_PDEATHSIG).
// The kernel ties that signal to the thread that forked, so start() has to be called from a thread that
// lives as long as the machines should.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fault_plan.h"

namespace thymewood::fleet {

// A FaultPlan in a file that the shim in the child process maps too. The destructor removes the file.
class FaultPlanFile {
 public:
  // Throws std::runtime_error if the file cannot be created or mapped.
  explicit FaultPlanFile(std::string path);
  ~FaultPlanFile();
  FaultPlanFile(const FaultPlanFile&) = delete;
  FaultPlanFile& operator=(const FaultPlanFile&) = delete;

  FaultPlan& plan() const { return *plan_; }
  // Environment variables that make a process preload the library `shim` and read this plan.
  std::vector<std::string> environment(const std::string& shim) const;

 private:
  std::string path_;
  FaultPlan* plan_ = nullptr;
};

class Machine {
 public:
  struct Options {
    std::string program;
    std::string folder;                    // created if missing; holds `log` and the files of the program
    std::vector<std::string> environment;  // "NAME=value"; besides these only TMPDIR=folder is set
    std::uint64_t max_descriptors = 0;     // RLIMIT_NOFILE at the start; 0: inherited
    std::string shim;                      // library to preload, see fleet_rig/shim; empty: none
  };
  // Resource usage from proc(5); all zero if no process runs.
  struct Usage {
    double cpu_s = 0;
    std::uint64_t memory_kb = 0;  // resident
    int descriptors = 0;
    int threads = 0;
  };

  explicit Machine(Options options);
  ~Machine();  // kills the process and waits for it
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Starts the program in a new process; one that still runs is killed first. With `wipe` the folder is
  // emptied before, as after the loss of a disk; otherwise the log is appended to. Throws std::runtime_error
  // if fork(2) fails.
  void start(bool wipe = false);
  void kill();       // SIGKILL; the process has ended when this returns
  void terminate();  // SIGTERM; does not wait for the process to end
  void signal(int number) const;

  // When this returns, all threads of the process are stopped; its sockets stay open, including listening
  // ones. resume() sends SIGCONT without waiting for the process to run.
  void pause();
  void resume();

  // Sets the soft limit of RLIMIT_NOFILE; open descriptors stay open. 0: the hard limit, as at the start.
  void limit_descriptors(std::uint64_t max_descriptors) const;
  // Simulates a full disk: writes beyond the first `bytes` of any file fail with EFBIG (SIGXFSZ is ignored).
  // Sockets and pipes are not affected.
  void fill_disk(std::uint64_t bytes = 0) const;
  void free_disk_space() const;

  // The faults of its file calls and its wall clock; null without a shim.
  FaultPlan* faults() const { return faults_ ? &faults_->plan() : nullptr; }

  // Whether its process exists; if that has ended, reaps it and keeps its status.
  bool running();
  bool paused() const { return paused_; }
  // The wait status, as from waitpid(2), of the last process that was reaped; -1: none yet.
  int status() const { return status_; }
  // Whether any process ended by a signal or a status other than 0, except by kill().
  bool crashed() const { return crashed_; }
  int start_count() const { return start_count_; }
  Usage usage() const;
  std::string log() const;
  const std::string& folder() const { return options_.folder; }
  pid_t pid() const { return pid_; }

 private:
  void record_exit(int status);

  Options options_;
  std::unique_ptr<FaultPlanFile> faults_;
  pid_t pid_ = -1;
  int status_ = -1, start_count_ = 0;
  bool paused_ = false, crashed_ = false, kill_requested_ = false;
};

}  // namespace thymewood::fleet
