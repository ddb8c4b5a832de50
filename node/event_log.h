// The structured log: one line for each event, `event=NAME key=value ...`, on standard error.
//
// Level `debug` has a line for each request, attempt and connection, `info` (the default) one for each change
// of state, `warning` what an operator should look at. The environment variable THYMEWOOD_LOG sets the level.
// An event below the level costs one comparison. The lines of each kind of event are rate limited;
// `suppressed=` of the next line counts those that were left out. Writing is synchronous and starts no
// thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace thymewood::node {

enum class LogLevel { kDebug, kInfo, kWarning };

// The token bucket of one kind of event. Pure: times are seconds on any steady clock.
class LogRateLimit {
 public:
  static constexpr double kBurst = 50;        // lines
  static constexpr double kPerSecond = 20;    // lines a second
  static constexpr double kDebugFactor = 50;  // times more of both for debug events

  // Whether one more line may be written; if not, it is counted as suppressed.
  bool take(double now, LogLevel level);
  // How many lines were suppressed since the last call.
  std::uint64_t take_suppressed();

 private:
  double tokens_ = -1;      // lines that may be written at once; negative before the first
  double refilled_at_ = 0;  // s
  std::uint64_t suppressed_ = 0;
};

// Builds the line of one event, and writes it on destruction.
class LogEvent {
 public:
  // `name` must outlive the program: a string literal.
  LogEvent(LogLevel level, std::string_view name);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  // A text that holds white space, quotes or control characters is quoted and escaped.
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

// Whether debug events are written, for code whose values are costly to compute.
bool is_debug_logged();

// Reads the level from THYMEWOOD_LOG; an unknown one is a warning and means `info`.
void configure_log_from_environment();

}  // namespace thymewood::node
