#include "peer_report.h"

#include <algorithm>
#include <sstream>

namespace thymewood::node {
namespace {

using membership::Connectivity;
using membership::DetectorCounters;
using membership::ReplicaSetView;

constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMinUptime = 1e-3;  // s

// The report uses its own names, which differ from those in the log, for compatibility with its consumers.
const char* reported_name_of(Connectivity connectivity) {
  switch (connectivity) {
    case Connectivity::kStandalone:
      return "alone";
    case Connectivity::kPartitioned:
      return "cut off";
    case Connectivity::kPartial:
      return "part";
    case Connectivity::kComplete:
      return "whole";
  }
  return "unknown";
}

void write_view(std::ostream& out, const ReplicaSetView& view) {
  out << "\"epoch\":" << view.epoch << ",\"confidence\":\"" << reported_name_of(view.connectivity)
      << "\",\"rank\":" << view.rank << ",\"live\":" << view.live_count << ",\"bound\":" << view.max_count
      << ",\"reached\":" << view.reachable_count << ",\"told\":" << view.configured_count
      << ",\"moving\":" << (view.is_settling ? "true" : "false");
}

void write_counters(std::ostream& out, const DetectorCounters& counters, std::uint64_t send_failures,
                    double uptime) {
  const auto bytes = static_cast<double>(counters.sent_bytes + counters.received_bytes);
  out << ",\"bytes_a_second\":" << bytes / std::max(kMinUptime, uptime) << ",\"sent\":" << counters.sent
      << ",\"unsent\":" << send_failures << ",\"came\":" << counters.received
      << ",\"pings\":" << counters.pings << ",\"unanswered\":" << counters.unacked_probes
      << ",\"helped\":" << counters.indirect_acks << ",\"suspicions\":" << counters.suspicions
      << ",\"cleared\":" << counters.refuted_suspicions << ",\"failures\":" << counters.failures
      << ",\"objections\":" << counters.local_refutations << ",\"aways\":" << counters.loop_pauses;
}

void write_dropped(std::ostream& out, const DetectorCounters& counters) {
  out << ",\"dropped\":{\"short\":" << counters.too_short << ",\"long\":" << counters.too_long
      << ",\"strange\":" << counters.invalid_magic << ",\"newer\":" << counters.unsupported_versions
      << ",\"other_fleet\":" << counters.replica_set_mismatches
      << ",\"damaged\":" << counters.checksum_mismatches << ",\"senseless\":" << counters.invalid_fields
      << ",\"strangers\":" << counters.source_address_mismatches << ",\"repeated\":" << counters.duplicates
      << ",\"old\":" << counters.stale_incarnations << '}';
}

void write_peers(std::ostream& out, const membership::Detector& detector) {
  out << ",\"peers\":[";
  for (std::size_t i = 0; i < detector.size(); ++i) {
    const auto id = static_cast<membership::NodeId>(i);
    const membership::MemberRecord& record = detector.record(id);
    out << (i == 0 ? "" : ",") << "{\"number\":" << record.id << ",\"state\":\""
        << membership::name_of(record.state) << "\",\"zone\":" << static_cast<int>(record.zone)
        << ",\"incarnation\":" << record.incarnation;
    if (const auto seconds = detector.round_trip_time(id))
      out << ",\"round_trip_ms\":" << *seconds * kMillisecondsPerSecond;
    out << '}';
  }
  out << ']';
}

}  // namespace

std::string peer_report(const membership::Detector& detector, const ReplicaSetView& view,
                        std::uint64_t send_failures, double uptime) {
  std::ostringstream out;
  out << '{';
  write_view(out, view);
  out << ",\"doubt\":" << detector.local_health();
  write_counters(out, detector.counters(), send_failures, uptime);
  write_dropped(out, detector.counters());
  write_peers(out, detector);
  out << '}';
  return out.str();
}

}  // namespace thymewood::node
