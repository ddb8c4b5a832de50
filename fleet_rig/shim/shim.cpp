// Preloaded into a process ahead of the C library (ld.so(8), LD_PRELOAD). Interposes the calls for files and
// for the time of day and injects the faults of the plan. Calls that the C library makes internally, such as
// those of stdio, are not intercepted.
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
  static FaultPlan* const mapped_plan = []() -> FaultPlan* {
    const char* path = std::getenv(thymewood::fleet::kFaultsVariable);
    if (path == nullptr) return nullptr;
    const int fd = ::open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* const mapping = ::mmap(nullptr, sizeof(FaultPlan), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    ::close(fd);
    return mapping == MAP_FAILED ? nullptr : static_cast<FaultPlan*>(mapping);
  }();
  return mapped_plan;
}

template <class Function>
Function next_definition(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool is_file(int fd) {
  struct stat status {};
  return ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

void apply_delay(const FaultPlan& p) {
  const std::uint32_t us = p.delay_us;
  if (us == 0) return;
  constexpr long kNanosPerMicro = 1000, kSecond = 1000000;
  timespec remaining{us / kSecond, static_cast<long>(us % kSecond) * kNanosPerMicro};
  while (::nanosleep(&remaining, &remaining) != 0 && errno == EINTR) {
  }
}

enum class WriteOutcome { kAll, kShort, kTorn, kError };

WriteOutcome next_write_outcome(FaultPlan& p) {
  const std::uint64_t number = ++p.writes;
  apply_delay(p);
  const std::uint32_t every = p.write_every, shorten = p.shorten_every, tear = p.tear_every;
  if (p.write_errno != 0 && (every <= 1 || number % every == 0)) {
    errno = p.write_errno;
    return WriteOutcome::kError;
  }
  if (tear != 0 && number % tear == 0) return WriteOutcome::kTorn;
  if (shorten != 0 && number % shorten == 0) return WriteOutcome::kShort;
  return WriteOutcome::kAll;
}

// `call` writes a given number of bytes. Half of one byte would be none, so a single byte is written in full.
template <class Function>
ssize_t write_with_faults(FaultPlan& p, std::size_t size, Function call) {
  switch (next_write_outcome(p)) {
    case WriteOutcome::kError:
      return -1;
    case WriteOutcome::kShort:
      return call(size > 1 ? size / 2 : size);
    case WriteOutcome::kTorn: {
      const ssize_t done = call(size > 1 ? size / 2 : size);
      return done < 0 ? done : static_cast<ssize_t>(size);
    }
    default:
      return call(size);
  }
}

int sync_with_faults(int fd, const char* name) {
  FaultPlan* const p = plan();
  if (p != nullptr && is_file(fd)) {
    ++p->syncs;
    apply_delay(*p);
    if (p->sync_errno != 0) {
      errno = p->sync_errno;
      return -1;
    }
    if (p->skip_sync != 0) return 0;
  }
  return next_definition<int (*)(int)>(name)(fd);
}

}  // namespace

extern "C" {

ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = next_definition<ssize_t (*)(int, const void*, size_t)>("write");
  FaultPlan* const p = plan();
  if (p == nullptr || !is_file(fd)) return real(fd, bytes, size);
  return write_with_faults(*p, size, [&](std::size_t n) { return real(fd, bytes, n); });
}

ssize_t pwrite(int fd, const void* bytes, size_t size, off_t at) {
  static const auto real = next_definition<ssize_t (*)(int, const void*, size_t, off_t)>("pwrite");
  FaultPlan* const p = plan();
  if (p == nullptr || !is_file(fd)) return real(fd, bytes, size, at);
  return write_with_faults(*p, size, [&](std::size_t n) { return real(fd, bytes, n, at); });
}

// Writes one buffer at a time, so that a short write can end within a buffer.
ssize_t writev(int fd, const iovec* buffers, int count) {
  static const auto real = next_definition<ssize_t (*)(int, const iovec*, int)>("writev");
  if (plan() == nullptr || !is_file(fd)) return real(fd, buffers, count);
  ssize_t total = 0;
  for (int i = 0; i < count; ++i) {
    if (buffers[i].iov_len == 0) continue;
    const ssize_t done = write(fd, buffers[i].iov_base, buffers[i].iov_len);
    if (done < 0) return total > 0 ? total : -1;
    total += done;
    if (static_cast<size_t>(done) < buffers[i].iov_len) break;
  }
  return total;
}

int fsync(int fd) { return sync_with_faults(fd, "fsync"); }
int fdatasync(int fd) { return sync_with_faults(fd, "fdatasync"); }

int rename(const char* from, const char* to) {
  static const auto real = next_definition<int (*)(const char*, const char*)>("rename");
  if (FaultPlan* const p = plan()) {
    ++p->renames;
    apply_delay(*p);
    if (p->rename_errno != 0) {
      errno = p->rename_errno;
      return -1;
    }
  }
  return real(from, to);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static const auto real = next_definition<int (*)(clockid_t, timespec*)>("clock_gettime");
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
  constexpr long kNanosPerMicro = 1000;
  *out = {now.tv_sec, now.tv_nsec / kNanosPerMicro};
  return done;
}

time_t time(time_t* out) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
