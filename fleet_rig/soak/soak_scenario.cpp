#include "soak_scenario.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <sstream>
#include <vector>

#include "random.h"

namespace thymewood::fleet {
namespace {

constexpr double kSeconds = 7;                       // s; for which load comes
constexpr double kFirstFault = 0.5, kLastFault = 4;  // s
constexpr double kUtilization = 0.5;                 // of what the servers can do

class ScenarioWriter {
 public:
  explicit ScenarioWriter(std::uint64_t seed) : random_(seed) {}

  std::string write() {
    draw_sizes();
    out_ << "seconds = " << kSeconds << "\nsettle = 0\nmax_attempts = " << between(1, 5)
         << "\nmax_retry_after_ms = " << one_of({0, 200, 1000}) << "\nstart_capacity = 0.32\nramp_s = 3\n";
    write_classes();
    write_fleet();
    write_clients();
    const int faults = between(1, 4);
    for (int i = 0; i < faults; ++i) write_fault();
    if (chance(0.6)) write_changes();
    return out_.str();
  }

 private:
  bool chance(double part) { return random_.unit() < part; }
  int between(int least, int most) {
    const auto choices = static_cast<std::size_t>(most) - static_cast<std::size_t>(least) + 1;
    return least + static_cast<int>(random_.below(choices));
  }
  double between(double least, double most) { return least + (most - least) * random_.unit(); }
  template <class T>
  T one_of(std::initializer_list<T> values) {
    return values.begin()[random_.below(values.size())];
  }
  double time() { return between(kFirstFault, kLastFault); }

  void draw_sizes() {
    nodes_ = chance(0.1) ? between(20, 40) : between(1, 8);
    servers_ = between(3, 9);
    zones_ = between(1, 2);
  }

  void write_classes() {
    const int classes = between(1, 3);
    double mean_sum = 0;
    for (int i = 0; i < classes; ++i) {
      const int client_timeout = one_of({200, 500, 1200, 2500, 8000});
      const int mean = std::clamp(client_timeout / 20, 5, 40);
      mean_sum += mean;
      out_ << "[[class]]\nname = \"c" << i << "\"\nshare = " << between(1, 3)
           << "\naim_ms = " << client_timeout / 2 << "\ngive_up_ms = " << client_timeout << "\neffect = \""
           << one_of({"safe", "keyed", "unsafe"}) << "\"\nscope = \"" << one_of({"all", "zone", "cell"})
           << "\"\nwindow_ms = " << one_of({500, 1500, 4000}) << "\nmean_ms = " << mean
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
         << "\nwait_ms = " << one_of({0, 20, 100}) << "\nimpatient = " << one_of({0.0, 0.02, 0.1})
         << "\nnotice_s = " << between(0.2, 1.0) << '\n';
  }

  std::string some_nodes() {
    return chance(0.3)   ? "node:*"
           : chance(0.5) ? "node:50%"
                         : "node:" + std::to_string(between(0, nodes_ - 1));
  }
  std::string some_servers() {
    return chance(0.5) ? "server:30%" : "server:" + std::to_string(between(0, servers_ - 1));
  }

  void head(const char* what, const std::string& who) {
    out_ << "[[fault]]\nwhat = \"" << what << "\"\nat = " << time() << '\n';
    if (!who.empty()) out_ << "who = \"" << who << "\"\n";
  }
  void lasts(double least, double most) { out_ << "lasts = " << between(least, most) << '\n'; }

  void write_fault() {
    switch (between(0, 13)) {
      case 0:
        head("kill", some_nodes());
        return lasts(0.3, 2);
      case 1:
      case 2:
      case 3:
        // A node gets SIGTERM; some got SIGHUP a moment before.
        if (chance(0.5)) head("hangup", "node:*");
        head("restart", some_nodes());
        out_ << "stagger = " << between(0.1, 0.8) << '\n';
        return;
      case 4:
        head("pause", some_nodes());
        return lasts(0.1, 2);
      case 5:
        head("starve", some_nodes());
        out_ << "share = " << between(0.2, 0.6) << '\n';
        return lasts(0.5, 2);
      case 6:
        head("clock", some_nodes());
        out_ << "shift_ms = " << one_of({-3600000, -5000, 5000, 3600000}) << '\n';
        return lasts(1, 3);
      case 7:
        head("crowd", some_nodes());
        out_ << "count = " << between(50, 300) << '\n';
        return lasts(1, 4);
      case 8:
        head("cut", some_servers());
        return lasts(0.3, 2);
      case 9:
        head("reset", some_servers());
        return;
      case 10:
        head("delay", some_servers());
        out_ << "delay_ms = " << between(5, 80) << "\njitter_ms = " << between(0, 20) << '\n';
        return lasts(0.5, 2);
      case 11:
        head("silence", "");
        return lasts(0.5, 4);
      case 12:
        head("disk_full", some_nodes());
        return lasts(0.5, 3);
      default:
        head("hangup", some_nodes());
        out_ << "stagger = 0.05\n";
    }
  }

  void write_change(const char* what, double at, int first, int last, const std::string& more = "") {
    out_ << "[[change]]\nwhat = \"" << what << "\"\nat = " << at << "\nfirst = " << first
         << "\nlast = " << last << '\n'
         << more;
  }

  // Servers are replaced, or hang through what else happens.
  void write_changes() {
    const int first = between(0, servers_ - 2),
              last = std::min(servers_ - 2, first + between(0, servers_ / 3));
    const double at = time();
    if (chance(0.4)) return write_change("mute", at, first, last, "part = 1\n");
    write_change("drain", at, first, last);
    if (chance(0.7)) {
      write_change("stop", at + 1.2, first, last);
      if (chance(0.7)) write_change("start", at + 1.6, first, last);
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
