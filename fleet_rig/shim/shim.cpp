// Loaded into a process ahead of the C library (ld.so(8), LD_PRELOAD): stands before its calls for files and
// for the time of day, and does to them what the plan says. What the C library calls within itself (stdio,
// for one) does not pass here.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "fault_plan.h"

namespace {

using thymewood::fleet::FaultPlan;

FaultPlan* plan() {
  static FaultPlan* const held = []() -> FaultPlan* {
    const char* path = std::getenv(thymewood::fleet::kFaultsVariable);
    if (path == nullptr) return nullptr;
    const int fd = ::open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* const at = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(at);
  }();
  return held;
}

template <class ClientRequest>
ClientRequest next(const char* name) {
  return reinterpret_cast<ClientRequest>(::dlsym(RTLD_NEXT, name));
}

bool is_file(int fd) {
  struct stat about {};
  return ::fstat(fd, &about) == 0 && S_ISREG(about.st_mode);
}

void wait_a_while(const FaultPlan& p) {
  const std::uint32_t us = p.delay_us;
  if (us == 0) return;
  constexpr long kMicro = 1000, kSecond = 1000000;
  timespec span{us / kSecond, static_cast<long>(us % kSecond) * kMicro};
  while (::nanosleep(&span, &span) != 0 && errno == EINTR) {
  }
}

enum class Fate { kAll, kShort, kTorn, kFails };

Fate fate_of_write(FaultPlan& p) {
  const std::uint64_t number = ++p.writes;
  wait_a_while(p);
  const std::uint32_t every = p.write_every, shorten = p.shorten_every, tear = p.tear_every;
  if (p.write_errno != 0 && (every <= 1 || number % every == 0)) {
    errno = p.write_errno;
    return Fate::kFails;
  }
  if (tear != 0 && number % tear == 0) return Fate::kTorn;
  if (shorten != 0 && number % shorten == 0) return Fate::kShort;
  return Fate::kAll;
}

// `call` takes a length; half of one byte is none, so that is written in full.
template <class ClientRequest>
ssize_t faulty(FaultPlan& p, std::size_t size, ClientRequest call) {
  switch (fate_of_write(p)) {
    case Fate::kFails:
      return -1;
    case Fate::kShort:
      return call(size > 1 ? size / 2 : size);
    case Fate::kTorn: {
      const ssize_t done = call(size > 1 ? size / 2 : size);
      return done < 0 ? done : static_cast<ssize_t>(size);
    }
    default:
      return call(size);
  }
}

int faulty_sync(int fd, const char* name) {
  FaultPlan* const p = plan();
  if (p != nullptr && is_file(fd)) {
    ++p->syncs;
    wait_a_while(*p);
    if (p->sync_errno != 0) {
      errno = p->sync_errno;
      return -1;
    }
    if (p->sync_lies != 0) return 0;
  }
  return next<int (*)(int)>(name)(fd);
}

}  // namespace

extern "C" {

ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t)>("write");
  FaultPlan* const p = plan();
  if (p == nullptr || !is_file(fd)) return real(fd, bytes, size);
  return faulty(*p, size, [&](std::size_t n) { return real(fd, bytes, n); });
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  static const auto real = next<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  FaultPlan* const p = plan();
  if (p == nullptr || !is_file(fd)) return real(fd, bytes, size, at);
  return faulty(*p, size, [&](std::size_t n) { return real(fd, bytes, n, at); });
}

// A vector is written piece by piece, so that it can be short within a piece.
ssize_t writev(int fd, const iovec* pieces, int count) {
  static const auto real = next<ssize_t (*)(int, const iovec*, int)>("writev");
  if (plan() == nullptr || !is_file(fd)) return real(fd, pieces, count);
  ssize_t all = 0;
  for (int i = 0; i < count; ++i) {
    if (pieces[i].iov_len == 0) continue;
    const ssize_t done = write(fd, pieces[i].iov_base, pieces[i].iov_len);
    if (done < 0) return all > 0 ? all : -1;
    all += done;
    if (static_cast<size_t>(done) < pieces[i].iov_len) break;
  }
  return all;
}

int fsync(int fd) { return faulty_sync(fd, "fsync"); }
int fdatasync(int fd) { return faulty_sync(fd, "fdatasync"); }

int rename(const char* from, const char* to) {
  static const auto real = next<int (*)(const char*, const char*)>("rename");
  if (FaultPlan* const p = plan()) {
    ++p->renames;
    wait_a_while(*p);
    if (p->rename_errno != 0) {
      errno = p->rename_errno;
      return -1;
    }
  }
  return real(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static const auto real = next<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int done = real(clock, out);
  FaultPlan* const p = plan();
  if (done != 0 || p == nullptr || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return done;
  constexpr std::int64_t kSecond = 1000000000;
  const std::int64_t then = out->tv_sec * kSecond + out->tv_nsec + p->clock_shift_ns;
  out->tv_sec = then / kSecond;
  out->tv_nsec = then % kSecond;
  return done;
}

int gettimeofday(timeval* out, void*) {
  timespec now{};
  const int done = clock_gettime(CLOCK_REALTIME, &now);
  constexpr long kMicro = 1000;
  *out = {now.tv_sec, now.tv_nsec / kMicro};
  return done;
}

time_t time(time_t* out) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
