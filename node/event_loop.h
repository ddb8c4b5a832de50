// Runs the node's event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace thymewood::node {

// Runs until the loop is stopped or has nothing left to do. An exception that gets out of a handler ends that
// handler's work, not the node: each request has a timer that answers it in time, and `recover` resumes what
// goes on for good.
void run_until_stopped(boost::asio::io_context& io, const std::function<void()>& recover);

// Calls `handler` at each signal of the set, which has to outlive the event loop's run.
void on_each_signal(boost::asio::signal_set& signals, std::function<void()> handler);

}  // namespace thymewood::node
