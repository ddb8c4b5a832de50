#include "machine.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <new>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace thymewood::fleet {
namespace {

namespace fs = std::filesystem;

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Runs in the child after fork: only async-signal-safe calls, since other threads may have held locks.
[[noreturn]] void exec_program(const char* program, const char* log, char* const* environment, pid_t parent,
                               std::uint64_t descriptors) {
  ::setpgid(0, 0);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);  // the parent ended before the prctl call
  ::signal(SIGXFSZ, SIG_IGN);  // stays ignored across exec: a full disk is a write error and does not kill
  const int log_fd = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int dev_null = ::open("/dev/null", O_RDONLY);
  ::dup2(dev_null, STDIN_FILENO);
  ::dup2(log_fd, STDOUT_FILENO);
  ::dup2(log_fd, STDERR_FILENO);
  // Closes what is inherited from the parent: a listening socket that stayed open here would go on taking
  // connections.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  if (descriptors > 0) {
    const rlimit limit{descriptors, descriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  sigset_t no_signals;
  ::sigemptyset(&no_signals);
  ::sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  char* const arguments[] = {const_cast<char*>(program), nullptr};
  ::execve(program, arguments, environment);
  ::_exit(127);
}

}  // namespace

FaultPlanFile::FaultPlanFile(std::string path) : path_(std::move(path)) {
  const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  void* mapping = MAP_FAILED;
  if (fd >= 0 && ::ftruncate(fd, sizeof(FaultPlan)) == 0)
    mapping = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (fd >= 0) ::close(fd);
  if (mapping == MAP_FAILED) throw std::runtime_error(path_ + ": cannot create a fault plan file");
  plan_ = new (mapping) FaultPlan;
  path_ = fs::absolute(path_);
}

FaultPlanFile::~FaultPlanFile() {
  ::munmap(plan_, sizeof(FaultPlan));
  std::error_code ignored;
  fs::remove(path_, ignored);
}

std::vector<std::string> FaultPlanFile::environment(const std::string& shim) const {
  // ASAN_OPTIONS is for programs built with the address sanitizer, which checks that it is loaded first.
  return {std::string("LD_PRELOAD=") + shim, std::string(kFaultsVariable) + "=" + path_,
          "ASAN_OPTIONS=verify_asan_link_order=0"};
}

Machine::Machine(Options options) : options_(std::move(options)) {
  fs::create_directories(options_.folder);
  options_.folder = fs::absolute(options_.folder);
  options_.program = fs::absolute(options_.program);
  if (options_.shim.empty()) return;
  // Outside the folder, which start(true) empties.
  faults_ = std::make_unique<FaultPlanFile>(options_.folder + ".faults");
  for (std::string& variable : faults_->environment(fs::absolute(options_.shim)))
    options_.environment.push_back(std::move(variable));
}

Machine::~Machine() { kill(); }

void Machine::start(bool wipe) {
  kill();
  if (wipe) {
    for (const auto& entry : fs::directory_iterator(options_.folder)) fs::remove_all(entry.path());
  }
  std::vector<std::string> variables = options_.environment;
  variables.push_back("TMPDIR=" + options_.folder);
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (std::string& variable : variables) environment.push_back(variable.data());
  environment.push_back(nullptr);
  const std::string log = options_.folder + "/log";
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork a child process");
  if (pid_ == 0)
    exec_program(options_.program.c_str(), log.c_str(), environment.data(), parent, options_.max_descriptors);
  ::setpgid(pid_, pid_);  // the child does the same: in effect whichever of them runs first
  paused_ = kill_requested_ = false;
  ++start_count_;
}

void Machine::kill() {
  if (pid_ <= 0) return;
  kill_requested_ = true;
  ::kill(-pid_, SIGKILL);
  ::kill(pid_, SIGKILL);
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  record_exit(status);
}

void Machine::terminate() { signal(SIGTERM); }

void Machine::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void Machine::pause() {
  if (!running() || paused_) return;
  // A process that waits in vfork(2) for a child that was stopped before its exec never stops itself. So the
  // group is resumed for a moment and stopped again.
  constexpr int kMaxPolls = 100;
  for (;;) {
    ::kill(-pid_, SIGSTOP);
    for (int poll = 0; poll < kMaxPolls; ++poll) {
      int status = 0;
      const pid_t waited = ::waitpid(pid_, &status, WUNTRACED | WNOHANG);
      if (waited == pid_ && !WIFSTOPPED(status)) return record_exit(status);  // it ended before it stopped
      paused_ = waited == pid_;
      if (paused_) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    ::kill(-pid_, SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Machine::resume() {
  if (pid_ <= 0 || !std::exchange(paused_, false)) return;
  ::kill(-pid_, SIGCONT);
}

void Machine::limit_descriptors(std::uint64_t max_descriptors) const {
  if (pid_ <= 0) return;
  rlimit limit{};
  ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
  limit.rlim_cur = max_descriptors > 0 ? std::min<rlim_t>(max_descriptors, limit.rlim_max) : limit.rlim_max;
  ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

void Machine::fill_disk(std::uint64_t bytes) const {
  if (pid_ <= 0) return;
  const rlimit limit{bytes, RLIM_INFINITY};
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void Machine::free_disk_space() const {
  if (pid_ <= 0) return;
  const rlimit limit{RLIM_INFINITY, RLIM_INFINITY};
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

bool Machine::running() {
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) record_exit(status);
  return pid_ > 0;
}

void Machine::record_exit(int status) {
  status_ = status;
  pid_ = -1;
  paused_ = false;
  const bool exited_cleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!kill_requested_ && !exited_cleanly) crashed_ = true;
}

Machine::Usage Machine::usage() const {
  Usage out;
  if (pid_ <= 0) return out;
  const std::string folder = "/proc/" + std::to_string(pid_);
  const std::string stat = read_file(folder + "/stat");
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return out;
  std::istringstream fields(stat.substr(name_end + 2));
  std::vector<std::string> values{std::istream_iterator<std::string>(fields), {}};
  // Positions after the name, see proc(5).
  constexpr std::size_t kUser = 11, kSystem = 12, kThreads = 17, kResident = 21;
  if (values.size() <= kResident) return out;
  out.cpu_s = static_cast<double>(std::stoull(values[kUser]) + std::stoull(values[kSystem])) /
              static_cast<double>(::sysconf(_SC_CLK_TCK));
  out.threads = std::stoi(values[kThreads]);
  constexpr std::uint64_t kBytesPerKb = 1024;
  out.memory_kb =
      std::stoull(values[kResident]) * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / kBytesPerKb;
  std::error_code error;
  for (auto entry = fs::directory_iterator(folder + "/fd", error);
       !error && entry != fs::directory_iterator(); entry.increment(error))
    ++out.descriptors;
  return out;
}

std::string Machine::log() const { return read_file(options_.folder + "/log"); }

}  // namespace thymewood::fleet
