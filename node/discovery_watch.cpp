#include "discovery_watch.h"

#include <stdexcept>
#include <utility>

#include "event_log.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// What a watch misses counts as notified 6 s after it fell silent. By then the next connection has to have a
// response and, where that one is accepted and stays silent, the one after it: the first two timeouts add up
// to 6 s.
constexpr double kSilenceTimeout =
    2.9;  // s; a blank line comes every 2 s: one that is missed, and some delay
constexpr double kResponseTimeout = 3.1;  // s; discovery queues a call for 3 s at most
// Silent connections in a row that are replaced this early. Where blank lines come late for all replicas,
// more calls would keep discovery busy and the lines late.
constexpr int kMaxEarlyReplacements = 2;
constexpr double kLateSilenceTimeout = 4.5;  // s; after those
constexpr double kStableConnectionAge = 10;  // s; a connection that lasted so long ends the row

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

// A timer for a new watch may have been set before discovery moved. A second call would cost a place in
// discovery's queue, and the first call's response with it.
void DiscoveryWatch::watch() {
  if (!connection_) open();
}

void DiscoveryWatch::refresh() {
  if (const std::shared_ptr<DiscoveryConnection> connection = connection_) connection->read_available();
}

void DiscoveryWatch::recover() {
  if (connection_) become_stale(connection_->heard_at());
  open();
}

void DiscoveryWatch::open() {
  if (connection_) connection_->abandon();
  connection_ = std::make_shared<DiscoveryConnection>(io_, clock_, static_cast<Owner&>(*this));
  opened_at_ = clock_.now();
  if (LogEvent line = log_info("watch_started"); version_) line.with("index", *version_);
  connection_->start(address_, version_);
}

void DiscoveryWatch::move_to(const tcp::endpoint& address) {
  if (address == address_ && connection_) return;
  // What the old address has sent counts, read or not.
  refresh();
  if (connection_) become_stale(connection_->heard_at());
  address_ = address;
  // The two addresses may count versions differently, so the complete list is requested.
  version_.reset();
  silent_connections_ = 0;
  listener_->on_discovery_moved();
  open();
}

double DiscoveryWatch::silence_timeout(bool has_response) const {
  if (silent_connections_ >= kMaxEarlyReplacements) return kLateSilenceTimeout;
  return has_response ? kSilenceTimeout : kResponseTimeout;
}

void DiscoveryWatch::on_response_started(std::string_view date) {
  start_times_.set_discovery_time(clock_.reading(), parse_http_date(date));
}

// What comes now has changed since the previous data.
void DiscoveryWatch::on_data(double previous) {
  if (is_current_) start_times_.set_list_current_until(previous);
}

// Anything that discovery sends, a blank line too, shows that it is there: there may be no change to send.
void DiscoveryWatch::on_caught_up() {
  if (std::exchange(is_current_, true)) return;
  log_info("list_current");
  listener_->on_list_current();
}

void DiscoveryWatch::become_stale(double heard_at) {
  if (!std::exchange(is_current_, false)) return;
  log_info("list_stale").with("for", clock_.now() - heard_at);
  start_times_.set_list_current_until(heard_at);
  listener_->on_list_stale(heard_at);
}

void DiscoveryWatch::on_object(DiscoveryConnection& from, std::string_view object) {
  EndpointList update;
  try {
    rapidjson::Document in;
    in.Parse<rapidjson::kParseIterativeFlag>(object.data(), object.size());
    if (in.HasParseError()) throw std::runtime_error("not valid JSON");
    update = read_endpoint_list(in, zones_, clock_.reading(), start_times_);
  } catch (const std::exception& problem) {
    // The last list stays. This change is missed, so the next watch starts from before it.
    on_unreadable(std::string("discovery: ") + problem.what());
    return from.end(WatchEndReason::kMalformedList);
  }
  if (update.problem.empty()) {
    has_warned_ = false;
  } else {
    on_unreadable("discovery: " + update.problem);
  }
  // An older change would undo a later one, such as a drain. A complete list counts whatever its version:
  // discovery may have started to count anew.
  if (!update.is_full && version_ && update.version < *version_) return;
  version_ = update.version;
  log_info("list_received")
      .with("index", update.version)
      .with("full", update.is_full)
      .with("entries", std::uint64_t{update.endpoints.size()});
  listener_->on_endpoints(update);
}

void DiscoveryWatch::on_ended(DiscoveryConnection& from, const WatchEnd& end) {
  if (connection_.get() != &from) return;
  const std::shared_ptr<DiscoveryConnection> ended = std::exchange(connection_, nullptr);
  become_stale(end.heard_at);
  if (clock_.now() - opened_at_ >= kStableConnectionAge) silent_connections_ = 0;
  // A backoff would add to the time that the silence has taken already, and replicas notice the silence at
  // different times anyway.
  if (end.reason == WatchEndReason::kSilent && silent_connections_++ < kMaxEarlyReplacements) return open();
  listener_->on_watch_failed(end.failure);
}

void DiscoveryWatch::on_unreadable(const std::string& problem) {
  if (!std::exchange(has_warned_, true)) log_warning("list_unreadable").with("problem", problem);
}

}  // namespace thymewood::node
