// A real node as a child process, with what it talks to played on loopback sockets: servers, discovery and
// clients. Nothing here waits for a stated time to pass; it waits for what is to happen, with a generous
// limit.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace thymewood::node {

using namespace std::chrono_literals;
constexpr auto kPatience = 20s;  // a machine may be slow; a test that fails may take its time

template <typename Condition>
bool eventually(Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

// A descriptor that is closed with its owner.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() { reset(); }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// Small segments and a small buffer, so that whoever sends to this socket, or to what it accepts, is stopped
// after some tens of KiB. On loopback a sender's buffer is megabytes otherwise: it grows with the segments.
inline void narrow(int socket) {
  const int segment = 88, buffer = 1;  // the least that there is
  ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
}

// A server whose queue of connections is full: a dial to it stays out until accept() makes room.
class FullListener {
 public:
  // `tight`: what it accepts takes in little before it is read from.
  explicit FullListener(bool tight = false) : listen_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (tight) narrow(listen_.get());
    sockaddr_in where = loopback(0);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen_.get(), 0), 0);
    socklen_t size = sizeof where;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Takes the one place in the queue.
  void fill() {
    filler_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in where = loopback(port_);
    ASSERT_EQ(::connect(filler_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where), 0);
  }
  // The next connection that is not the filler's.
  Fd accept() {
    for (;;) {
      pollfd wait{listen_.get(), POLLIN, 0};
      if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kPatience).count())) <= 0) return Fd();
      sockaddr_in from{}, own{};
      socklen_t size = sizeof from;
      Fd fd(::accept4(listen_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC));
      if (filler_.get() < 0) return fd;
      ::getsockname(filler_.get(), reinterpret_cast<sockaddr*>(&own), &size);
      if (from.sin_port != own.sin_port) return fd;
    }
  }
  // How many dials to it are under way, as the system tells.
  int dials() const {
    std::ifstream table("/proc/net/tcp");
    std::ostringstream to;
    to << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port_ << " 02 ";
    int out = 0;
    for (std::string line; std::getline(table, line);) out += line.find(to.str()) != std::string::npos;
    return out;
  }

 private:
  Fd listen_, filler_;
  int port_ = 0;
};

// One message's bytes at a time, either way.
class Wire {
 public:
  Wire() = default;
  explicit Wire(Fd fd) : fd_(std::move(fd)) {}
  // `tight`: it takes in little before it is read from.
  static Wire to(int port, bool tight = false) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (tight) narrow(fd.get());
    const sockaddr_in where = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) fd.reset();
    return Wire(std::move(fd));
  }
  bool is_open() const { return fd_.get() >= 0; }
  void close() { fd_.reset(); }
  // The peer gets a reset, not an end.
  void reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.reset();
  }
  int fd() const { return fd_.get(); }
  // Something has come, and is left there.
  bool has_come() const {
    pollfd wait{fd_.get(), POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kPatience).count())) > 0;
  }
  // Says that nothing more will be sent; what comes can still be read.
  void end_sending() const { ::shutdown(fd_.get(), SHUT_WR); }
  // Sends until the peer takes no more, or `most` bytes are out; returns how many.
  std::size_t flood(const std::string& text, std::size_t most) const {
    std::size_t sent = 0;
    for (auto since = std::chrono::steady_clock::now(); sent < most;) {
      const std::size_t at = sent % text.size();
      const ssize_t n = ::send(fd_.get(), text.data() + at, text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
        since = std::chrono::steady_clock::now();
      } else if (errno != EAGAIN || std::chrono::steady_clock::now() - since > 200ms) {
        break;
      }
    }
    return sent;
  }

  bool write(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t n = ::send(fd_.get(), text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // One whole message with a Content-Length (none: no body); empty at the end of the connection.
  std::string read_message() {
    for (;;) {
      const std::size_t head = got_.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t whole = head + 4 + length_in(got_.substr(0, head + 2));
        if (got_.size() >= whole) {
          std::string out = got_.substr(0, whole);
          got_.erase(0, whole);
          return out;
        }
      }
      if (!more()) return {};
    }
  }
  // All up to the end of the connection.
  std::string read_rest() {
    while (more()) {
    }
    return std::exchange(got_, {});
  }
  bool more() {
    pollfd wait{fd_.get(), POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kPatience).count())) <= 0) return false;
    char piece[4096];
    const ssize_t n = ::recv(fd_.get(), piece, sizeof piece, 0);
    if (n <= 0) return false;
    got_.append(piece, static_cast<std::size_t>(n));
    return true;
  }

 private:
  static std::size_t length_in(const std::string& head) {
    std::string low;
    for (const char c : head) low += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t at = low.find("\r\ncontent-length:");
    return at == std::string::npos ? 0 : std::stoul(low.substr(at + 17));
  }
  Fd fd_;
  std::string got_;
};

inline int status_of(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

inline std::string field_of(const std::string& message, const std::string& name) {
  const std::size_t at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return message.substr(from, message.find("\r\n", from) - from);
}

inline std::string body_of(const std::string& message) {
  const std::size_t at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

// Listens, and runs `serve` for each connection on a thread of its own.
class Listener {
 public:
  explicit Listener(std::function<void(Wire&)> serve, int port = 0) : serve_(std::move(serve)) {
    listen_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listen_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = loopback(port);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen_.get(), 128), 0);
    socklen_t size = sizeof where;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    thread_ = std::thread([this] { run(); });
  }
  ~Listener() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    stopping_ = true;
    thread_.join();
    listen_.reset();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& t : serving_) t.join();
    serving_.clear();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int accepted() const { return accepted_; }
  int open() {
    const std::lock_guard lock(mutex_);
    return static_cast<int>(open_.size());
  }

 private:
  void run() {
    while (!stopping_) {
      pollfd wait{listen_.get(), POLLIN, 0};
      if (::poll(&wait, 1, 5) <= 0) continue;
      Fd fd(::accept4(listen_.get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (fd.get() < 0) continue;
      ++accepted_;
      const auto wire = std::make_shared<Wire>(std::move(fd));
      const int number = wire->fd();
      {
        const std::lock_guard lock(mutex_);
        open_.push_back(number);
      }
      serving_.emplace_back([this, wire, number] {
        serve_(*wire);
        const std::lock_guard lock(mutex_);
        std::erase(open_, number);
        wire->close();
      });
    }
  }
  std::function<void(Wire&)> serve_;
  Fd listen_;
  int port_ = 0;
  std::atomic<int> accepted_ = 0;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

// A server: answers each request by what `reply` does on its wire; returning false ends the connection.
class FakeServer {
 public:
  using Reply = std::function<bool(Wire&, const std::string& request)>;
  explicit FakeServer(Reply reply, int port = 0)
      : reply_(std::move(reply)),
        listener_(
            [this](Wire& wire) {
              for (std::string request = wire.read_message(); !request.empty();
                   request = wire.read_message()) {
                {
                  const std::lock_guard lock(mutex_);
                  requests_.push_back(request);
                }
                if (!reply_(wire, request)) return;
              }
              ++ended_;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  std::vector<std::string> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  int ended() const { return ended_; }  // connections that the node closed

 private:
  Reply reply_;
  std::mutex mutex_;
  std::vector<std::string> requests_;
  std::atomic<int> ended_ = 0;
  Listener listener_;
};

inline std::string http_answer(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n" + fields + "\r\n" + body;
}

inline FakeServer::Reply replies(int status, const std::string& body, const std::string& fields = "") {
  return [=](Wire& wire, const std::string&) { return wire.write(http_answer(status, body, fields)); };
}

// Holds each answer until open() is called.
class Gate {
 public:
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  bool wait() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kPatience, [this] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

inline std::string member(const std::string& name, const std::string& address,
                          const std::string& status = "up", int group = 0) {
  return R"({"name":")" + name + R"(","address":")" + address + R"(","zone":"a","group":)" +
         std::to_string(group) + R"(,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
}

inline std::string list(int index, bool full, const std::string& members) {
  return R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (full ? "true" : "false") +
         R"(,"endpoints":[)" + members + "]}";
}

inline std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

// The watch: each call is answered by a head and `first`, if there is one; more is pushed by say().
class FakeDiscovery {
 public:
  explicit FakeDiscovery(int port = 0)
      : listener_(
            [this](Wire& wire) {
              const std::string call = wire.read_message();
              if (call.empty()) return;
              std::string first;
              {
                const std::lock_guard lock(mutex_);
                calls_.push_back(call);
                first = answer_;
                if (first.empty())
                  first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n");
                current_ = &wire;
              }
              wire.write(first);
              wire.read_rest();
              const std::lock_guard lock(mutex_);
              if (current_ == &wire) current_ = nullptr;
            },
            port) {}
  std::string address() const { return listener_.address(); }
  Listener& listener() { return listener_; }
  // What the calls from now on are answered, head and all.
  void answer_with(const std::string& bytes) {
    const std::lock_guard lock(mutex_);
    answer_ = bytes;
  }
  bool say_raw(const std::string& bytes) {
    return eventually([&] {
      const std::lock_guard lock(mutex_);
      return current_ != nullptr && current_->write(bytes);
    });
  }
  bool say(const std::string& line) { return say_raw(chunk(line + "\n")); }
  void hang_up() {
    const std::lock_guard lock(mutex_);
    if (current_ != nullptr) ::shutdown(current_->fd(), SHUT_RDWR);
  }
  std::vector<std::string> calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  std::mutex mutex_;
  std::string answer_;
  std::vector<std::string> calls_;
  Wire* current_ = nullptr;
  Listener listener_;
};

// From now on, and in what this process starts, the kernel does not tell of a connection's state: TCP_INFO is
// refused as an option that it does not know. (seccomp(2); the arguments' low halves lie first here.)
inline void refuse_tcp_info() {
  constexpr auto low = [](int argument) {
    return static_cast<std::uint32_t>(offsetof(seccomp_data, args) + 8U * static_cast<unsigned>(argument));
  };
  sock_filter program[] = {
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_getsockopt, 0, 5),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, low(1)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, IPPROTO_TCP, 0, 3),
      BPF_STMT(BPF_LD | BPF_W | BPF_ABS, low(2)),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_INFO, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | ENOPROTOOPT),
      BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
  };
  const sock_fprog filter{static_cast<unsigned short>(std::size(program)), program};
  if (::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 ||
      ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter) != 0)
    ::_exit(126);
}

// The program under test.
class Program {
 public:
  // `operators`: the text of the operators' file; empty: none is named. `in_child` runs before the program.
  explicit Program(const std::string& config, rlim_t descriptors = 0, bool wait_for_start = true,
                   const std::string& operators = "", void (*in_child)() = nullptr) {
    static std::atomic<int> count = 0;
    base_ = testing::TempDir() + "/node_" + std::to_string(getpid()) + "_" + std::to_string(++count);
    std::ofstream(base_ + ".json") << config;
    const std::string file = base_ + ".json", log = base_ + ".log", own = base_ + ".toml";
    if (!operators.empty()) std::ofstream(own) << operators;
    pid_ = ::fork();
    if (pid_ == 0) {
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("RELAY_CONFIG", file.c_str(), 1);
      if (!operators.empty()) ::setenv("THYMEWOOD_OPERATORS", own.c_str(), 1);
      if (descriptors > 0) {
        const rlimit limit{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
      }
      if (in_child != nullptr) in_child();
      ::execl(NODE_PROGRAM, NODE_PROGRAM, nullptr);
      ::_exit(127);
    }
    if (wait_for_start) {
      EXPECT_TRUE(eventually([this] { return port() != 0; })) << this->log();
    }
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGTERM);
      EXPECT_EQ(exit_status(), 0) << log();  // also what the sanitizers found
    }
    if (testing::Test::HasFailure()) std::fputs(log().c_str(), stderr);
    std::remove((base_ + ".json").c_str());
    std::remove((base_ + ".log").c_str());
    std::remove((base_ + ".toml").c_str());
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  int port() {
    if (port_ == 0) {
      const std::string text = log();
      constexpr std::string_view kListening = " address=127.0.0.1:";
      const std::size_t at = text.find(kListening);
      if (at != std::string::npos && text.find('\n', at) != std::string::npos) {
        port_ = std::stoi(text.substr(at + kListening.size()));
      }
    }
    return port_;
  }
  std::string log() const {
    std::ifstream in(base_ + ".log");
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
  }
  void signal(int number) const { ::kill(pid_, number); }
  // Ends it outright.
  void kill() {
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), &status_, 0);
  }
  pid_t pid() const { return pid_; }
  // The number that its next descriptor would have. What it inherits is not the same everywhere.
  rlim_t next_descriptor() const {
    rlim_t out = 0;
    struct stat about {};
    const std::string folder = "/proc/" + std::to_string(pid_) + "/fd/";
    while (::lstat((folder + std::to_string(out)).c_str(), &about) == 0) ++out;
    return out;
  }
  // So many descriptors from now on; those that are open stay.
  void limit_descriptors(rlim_t most) const {
    rlimit limit{};
    ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit);
    limit.rlim_cur = most;
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
  }
  // As proc(5) has it: R runs, S sleeps, T is stopped; 0 where it is gone.
  char state() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(in)), {});
    const std::size_t name_end = text.rfind(')');
    return name_end == std::string::npos ? '\0' : text[name_end + 2];
  }
  void reload(const std::string& config) const {
    std::ofstream(base_ + ".new") << config;  // replaced whole, as a deployment does it
    std::rename((base_ + ".new").c_str(), (base_ + ".json").c_str());
    signal(SIGHUP);
  }
  void remove_config() const { std::remove((base_ + ".json").c_str()); }
  // The log can't grow any more, as on a full disk (SIGXFSZ, which comes with it, ends nothing here).
  void fill_log() const {
    rlimit limit{};
    ::prlimit(pid_, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = 0;
    ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
  }
  // How often a text stands in the log.
  int logged(const std::string& text) const {
    const std::string all = log();
    int times = 0;
    for (std::size_t at = all.find(text); at != std::string::npos; at = all.find(text, at + 1)) ++times;
    return times;
  }
  bool running() {
    if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  // -1: it had to be killed, or ended by a signal.
  int exit_status() {
    if (!eventually([this] { return !running(); })) {
      ::kill(pid_, SIGKILL);
      ::waitpid(std::exchange(pid_, -1), &status_, 0);
    }
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
  }

 private:
  std::string base_;
  pid_t pid_ = -1;
  int port_ = 0, status_ = 0;
};

// What a customer asks of a node, as it stands in the settings. None of these is a known deployment's.
struct Customer {
  const char* name;
  const char* categories;
  const char* rules = R"("askWithin":10.0)";
};
inline constexpr const char* kUsualCategories =
    R"({"name":"look","aim":5.0,"giveUp":15.0,"effect":"safe","lateWorth":0.5},)"
    R"({"name":"mark","aim":5.0,"giveUp":15.0,"effect":"keyed","group":"cell","dedupWindow":15.0,"lateWorth":0.5},)"
    R"({"name":"close","aim":5.0,"giveUp":15.0,"effect":"unsafe","lateWorth":0.5})";

struct ConfigText {
  std::string discovery = "127.0.0.1:9", known = "", listen = "127.0.0.1:0", mode = "subscribe";
  std::string seed = "8c1f30d27a5be964";
  int sockets = 256, memory_mb = 192, position = 0, total = 1;
  std::string peers = "";  // further fields of the whole
  std::string categories = kUsualCategories, rules = R"("askWithin":10.0)";
  std::string bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                       R"("secondCopies":true,"dialTimeout":0.5,"idleClose":60.0)";
  std::string text() const {
    return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + discovery + R"(","seed":")" + seed +
           R"(","limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" +
           std::to_string(sockets) + "}," + (known.empty() ? "" : R"("known":)" + known + ",") + peers +
           R"("settings":{"azs":["a"],"peersTotal":)" + std::to_string(total) + R"(,"position":)" +
           std::to_string(position) + R"(,"stage":0,"zone":0,"granularity":0.005,)" + R"("registryMode":")" +
           mode + R"(","bounds":{)" + bounds + R"(},"categories":[)" + categories +
           R"(],"realms":[{"name":"acme","share":1.0}],"rules":{)" + rules + "}}}";
  }
};

// A node with servers in its known list, and a discovery that has nothing to add.
class Deployment {
 public:
  explicit Deployment(const std::vector<FakeServer*>& servers, ConfigText config = {}, rlim_t descriptors = 0,
                      void (*in_child)() = nullptr) {
    std::string members;
    for (std::size_t i = 0; i < servers.size(); ++i) {
      members += (i > 0 ? "," : "") + member("s" + std::to_string(i), servers[i]->address());
    }
    if (config.known.empty()) config.known = list(7, true, members);
    config.discovery = discovery.address();
    told = config;
    program = std::make_unique<Program>(config.text(), descriptors, true, "", in_child);
  }
  Wire client(bool tight = false) const { return Wire::to(program->port(), tight); }

  FakeDiscovery discovery;
  ConfigText told;
  std::unique_ptr<Program> program;
};

struct Ask {
  std::string kind = "close", id = "r1", method = "POST", body = "{}", path = "", fields = "";
  std::string timeout = "15000", key = "";
  std::string text() const {
    return method + " " + (path.empty() ? "/" + kind + "/k1?x=1" : path) +
           " HTTP/1.1\r\nHost: origin.svc\r\n" + (id.empty() ? "" : "X-Request-ID: " + id + "\r\n") +
           "X-Priority-Class: " + kind + "\r\nX-Tenant-Id: acme\r\n" +
           (timeout.empty() ? "" : "X-Timeout-Ms: " + timeout + "\r\n") +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + fields +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  }
};

}  // namespace thymewood::node
