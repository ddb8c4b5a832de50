// Preloaded into a process ahead of the C library (ld.so(8), LD_PRELOAD). Interposes the calls for sockets,
// epoll and timers and makes the one that the plan names fail, with errors that its manual page allows.
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

CallPlan* mapped_plan = nullptr;

__attribute__((constructor)) void map_plan() {
  const char* path = std::getenv(thymewood::fleet::kCallPlanVariable);
  if (path == nullptr) return;
  const int fd = ::open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) return;
  void* const mapping = ::mmap(nullptr, sizeof(CallPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (mapping != MAP_FAILED) mapped_plan = static_cast<CallPlan*>(mapping);
}

template <class Function>
Function next_definition(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool applies_to(FaultyCall call) {
  CallPlan* const p = mapped_plan;
  if (p == nullptr || p->call.load() != call) return false;
  const std::uint64_t number = ++p->matching_calls;
  if (number < p->nth || number >= p->nth + p->times) return false;
  ++p->injected_faults;
  return true;
}

// Returns true if the call must fail; errno is set then.
bool inject_failure(FaultyCall call) {
  if (!applies_to(call)) return false;
  errno = mapped_plan->error;
  return errno != 0;
}

// For sends and receives: how many bytes may be transferred, or -1 with errno set if the call must fail.
ssize_t allowed_bytes(FaultyCall call, std::size_t requested) {
  if (!applies_to(call)) return static_cast<ssize_t>(requested);
  errno = mapped_plan->error;
  if (errno != 0) return -1;
  return requested > 0 ? 1 : 0;
}

ssize_t transfer_limited(msghdr* message, FaultyCall call, ssize_t (*real)(int, msghdr*, int), int fd,
                         int flags) {
  const ssize_t max_bytes = allowed_bytes(call, 2);
  if (max_bytes < 0) return -1;
  if (max_bytes == 2 || message->msg_iovlen == 0) return real(fd, message, flags);
  iovec first_buffer = message->msg_iov[0];
  for (std::size_t i = 0; i < message->msg_iovlen && first_buffer.iov_len == 0; ++i)
    first_buffer = message->msg_iov[i];
  if (first_buffer.iov_len > 1) first_buffer.iov_len = 1;
  msghdr truncated = *message;
  truncated.msg_iov = &first_buffer;
  truncated.msg_iovlen = 1;
  return real(fd, &truncated, flags);
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto real = next_definition<int (*)(int, sockaddr*, socklen_t*)>("accept");
  return inject_failure(FaultyCall::kAccept) ? -1 : real(fd, from, size);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto real = next_definition<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  return inject_failure(FaultyCall::kAccept) ? -1 : real(fd, from, size, flags);
}

int socket(int domain, int type, int protocol) {
  static const auto real = next_definition<int (*)(int, int, int)>("socket");
  return inject_failure(FaultyCall::kSocket) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
  static const auto real = next_definition<int (*)(int, const sockaddr*, socklen_t)>("connect");
  return inject_failure(FaultyCall::kConnect) ? -1 : real(fd, to, size);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int milliseconds) {
  static const auto real = next_definition<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  return inject_failure(FaultyCall::kEpollWait) ? -1 : real(fd, events, max_events, milliseconds);
}

int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) {
  static const auto real =
      next_definition<int (*)(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  return inject_failure(FaultyCall::kTimer) ? -1 : real(fd, flags, value, old);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* size) {
  static const auto real = next_definition<int (*)(int, int, int, void*, socklen_t*)>("getsockopt");
  return inject_failure(FaultyCall::kGetsockopt) ? -1 : real(fd, level, option, value, size);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
  static const auto real = next_definition<ssize_t (*)(int, void*, size_t, int)>("recv");
  const ssize_t max_bytes = allowed_bytes(FaultyCall::kRecv, size);
  return max_bytes < 0 ? -1 : real(fd, bytes, static_cast<size_t>(max_bytes), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto real = next_definition<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  return transfer_limited(message, FaultyCall::kRecv, real, fd, flags);
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = next_definition<ssize_t (*)(int, const void*, size_t, int)>("send");
  const ssize_t max_bytes = allowed_bytes(FaultyCall::kSend, size);
  return max_bytes < 0 ? -1 : real(fd, bytes, static_cast<size_t>(max_bytes), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next_definition<ssize_t (*)(int, msghdr*, int)>("sendmsg");
  return transfer_limited(const_cast<msghdr*>(message), FaultyCall::kSend, real, fd, flags);
}

}  // extern "C"
