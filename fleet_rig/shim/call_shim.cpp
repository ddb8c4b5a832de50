// Loaded into a process ahead of the C library (ld.so(8), LD_PRELOAD): stands before its calls for sockets,
// waits and memory, and has the one that the plan names fail as its manual page says that it may.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "call_plan.h"

namespace {

using thymewood::fleet::CallPlan;
using thymewood::fleet::FaultyCall;

CallPlan* held_plan = nullptr;

__attribute__((constructor)) void map_plan() {
  const char* path = std::getenv(thymewood::fleet::kCallPlanVariable);
  if (path == nullptr) return;
  const int fd = ::open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return;
  void* const at = ::mmap(nullptr, sizeof(CallPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (at != MAP_FAILED) held_plan = static_cast<CallPlan*>(at);
}

template <class ClientRequest>
ClientRequest next(const char* name) {
  return reinterpret_cast<ClientRequest>(::dlsym(RTLD_NEXT, name));
}

bool is_hit(FaultyCall call) {
  CallPlan* const p = held_plan;
  if (p == nullptr || p->call.load() != call) return false;
  const std::uint64_t number = ++p->seen;
  if (number < p->nth || number >= p->nth + p->times) return false;
  ++p->fired;
  return true;
}

// True: the call has failed, with errno set.
bool fails(FaultyCall call) {
  if (!is_hit(call)) return false;
  errno = held_plan->error;
  return errno != 0;
}

// For sends and receives: how many bytes may move; a failure is -1.
ssize_t allowed(FaultyCall call, std::size_t wanted) {
  if (!is_hit(call)) return static_cast<ssize_t>(wanted);
  errno = held_plan->error;
  if (errno != 0) return -1;
  return wanted > 0 ? 1 : 0;
}

ssize_t shortened(msghdr* message, FaultyCall call, ssize_t (*real)(int, msghdr*, int), int fd, int flags) {
  const ssize_t most = allowed(call, 2);
  if (most < 0) return -1;
  if (most == 2 || message->msg_iovlen == 0) return real(fd, message, flags);
  iovec first = message->msg_iov[0];
  for (std::size_t i = 0; i < message->msg_iovlen && first.iov_len == 0; ++i) first = message->msg_iov[i];
  if (first.iov_len > 1) first.iov_len = 1;
  msghdr one = *message;
  one.msg_iov = &first;
  one.msg_iovlen = 1;
  return real(fd, &one, flags);
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  return fails(FaultyCall::kAccept) ? -1 : real(fd, from, size);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return fails(FaultyCall::kAccept) ? -1 : real(fd, from, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next<int (*)(int, int, int)>("socket");
  return fails(FaultyCall::kSocket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static const auto real = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return fails(FaultyCall::kConnect) ? -1 : real(fd, to, size);
}

int epoll_wait(int fd, epoll_event* events, int most, int milliseconds) {
  static const auto real = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return fails(FaultyCall::kEpollWait) ? -1 : real(fd, events, most, milliseconds);
}

int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) {
  static const auto real = next<int (*)(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  return fails(FaultyCall::kTimer) ? -1 : real(fd, flags, value, old);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* size) {
  static const auto real = next<int (*)(int, int, int, void*, socklen_t*)>("getsockopt");
  return fails(FaultyCall::kGetsockopt) ? -1 : real(fd, level, option, value, size);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, void*, size_t, int)>("recv");
  const ssize_t most = allowed(FaultyCall::kRecv, size);
  return most < 0 ? -1 : real(fd, bytes, static_cast<size_t>(most), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  return shortened(message, FaultyCall::kRecv, real, fd, flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, int)>("send");
  const ssize_t most = allowed(FaultyCall::kSend, size);
  return most < 0 ? -1 : real(fd, bytes, static_cast<size_t>(most), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next<ssize_t (*)(int, msghdr*, int)>("sendmsg");
  return shortened(const_cast<msghdr*>(message), FaultyCall::kSend, real, fd, flags);
}

}  // extern "C"
