#include "event_log.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <unordered_map>
#include <utility>

namespace thymewood::node {
namespace {

double steady_seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

spdlog::level::level_enum to_spdlog_level(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      break;
  }
  return spdlog::level::warn;
}

std::shared_ptr<spdlog::logger> make_logger() {
  auto out = std::make_shared<spdlog::logger>("thymewood", std::make_shared<spdlog::sinks::stderr_sink_st>());
  out->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  out->flush_on(spdlog::level::debug);
  // If the log cannot be written, for example because the disk is full, lines are lost and the node keeps
  // running.
  out->set_error_handler([](const std::string&) {});
  return out;
}

// Not thread-safe: the node has one thread.
spdlog::logger& logger() {
  static const std::shared_ptr<spdlog::logger> instance = make_logger();
  return *instance;
}

LogRateLimit& rate_limit_of(std::string_view name) {
  static std::unordered_map<std::string_view, LogRateLimit> limits;
  return limits[name];
}

bool needs_quotes(std::string_view text) {
  return text.empty() || std::any_of(text.begin(), text.end(), [](char c) {
           return static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f';
         });
}

std::string quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
      out += fmt::format("\\x{:02x}", static_cast<unsigned>(static_cast<unsigned char>(c)));
    } else {
      out += c;
    }
  }
  return out + '"';
}

}  // namespace

bool LogRateLimit::consume(double now, LogLevel level) {
  const double factor = level == LogLevel::kDebug ? kDebugFactor : 1;
  const double refill = tokens_ < 0 ? kBurst * factor : (now - refilled_at_) * kPerSecond * factor;
  tokens_ = std::min(kBurst * factor, std::max(0.0, tokens_) + refill);
  refilled_at_ = now;
  if (tokens_ < 1) {
    ++suppressed_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LogRateLimit::take_suppressed_count() { return std::exchange(suppressed_, 0); }

LogEvent::LogEvent(LogLevel level, std::string_view name)
    : enabled_(logger().should_log(to_spdlog_level(level))), level_(level) {
  if (!enabled_) return;
  LogRateLimit& limit = rate_limit_of(name);
  enabled_ = limit.consume(steady_seconds(), level);
  if (!enabled_) return;
  line_ = "event=";
  line_ += name;
  if (const std::uint64_t suppressed = limit.take_suppressed_count(); suppressed > 0)
    with("suppressed", suppressed);
}

LogEvent::~LogEvent() {
  if (enabled_) logger().log(to_spdlog_level(level_), line_);
}

LogEvent& LogEvent::with(std::string_view key, std::string_view value) {
  if (!enabled_) return *this;
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += needs_quotes(value) ? quote(value) : std::string(value);
  return *this;
}

LogEvent& LogEvent::with(std::string_view key, double seconds) {
  if (enabled_) line_ += fmt::format(" {}={:.3f}", key, seconds);
  return *this;
}

LogEvent& LogEvent::with(std::string_view key, std::uint64_t count) {
  if (enabled_) line_ += fmt::format(" {}={}", key, count);
  return *this;
}

LogEvent& LogEvent::with(std::string_view key, int count) {
  if (enabled_) line_ += fmt::format(" {}={}", key, count);
  return *this;
}

LogEvent& LogEvent::with(std::string_view key, bool flag) {
  if (enabled_) line_ += fmt::format(" {}={}", key, flag);
  return *this;
}

bool is_debug_enabled() { return logger().should_log(spdlog::level::debug); }

void configure_log_from_environment() {
  const char* const value = std::getenv("THYMEWOOD_LOG");
  const std::string_view name = value == nullptr ? "info" : value;
  if (name == "debug") {
    logger().set_level(spdlog::level::debug);
  } else if (name == "warning") {
    logger().set_level(spdlog::level::warn);
  } else {
    logger().set_level(spdlog::level::info);
    if (name != "info" && !name.empty())
      log_warning("log_level_unknown").with("value", name).with("used", "info");
  }
}

}  // namespace thymewood::node
