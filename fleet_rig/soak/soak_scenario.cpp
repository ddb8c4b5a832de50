#include "soak_scenario.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <sstream>
#include <vector>

#include "random.h"

namespace thymewood::fleet {
namespace {

constexpr double kLoadSeconds = 7;                        // s; duration of the load
constexpr double kMinFaultTime = 0.5, kMaxFaultTime = 4;  // s; range of the begin of faults and changes
constexpr double kUtilization = 0.5;                      // share of the servers' capacity

class ScenarioWriter {
 public:
  explicit ScenarioWriter(std::uint64_t seed) : random_(seed) {}

  std::string write() {
    draw_sizes();
    out_ << "seconds = " << kLoadSeconds << "\nsettle = 0\nmax_attempts = " << between(1, 5)
         << "\nmax_retry_after_ms = " << pick_from({0, 200, 1000}) << "\nstart_capacity = 0.32\nramp_s = 3\n";
    write_classes();
    write_fleet();
    write_clients();
    const int faults = between(1, 4);
    for (int i = 0; i < faults; ++i) write_fault();
    if (with_probability(0.6)) write_changes();
    return out_.str();
  }

 private:
  bool with_probability(double probability) { return random_.unit() < probability; }
  int between(int least, int most) {
    const auto choices = static_cast<std::size_t>(most) - static_cast<std::size_t>(least) + 1;
    return least + static_cast<int>(random_.below(choices));
  }
  double between(double least, double most) { return least + (most - least) * random_.unit(); }
  template <class T>
  T pick_from(std::initializer_list<T> values) {
    return values.begin()[random_.below(values.size())];
  }
  double fault_time() { return between(kMinFaultTime, kMaxFaultTime); }

  void draw_sizes() {
    nodes_ = with_probability(0.1) ? between(20, 40) : between(1, 8);
    servers_ = between(3, 9);
    zones_ = between(1, 2);
  }

  void write_classes() {
    const int classes = between(1, 3);
    double mean_sum = 0;
    for (int i = 0; i < classes; ++i) {
      const int client_timeout = pick_from({200, 500, 1200, 2500, 8000});
      const int mean = std::clamp(client_timeout / 20, 5, 40);
      mean_sum += mean;
      out_ << "[[class]]\nname = \"c" << i << "\"\nshare = " << between(1, 3)
           << "\naim_ms = " << client_timeout / 2 << "\ngive_up_ms = " << client_timeout << "\neffect = \""
           << pick_from({"safe", "keyed", "unsafe"}) << "\"\nscope = \"" << pick_from({"all", "zone", "cell"})
           << "\"\nwindow_ms = " << pick_from({500, 1500, 4000}) << "\nmean_ms = " << mean
           << "\nlate_worth = 0.5\n";
    }
    mean_s_ = mean_sum / classes / 1000;
  }

  void write_fleet() {
    constexpr int kWorkers = 4;
    for (int zone = 0; zone < zones_; ++zone) {
      const int nodes = nodes_ / zones_ + (zone < nodes_ % zones_ ? 1 : 0);
      if (nodes > 0) out_ << "[[node]]\ncount = " << nodes << "\nzone = " << zone << '\n';
      const int servers = servers_ / zones_ + (zone < servers_ % zones_ ? 1 : 0);
      out_ << "[[servers]]\ncount = " << servers << "\nworkers = " << kWorkers
           << "\nqueue = 20\ncold = 0.32\nramp_s = 3\nzone = " << zone << "\ncell = " << zone << '\n';
    }
    const double rate = std::min(400.0, kUtilization * servers_ * kWorkers / mean_s_);
    out_ << "[[load]]\nrate = " << std::round(rate) << '\n';
    out_ << "[discovery]\nlag_ms = " << between(20, 200) << "\nspread_ms = " << between(20, 300) << '\n';
  }

  void write_clients() {
    out_ << "[clients]\nretries = " << between(0, 3) << "\ntry_share = " << between(0.5, 1.0)
         << "\nwait_ms = " << pick_from({0, 20, 100}) << "\nimpatient = " << pick_from({0.0, 0.02, 0.1})
         << "\nnotice_s = " << between(0.2, 1.0) << '\n';
  }

  std::string node_selector() {
    return with_probability(0.3)   ? "node:*"
           : with_probability(0.5) ? "node:50%"
                                   : "node:" + std::to_string(between(0, nodes_ - 1));
  }
  std::string server_selector() {
    return with_probability(0.5) ? "server:30%" : "server:" + std::to_string(between(0, servers_ - 1));
  }

  void write_fault_header(const char* what, const std::string& who) {
    out_ << "[[fault]]\nwhat = \"" << what << "\"\nat = " << fault_time() << '\n';
    if (!who.empty()) out_ << "who = \"" << who << "\"\n";
  }
  void write_duration(double least, double most) { out_ << "lasts = " << between(least, most) << '\n'; }

  void write_fault() {
    switch (between(0, 13)) {
      case 0:
        write_fault_header("kill", node_selector());
        return write_duration(0.3, 2);
      case 1:
      case 2:
      case 3:
        // Nodes get SIGTERM; half of these faults come with a SIGHUP to all nodes.
        if (with_probability(0.5)) write_fault_header("hangup", "node:*");
        write_fault_header("restart", node_selector());
        out_ << "stagger = " << between(0.1, 0.8) << '\n';
        return;
      case 4:
        write_fault_header("pause", node_selector());
        return write_duration(0.1, 2);
      case 5:
        write_fault_header("starve", node_selector());
        out_ << "share = " << between(0.2, 0.6) << '\n';
        return write_duration(0.5, 2);
      case 6:
        write_fault_header("clock", node_selector());
        out_ << "shift_ms = " << pick_from({-3600000, -5000, 5000, 3600000}) << '\n';
        return write_duration(1, 3);
      case 7:
        write_fault_header("crowd", node_selector());
        out_ << "count = " << between(50, 300) << '\n';
        return write_duration(1, 4);
      case 8:
        write_fault_header("cut", server_selector());
        return write_duration(0.3, 2);
      case 9:
        write_fault_header("reset", server_selector());
        return;
      case 10:
        write_fault_header("delay", server_selector());
        out_ << "delay_ms = " << between(5, 80) << "\njitter_ms = " << between(0, 20) << '\n';
        return write_duration(0.5, 2);
      case 11:
        write_fault_header("silence", "");
        return write_duration(0.5, 4);
      case 12:
        write_fault_header("disk_full", node_selector());
        return write_duration(0.5, 3);
      default:
        write_fault_header("hangup", node_selector());
        out_ << "stagger = 0.05\n";
    }
  }

  void write_change(const char* what, double at, int first, int last, const std::string& more = "") {
    out_ << "[[change]]\nwhat = \"" << what << "\"\nat = " << at << "\nfirst = " << first
         << "\nlast = " << last << '\n'
         << more;
  }

  // Mutes servers, or drains and usually replaces them.
  void write_changes() {
    const int first = between(0, servers_ - 2),
              last = std::min(servers_ - 2, first + between(0, servers_ / 3));
    const double at = fault_time();
    if (with_probability(0.4)) return write_change("mute", at, first, last, "part = 1\n");
    write_change("drain", at, first, last);
    if (with_probability(0.7)) {
      write_change("stop", at + 1.2, first, last);
      if (with_probability(0.7)) write_change("start", at + 1.6, first, last);
    }
  }

  bench::Random random_;
  std::ostringstream out_;
  int nodes_ = 1, servers_ = 3, zones_ = 1;
  double mean_s_ = 0.02;
};

}  // namespace

std::string soak_scenario(std::uint64_t seed) { return ScenarioWriter(seed).write(); }

}  // namespace thymewood::fleet
