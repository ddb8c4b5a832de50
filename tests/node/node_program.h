// Runs the node's program as a child process.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include "test_socket.h"

namespace thymewood::node {

// Makes getsockopt(TCP_INFO) fail with ENOPROTOOPT in this process and its children. The seccomp(2) filter
// loads the low 32 bits of the arguments, which come first on a little-endian machine.
inline void disable_tcp_info() {
  constexpr auto kLowWordOffset = [](int argument) {
    return static_cast<std::uint32_t>(offsetof(seccomp_data, args) + 8U * static_cast<unsigned>(argument));
  };
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_getsockopt, 0, 5),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kLowWordOffset(1)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, IPPROTO_TCP, 0, 3),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, kLowWordOffset(2)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_INFO, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | ENOPROTOOPT),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
  };
  const sock_fprog filter{static_cast<unsigned short>(std::size(program)), program};
  if (::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 ||
      ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter) != 0)
    ::_exit(126);
}

// The node's process, with its configuration and log in temporary files.
class NodeProcess {
 public:
  // `max_descriptors`: the limit of open descriptors; 0 leaves it as it is. `operators`: the text of the
  // operators' file; if empty, there is none. `before_exec` runs in the child process before the exec.
  explicit NodeProcess(const std::string& config, rlim_t max_descriptors = 0, bool wait_for_start = true,
                       const std::string& operators = "", void (*before_exec)() = nullptr) {
    static std::atomic<int> count = 0;
    path_prefix_ = testing::TempDir() + "/node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::ofstream(path_prefix_ + ".json") << config;
    const std::string config_path = path_prefix_ + ".json", log_path = path_prefix_ + ".log",
                      operators_path = path_prefix_ + ".toml";
    if (!operators.empty()) std::ofstream(operators_path) << operators;
    pid_ = ::fork();
    if (pid_ == 0) {
      const int log_fd = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(log_fd, 1);
      ::dup2(log_fd, 2);
      ::setenv("RELAY_CONFIG", config_path.c_str(), 1);
      if (!operators.empty()) ::setenv("THYMEWOOD_OPERATORS", operators_path.c_str(), 1);
      if (max_descriptors > 0) {
        const rlimit limit{max_descriptors, max_descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      if (before_exec != nullptr) before_exec();
      ::execl(NODE_PROGRAM, NODE_PROGRAM, nullptr);
      ::_exit(127);
    }
    if (wait_for_start) {
      EXPECT_TRUE(eventually([this] { return port() != 0; })) << this->log();
    }
  }
  ~NodeProcess() {
    if (pid_ > 0) {
      ::kill(pid_, SIGTERM);
      EXPECT_EQ(exit_status(), 0) << log();  // an error that a sanitizer finds also makes it non-zero
    }
    if (testing::Test::HasFailure()) std::fputs(log().c_str(), stderr);
    std::remove((path_prefix_ + ".json").c_str());
    std::remove((path_prefix_ + ".log").c_str());
    std::remove((path_prefix_ + ".toml").c_str());
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  int port() {
    if (port_ == 0) {
      const std::string text = log();
      constexpr std::string_view kListenAddressKey = " address=127.0.0.1:";
      const std::size_t pos = text.find(kListenAddressKey);
      if (pos != std::string::npos && text.find('\n', pos) != std::string::npos) {
        port_ = std::stoi(text.substr(pos + kListenAddressKey.size()));
      }
    }
    return port_;
  }
  std::string log() const {
    std::ifstream in(path_prefix_ + ".log");
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
  }
  void signal(int number) const { ::kill(pid_, number); }
  // Kills the process with SIGKILL, without a graceful shutdown.
  void kill() {
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), &status_, 0);
  }
  pid_t pid() const { return pid_; }
  // Returns the lowest unused descriptor number of the process. It has to be looked up, because the number of
  // inherited descriptors differs between machines.
  rlim_t next_descriptor() const {
    rlim_t descriptor = 0;
    struct stat file_status {};
    const std::string fd_directory = "/proc/" + std::to_string(pid_) + "/fd/";
    while (::lstat((fd_directory + std::to_string(descriptor)).c_str(), &file_status) == 0) ++descriptor;
    return descriptor;
  }
  // Sets the soft limit of open descriptors of the running process; open descriptors stay open.
  void limit_descriptors(rlim_t max_descriptors) const {
    rlimit limit{};
    ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
    limit.rlim_cur = max_descriptors;
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
  }
  // Returns the process state as in proc(5): R running, S sleeping, T stopped; '\0' if the process has ended.
  char state() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    const std::size_t name_end = text.rfind(')');
    return name_end == std::string::npos ? '\0' : text[name_end + 2];
  }
  void reload(const std::string& config) const {
    // Written to a new file and renamed, so that the old file is replaced atomically, as by a deployment.
    std::ofstream(path_prefix_ + ".new") << config;
    std::rename((path_prefix_ + ".new").c_str(), (path_prefix_ + ".json").c_str());
    signal(SIGHUP);
  }
  void remove_config() const { std::remove((path_prefix_ + ".json").c_str()); }
  // Makes further writes to the log fail, as on a full disk, by a file size limit of 0. The node ignores
  // SIGXFSZ.
  void fill_log() const {
    rlimit limit{};
    ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = 0;
    ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
  }
  // Counts the occurrences of a text in the log.
  int count_in_log(const std::string& text) const {
    const std::string all = log();
    int count = 0;
    for (std::size_t pos = all.find(text); pos != std::string::npos; pos = all.find(text, pos + 1)) ++count;
    return count;
  }
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  // Waits for the process to end and returns its exit status, or -1 if a signal ended it, also the SIGKILL
  // that is sent after kMaxWait.
  int exit_status() {
    if (!eventually([this] { return !running(); })) {
      ::kill(pid_, SIGKILL);
      ::waitpid(std::exchange(pid_, -1), &status_, 0);
    }
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }

 private:
  std::string path_prefix_;
  pid_t pid_ = -1;
  int port_ = 0, status_ = 0;
};

}  // namespace thymewood::node
