// Runs the node's event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace thymewood::node {

// Runs until the event loop is stopped or has no work left. An exception that escapes from a handler aborts
// only that handler, not the node: each request has a timer that sends its response in time, and `recover`
// restarts the node's long-running operations.
void run_until_stopped(boost::asio::io_context& io, const std::function<void()>& recover);

// Calls `handler` on each signal in the set, which must outlive the run of the event loop.
void on_each_signal(boost::asio::signal_set& signals, std::function<void()> handler);

}  // namespace thymewood::node
