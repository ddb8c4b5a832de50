// Measures how late the rig's own event loop runs, so that the checkers can allow for it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

#include "history_writer.h"

namespace thymewood::fleet {

class LatenessMonitor {
 public:
  // `reporter`: the actor of the records. `io` and `history` have to outlive the monitor.
  LatenessMonitor(boost::asio::io_context& io, HistoryWriter& history, const Actor& reporter)
      : timer_(io), history_(history), reporter_(reporter) {}

  void start() {
    timer_.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(
        std::chrono::duration<double>(kInterval)));
    timer_.async_wait([this](boost::system::error_code cancelled) {
      if (cancelled) return;
      record();
      start();
    });
  }

 private:
  static constexpr double kInterval = 0.005;    // s
  static constexpr double kMinRecorded = 0.02;  // s

  void record() {
    const double lateness =
        std::chrono::duration<double>(HistoryWriter::Steady::now() - timer_.expiry()).count();
    if (lateness < kMinRecorded) return;
    Record r;
    r.what = Record::What::kLate;
    r.by = reporter_;
    r.work = lateness;
    history_.add(r);
  }

  boost::asio::steady_timer timer_;
  HistoryWriter& history_;
  Actor reporter_;
};

}  // namespace thymewood::fleet
