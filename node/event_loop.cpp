#include "event_loop.h"

#include <chrono>
#include <exception>
#include <thread>
#include <utility>

#include "event_log.h"

namespace thymewood::node {
namespace {

constexpr std::chrono::milliseconds kFailureBackoff{10};  // a shortage of memory may last for a while

}  // namespace

void run_until_stopped(boost::asio::io_context& io, const std::function<void()>& recover) {
  for (bool has_failed = false;;) {
    try {
      if (std::exchange(has_failed, false)) recover();
      io.run();
      return;
    } catch (const std::exception& error) {
      has_failed = true;
      log_warning("handler_failed").with("problem", error.what());
      std::this_thread::sleep_for(kFailureBackoff);
    }
  }
}

void on_each_signal(boost::asio::signal_set& signals, std::function<void()> handler) {
  signals.async_wait([&signals, handler = std::move(handler)](boost::system::error_code cancelled, int) {
    if (cancelled) return;
    handler();
    on_each_signal(signals, handler);
  });
}

}  // namespace thymewood::node
