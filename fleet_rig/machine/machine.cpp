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

std::string text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Between fork and exec: only what is safe in a signal handler, for other threads may have had locks.
[[noreturn]] void become(const char* program, const char* log, char* const* environment, pid_t parent,
                         std::uint64_t descriptors) {
  ::setpgid(0, 0);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(127);  // it died before the line above
  ::signal(SIGXFSZ, SIG_IGN);               // stays ignored over exec: a full disk is an error, not an end
  const int file = ::open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int nothing = ::open("/dev/null", O_RDONLY);
  ::dup2(nothing, STDIN_FILENO);
  ::dup2(file, STDOUT_FILENO);
  ::dup2(file, STDERR_FILENO);
  // What the parent holds is not the child's: a listening socket that lived on here would take connections
  // in.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  if (descriptors > 0) {
    const rlimit limit{descriptors, descriptors};
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  char* const arguments[] = {const_cast<char*>(program), nullptr};
  ::execve(program, arguments, environment);
  ::_exit(127);
}

}  // namespace

FaultsFile::FaultsFile(std::string path) : path_(std::move(path)) {
  const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  void* at = MAP_FAILED;
  if (fd >= 0 && ::ftruncate(fd, sizeof(FaultPlan)) == 0)
    at = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  if (fd >= 0) ::close(fd);
  if (at == MAP_FAILED) throw std::runtime_error(path_ + ": no plan of faults can be kept there");
  plan_ = new (at) FaultPlan;
  path_ = fs::absolute(path_);
}

FaultsFile::~FaultsFile() {
  ::munmap(plan_, sizeof(FaultPlan));
  std::error_code ignored;
  fs::remove(path_, ignored);
}

std::vector<std::string> FaultsFile::environment(const std::string& shim) const {
  // The last is for programs that are built with the address sanitizer: it wants to be first.
  return {std::string("LD_PRELOAD=") + shim, std::string(kFaultsVariable) + "=" + path_,
          "ASAN_OPTIONS=verify_asan_link_order=0"};
}

Machine::Machine(Options options) : options_(std::move(options)) {
  fs::create_directories(options_.folder);
  options_.folder = fs::absolute(options_.folder);
  options_.program = fs::absolute(options_.program);
  if (options_.shim.empty()) return;
  faults_ = std::make_unique<FaultsFile>(options_.folder + ".faults");  // beside the disk, which may be wiped
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
  if (pid_ < 0) throw std::runtime_error("cannot start a process");
  if (pid_ == 0)
    become(options_.program.c_str(), log.c_str(), environment.data(), parent, options_.descriptors);
  ::setpgid(pid_, pid_);  // by whichever of the two comes first
  paused_ = killing_ = false;
  ++starts_;
}

void Machine::kill() {
  if (pid_ <= 0) return;
  killing_ = true;
  ::kill(-pid_, SIGKILL);
  ::kill(pid_, SIGKILL);
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  reap(status);
}

void Machine::terminate() { signal(SIGTERM); }

void Machine::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

void Machine::pause() {
  if (!running() || paused_) return;
  // A process that waits in vfork(2) for a child that is stopped before its exec never stops itself.
  // So the group is let go on for a moment, and stopped again.
  constexpr int kLooks = 100;
  for (;;) {
    ::kill(-pid_, SIGSTOP);
    for (int look = 0; look < kLooks; ++look) {
      int status = 0;
      const pid_t seen = ::waitpid(pid_, &status, WUNTRACED | WNOHANG);
      if (seen == pid_ && !WIFSTOPPED(status)) return reap(status);  // it ended first
      paused_ = seen == pid_;
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

void Machine::limit_descriptors(std::uint64_t most) const {
  if (pid_ <= 0) return;
  rlimit limit{};
  ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
  limit.rlim_cur = most > 0 ? std::min<rlim_t>(most, limit.rlim_max) : limit.rlim_max;
  ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

void Machine::fill_disk(std::uint64_t bytes) const {
  if (pid_ <= 0) return;
  const rlimit limit{bytes, RLIM_INFINITY};
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

void Machine::clear_disk() const {
  if (pid_ <= 0) return;
  const rlimit limit{RLIM_INFINITY, RLIM_INFINITY};
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

bool Machine::running() {
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) reap(status);
  return pid_ > 0;
}

void Machine::reap(int status) {
  status_ = status;
  pid_ = -1;
  paused_ = false;
  const bool well = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  if (!killing_ && !well) crashed_ = true;
}

Machine::Usage Machine::usage() const {
  Usage out;
  if (pid_ <= 0) return out;
  const std::string folder = "/proc/" + std::to_string(pid_);
  const std::string stat = text_of(folder + "/stat");
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) return out;
  std::istringstream fields(stat.substr(name_end + 2));
  std::vector<std::string> all{std::istream_iterator<std::string>(fields), {}};
  constexpr std::size_t kUser = 11, kSystem = 12, kThreads = 17, kResident = 21;  // after the name
  if (all.size() <= kResident) return out;
  out.cpu_s = static_cast<double>(std::stoull(all[kUser]) + std::stoull(all[kSystem])) /
              static_cast<double>(::sysconf(_SC_CLK_TCK));
  out.threads = std::stoi(all[kThreads]);
  constexpr std::uint64_t kKilo = 1024;
  out.memory_kb = std::stoull(all[kResident]) * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / kKilo;
  std::error_code bad;
  for (auto at = fs::directory_iterator(folder + "/fd", bad); !bad && at != fs::directory_iterator();
       at.increment(bad))
    ++out.descriptors;
  return out;
}

std::string Machine::log() const { return text_of(options_.folder + "/log"); }

}  // namespace thymewood::fleet
