#include "discovery_watch.h"

#include <stdexcept>
#include <utility>

#include "event_log.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A change that a watch misses counts as notified 6 s after the watch became silent. Within that time the
// next connection must have a response or, if it is accepted but stays silent, must already be replaced by
// another one: the first two timeouts add up to 6 s.
constexpr double kSilenceTimeout =
    2.9;  // s; discovery sends a blank line every 2 s; the rest allows for some delay
constexpr double kResponseTimeout = 3.1;  // s; discovery queues a request for at most 3 s
// Number of consecutive silent connections that are replaced after the short timeouts above. If blank lines
// are late for all replicas, further requests would add load to discovery and delay the lines even more.
constexpr int kMaxEarlyReplacements = 2;
constexpr double kExtendedSilenceTimeout = 4.5;  // s; once the early replacements are used up
constexpr double kStableConnectionAge = 10;      // s; a connection that lasted this long resets the count

}  // namespace

DiscoveryWatch::DiscoveryWatch(asio::io_context& io, tcp::endpoint address, ZoneNames zones,
                               const Clock& clock, StartTimes start_times)
    : io_(io),
      address_(std::move(address)),
      zones_(std::move(zones)),
      clock_(clock),
      start_times_(std::move(start_times)) {}

DiscoveryWatch::~DiscoveryWatch() {
  if (connection_) connection_->abandon();
}

// A reconnect timer set before discovery moved can fire while a connection is already open. A second request
// would take another slot in discovery's queue and discard the response to the first.
void DiscoveryWatch::watch() {
  if (!connection_) open(DiscoveryCall::kWatch);
}

void DiscoveryWatch::list() {
  if (!connection_) open(DiscoveryCall::kList);
}

void DiscoveryWatch::refresh() {
  if (const std::shared_ptr<DiscoveryConnection> connection = connection_) connection->read_available();
}

void DiscoveryWatch::recover() {
  if (connection_) mark_stale(connection_->last_received_at());
  open(DiscoveryCall::kWatch);
}

void DiscoveryWatch::open(DiscoveryCall call) {
  if (connection_) connection_->abandon();
  connection_ = std::make_shared<DiscoveryConnection>(io_, clock_, static_cast<Owner&>(*this), call);
  connection_opened_at_ = clock_.now();
  has_listed_ = false;
  has_received_update_ = false;
  if (call == DiscoveryCall::kList) {
    log_info("list_requested");
  } else if (LogEvent event = log_info("watch_started"); version_) {
    event.with("index", *version_);
  }
  connection_->start(address_, version_);
}

void DiscoveryWatch::move_to(const tcp::endpoint& address) {
  if (address == address_ && connection_) return;
  // Process data that the old address has already sent.
  refresh();
  if (connection_) mark_stale(connection_->last_received_at());
  address_ = address;
  // The versions of the two addresses may be unrelated, so request the full list.
  version_.reset();
  consecutive_silent_connections_ = 0;
  listener_->on_discovery_moved();
  open(DiscoveryCall::kWatch);
}

double DiscoveryWatch::silence_timeout(bool has_response) const {
  if (consecutive_silent_connections_ >= kMaxEarlyReplacements) return kExtendedSilenceTimeout;
  return has_response ? kSilenceTimeout : kResponseTimeout;
}

void DiscoveryWatch::on_response_overdue() { listener_->on_call_unanswered(); }

void DiscoveryWatch::on_response_started(std::string_view date) {
  start_times_.set_discovery_time(clock_.reading(), parse_http_date(date));
}

// Changes received now were made after the previous data was received.
void DiscoveryWatch::on_data_received(double previous_data_at) {
  if (is_current_) start_times_.set_list_current_until(previous_data_at);
}

// Any data from discovery shows that it is responsive, including a blank line: there may be no change to
// send.
void DiscoveryWatch::on_all_objects_complete() {
  if (connection_->call() == DiscoveryCall::kList) {
    if (has_listed_) connection_->end(WatchEndReason::kListed);
    return;
  }
  if (std::exchange(is_current_, true)) return;
  log_info("list_current");
  listener_->on_list_current();
}

void DiscoveryWatch::mark_stale(double last_received_at) {
  if (!std::exchange(is_current_, false)) return;
  log_info("list_stale").with("for", clock_.now() - last_received_at);
  start_times_.set_list_current_until(last_received_at);
  listener_->on_list_stale(last_received_at);
}

void DiscoveryWatch::on_object(DiscoveryConnection& connection, std::string_view object) {
  EndpointList update;
  try {
    rapidjson::Document in;
    in.Parse<rapidjson::kParseIterativeFlag>(object.data(), object.size());
    if (in.HasParseError()) throw std::runtime_error("not valid JSON");
    update = read_endpoint_list(in, zones_, clock_.reading(), start_times_);
  } catch (const std::exception& error) {
    // Keep the last list. Its version is unchanged, so the next watch requests this change again.
    on_malformed_list(std::string("discovery: ") + error.what());
    return connection.end(WatchEndReason::kMalformedList);
  }
  if (update.first_error.empty()) {
    is_malformed_list_logged_ = false;
  } else {
    on_malformed_list("discovery: " + update.first_error);
  }
  // An older delta would revert a newer one, such as a drain. A full list is accepted with any version,
  // because discovery may have restarted its version numbers.
  if (!update.is_full && version_ && update.version < *version_) {
    if (!has_received_update_) on_versions_restarted();
    return;
  }
  has_received_update_ = true;
  version_ = update.version;
  log_info("list_received")
      .with("index", update.version)
      .with("full", update.is_full)
      .with("entries", std::uint64_t{update.endpoints.size()});
  has_listed_ = update.is_full;
  listener_->on_endpoints(update);
}

void DiscoveryWatch::on_ended(DiscoveryConnection& connection, const WatchEnd& end) {
  if (connection_.get() != &connection) return;
  const std::shared_ptr<DiscoveryConnection> ended = std::exchange(connection_, nullptr);
  if (end.reason == WatchEndReason::kListed) return on_listed(end);
  mark_stale(end.last_received_at);
  if (clock_.now() - connection_opened_at_ >= kStableConnectionAge) consecutive_silent_connections_ = 0;
  // Reconnects without a backoff: the silence timeout has already passed, and replicas detect the silence at
  // different times anyway.
  if (end.reason == WatchEndReason::kSilent && end.failure.call == DiscoveryCall::kWatch &&
      consecutive_silent_connections_++ < kMaxEarlyReplacements) {
    if (!end.failure.had_responded) listener_->on_call_unanswered();
    return open(DiscoveryCall::kWatch);
  }
  listener_->on_watch_failed(end.failure);
}

// The first change on a connection is older than the version that was requested: discovery has restarted, and
// its earlier changes since then are unknown as well.
void DiscoveryWatch::on_versions_restarted() {
  log_info("list_versions_restarted");
  mark_stale(connection_opened_at_);
  version_.reset();
  open(DiscoveryCall::kWatch);
}

void DiscoveryWatch::on_listed(const WatchEnd& end) {
  start_times_.set_list_current_until(end.responded_at);
  listener_->on_endpoints_listed(end.responded_at, end.failure.wait_time);
}

void DiscoveryWatch::on_malformed_list(const std::string& error) {
  if (!std::exchange(is_malformed_list_logged_, true)) log_warning("list_unreadable").with("problem", error);
}

}  // namespace thymewood::node
