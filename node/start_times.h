// Converts the start times of servers to the node's steady clock.
//
// Discovery reports start times as Unix time, and the node's wall clock may be wrong or stepped. A server
// that is still warming up but is considered warm gets more load than it can serve. Therefore an upper bound
// on a server's age is derived from other information:
//
// - A server missing from a list that was current at time T started after T minus the maximum notification
//   delay of discovery. If the wall clock contradicts this or puts the start in the future, the server is
//   assumed to have just started.
// - Discovery's clock, from the Date field of its response (RFC 9110, 6.6.1), replaces the wall clock if they
//   differ by more than the field's resolution and a delayed read can explain.
//
// A start time, once converted, does not change: a different value would indicate a restart.
//
// Reads no clock: the caller passes all times.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace thymewood::node {

// The same instant on both clocks.
struct ClockReading {
  double steady = 0;         // s on the node's clock
  std::int64_t unix_ms = 0;  // on the wall clock
};

class StartTimes {
 public:
  // Sets discovery's Unix time in ms at its response; none if the response has no valid Date field.
  void set_discovery_time(const ClockReading& now, std::optional<std::int64_t> unix_ms);
  // The last list was current until this time, in seconds on the node's clock; servers that started later are
  // missing from it.
  void set_list_current_until(double until) { list_current_until_ = until; }

  // Start time of a server in seconds on the node's clock; 0 if it started long ago (`start_unix_ms` 0).
  [[nodiscard]] double started_at(const std::string& server, std::int64_t start_unix_ms,
                                  const ClockReading& now);
  // The server was removed from the list. Its start time is retained for a while, because it may return
  // without a restart.
  void on_removed(const std::string& server, double now);

 private:
  struct Start {
    std::int64_t start_unix_ms = 0;
    double started_at = 0;
    bool is_listed = true;
  };
  struct Removal {
    double at = 0;
    std::string server;
  };
  std::unordered_map<std::string, Start> starts_;  // by server name
  std::deque<Removal> removals_;                   // oldest first
  bool has_discovery_time_ = false;
  std::optional<double> list_current_until_;
  std::int64_t wall_clock_correction_ms_ = 0;
};

// Parses an HTTP Date field in the preferred format (IMF-fixdate) and returns Unix time in ms.
[[nodiscard]] std::optional<std::int64_t> parse_http_date(std::string_view text);

}  // namespace thymewood::node
