// A program as a machine of its own: a child process in its own process group, with a folder that is its
// disk, and the faults that a machine has. Nothing here waits for a stated time; a fault is in force when its
// call returns.
//
// The child ends with its parent (prctl(2), PR_SET_PDEATHSIG), also when that is killed: start() is called
// from the thread that lives as long as the machines are to live, for the kernel ties the signal to that
// thread.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fault_plan.h"

namespace thymewood::fleet {

// A plan of faults in a file that the shim of a process maps too. The file is removed with the object.
class FaultsFile {
 public:
  // Throws std::runtime_error when it can't be made.
  explicit FaultsFile(std::string path);
  ~FaultsFile();
  FaultsFile(const FaultsFile&) = delete;
  FaultsFile& operator=(const FaultsFile&) = delete;

  FaultPlan& plan() const { return *plan_; }
  // What a process has to be started with, for the shim at that path.
  std::vector<std::string> environment(const std::string& shim) const;

 private:
  std::string path_;
  FaultPlan* plan_ = nullptr;
};

class Machine {
 public:
  struct Options {
    std::string program;
    std::string folder;  // made where it is missing; holds `log` and what the program writes
    std::vector<std::string> environment;  // "NAME=value"; nothing else is handed down but TMPDIR, the folder
    std::uint64_t descriptors = 0;         // RLIMIT_NOFILE from the start; 0: as here
    std::string shim;                      // preloaded, see fleet_rig/shim; empty: none
  };
  // What proc(5) says of it; zeros where there is none.
  struct Usage {
    double cpu_s = 0;
    std::uint64_t memory_kb = 0;  // resident
    int descriptors = 0;
    int threads = 0;
  };

  explicit Machine(Options options);
  ~Machine();  // killed, and waited for
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Starts the program, again from nothing if it has run before; with `wipe` its folder is emptied first, as
  // after the loss of a disk. The log goes on at its end. Throws std::runtime_error where no process can be
  // made.
  void start(bool wipe = false);
  void kill();       // SIGKILL; the process has ended when this returns
  void terminate();  // SIGTERM; goes in its own time
  void signal(int number) const;

  // Stopped, with all its threads, when this returns; it holds its sockets, those that listen too. resume()
  // only sends the signal.
  void pause();
  void resume();

  // So many descriptors from now on; open ones stay. 0: as at the start.
  void limit_descriptors(std::uint64_t most) const;
  // Writes to files fail with EFBIG as on a full disk (SIGXFSZ is ignored), beyond `bytes` of each file.
  // Sockets and pipes are not files.
  void fill_disk(std::uint64_t bytes = 0) const;
  void clear_disk() const;

  // What its files and its time of day suffer from; null without a shim.
  FaultPlan* faults() const { return faults_ ? &faults_->plan() : nullptr; }

  // Whether its process is there; takes in how it ended where it has.
  bool running();
  bool paused() const { return paused_; }
  // Of the last process that ended: as waitpid(2) has it; -1 while none has.
  int status() const { return status_; }
  // It ended otherwise than by our kill() and with another code than 0.
  bool crashed() const { return crashed_; }
  int starts() const { return starts_; }
  Usage usage() const;
  std::string log() const;
  const std::string& folder() const { return options_.folder; }
  pid_t pid() const { return pid_; }

 private:
  void reap(int status);

  Options options_;
  std::unique_ptr<FaultsFile> faults_;
  pid_t pid_ = -1;
  int status_ = -1, starts_ = 0;
  bool paused_ = false, crashed_ = false, killing_ = false;
};

}  // namespace thymewood::fleet
