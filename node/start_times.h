// When servers started, on the node's steady clock.
//
// Discovery gives a start as Unix time, and the node's wall clock may be wrong or stepped. A server that is
// still warming up but counts as warm gets more load than it can serve, so a server's age is bounded from
// above by what else is known:
//
// - A start that was missing from a list which was current at some moment happened after that moment, less
// the
//   time that discovery may take to announce it. Where the wall clock contradicts this, or puts the start in
//   the future, the start counts as one that has just happened.
// - Discovery's own clock, from the Date field of its response (RFC 9110, 6.6.1), replaces a wall clock that
//   differs from it by more than that field's resolution explains.
//
// A start keeps the time that it was first given: another time would mean another start.
//
// Pure: all times are passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace thymewood::node {

// One moment on both clocks.
struct ClockReading {
  double steady = 0;         // s on the node's clock
  std::int64_t unix_ms = 0;  // on the wall clock
};

class StartTimes {
 public:
  // Discovery's Unix time in ms as it responded; none where the response has no usable Date field.
  void set_discovery_time(const ClockReading& now, std::optional<std::int64_t> unix_ms);
  // The last list was current until then, s on the node's clock: later starts are missing from it.
  void set_list_current_until(double until) { list_current_until_ = until; }

  // The start of a server, s on the node's clock; 0 for one long ago (`since_ms` 0).
  [[nodiscard]] double started_at(const std::string& server, std::int64_t since_ms, const ClockReading& now);
  // The server was removed from the list. Its start is retained for a while, for it may return without a
  // restart.
  void on_removed(const std::string& server, double now);

 private:
  struct Start {
    std::int64_t since_ms = 0;
    double started_at = 0;
    bool is_listed = true;
  };
  struct Removal {
    double at = 0;
    std::string server;
  };
  std::unordered_map<std::string, Start> starts_;  // by server
  std::deque<Removal> removals_;                   // the oldest first
  bool has_discovery_time_ = false;
  std::optional<double> list_current_until_;
  std::int64_t wall_clock_correction_ms_ = 0;
};

// Reads an HTTP Date field in its preferred form, as Unix time in ms.
[[nodiscard]] std::optional<std::int64_t> parse_http_date(std::string_view text);

}  // namespace thymewood::node
