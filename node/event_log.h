// Structured log on standard error, with one line per event: `event=NAME key=value ...`.
//
// Level `debug` logs each request, attempt and connection, `info` (the default) each state change, and
// `warning` conditions that need an operator's attention. The environment variable THYMEWOOD_LOG sets the
// level. An event below the level costs one comparison. Lines are rate limited per event name; `suppressed=`
// in the next line is the number of lines dropped. Writes are synchronous; no thread is started.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace thymewood::node {

enum class LogLevel { kDebug, kInfo, kWarning };

// Token bucket for one event name. Reads no clock: the caller passes the time, in seconds on any steady
// clock.
class LogRateLimit {
 public:
  static constexpr double kBurst = 50;        // lines
  static constexpr double kPerSecond = 20;    // lines per second
  static constexpr double kDebugFactor = 50;  // multiplies both limits for debug events

  // Consumes a token and returns true if a line may be written; otherwise counts the line as suppressed.
  bool consume(double now, LogLevel level);
  // Returns the number of lines suppressed since the last call, and resets it.
  std::uint64_t take_suppressed_count();

 private:
  double tokens_ = -1;      // lines that may be written now; negative before the first one
  double refilled_at_ = 0;  // s
  std::uint64_t suppressed_ = 0;
};

// Builds the log line of one event; the destructor writes it.
class LogEvent {
 public:
  // `name` must have static storage duration, such as a string literal.
  LogEvent(LogLevel level, std::string_view name);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  // A value that contains white space, quotes or control characters is quoted and escaped.
  LogEvent& with(std::string_view key, std::string_view value);
  LogEvent& with(std::string_view key, const char* value) { return with(key, std::string_view(value)); }
  LogEvent& with(std::string_view key, double seconds);
  LogEvent& with(std::string_view key, std::uint64_t count);
  LogEvent& with(std::string_view key, int count);
  LogEvent& with(std::string_view key, bool flag);

 private:
  bool enabled_;
  LogLevel level_;
  std::string line_;
};

inline LogEvent log_debug(std::string_view name) { return {LogLevel::kDebug, name}; }
inline LogEvent log_info(std::string_view name) { return {LogLevel::kInfo, name}; }
inline LogEvent log_warning(std::string_view name) { return {LogLevel::kWarning, name}; }

// Whether debug events are logged; lets code skip computing expensive values.
bool is_debug_enabled();

// Sets the level from THYMEWOOD_LOG. An unknown level logs a warning and selects `info`.
void configure_log_from_environment();

}  // namespace thymewood::node
