// A failure detector with gossip between the nodes of a replica set. It does no I/O: it takes received
// datagrams and timer events, and returns datagrams to send and membership changes. The caller passes the
// time (seconds on any steady clock) and the random seed.
//
// Implements SWIM (Das, Gupta, Motivala, DSN 2002) with the Lifeguard extensions (Dadgar, Phillips, Currey:
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018):
//   - prober.h: pings one peer per interval, first directly, then through other nodes;
//   - indirect_probe_relay.h: pings a peer on behalf of another node;
//   - record_merger.h, suspicion.h: a suspect may refute the suspicion by raising its incarnation; the
//     suspicion timeout shrinks as other nodes confirm it;
//   - gossip_queue.h, message_sender.h: records are piggybacked on all of these datagrams; a suspect is
//     always sent its own record (Lifeguard's Buddy System); nodes whose table digests differ exchange their
//     tables, a part per datagram;
//   - local_health.h: a node whose own probes fail extends its timeouts.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "codec.h"
#include "detector_config.h"
#include "detector_output.h"
#include "gossip_queue.h"
#include "indirect_probe_relay.h"
#include "local_health.h"
#include "member_table.h"
#include "message_sender.h"
#include "prober.h"
#include "record_merger.h"

namespace thymewood::membership {

class Detector {
 public:
  using Outputs = std::vector<Output>;

  // Throws InvalidDetectorConfig.
  Detector(const LocalNode& local, const DetectorConfig& config, std::uint64_t seed);
  Detector(const Detector&) = delete;
  Detector& operator=(const Detector&) = delete;

  void start(double now);
  // Processes a received datagram. `sender` is the peer at its source address, if there is one.
  [[nodiscard]] Outputs receive(double now, std::optional<NodeId> sender,
                                std::span<const std::uint8_t> bytes);
  // Must be called at next_deadline() or later, after receive() for every datagram that has already arrived.
  [[nodiscard]] Outputs on_timer(double now);
  [[nodiscard]] double next_deadline() const;
  // Announces this node's shutdown to all peers; the detector sends nothing afterwards.
  [[nodiscard]] Outputs leave();

  // The record of any node, including this one; its incarnation is 0 if the node is still unknown.
  [[nodiscard]] const MemberRecord& record(NodeId id) const { return table_.at(id).record; }
  [[nodiscard]] std::size_t size() const { return table_.size(); }
  [[nodiscard]] int local_health() const { return health_.score(); }
  [[nodiscard]] const DetectorCounters& counters() const { return counters_; }
  // Round-trip time of the latest acknowledged direct ping, in seconds.
  [[nodiscard]] std::optional<double> round_trip_time(NodeId id) const {
    return table_.at(id).round_trip_time;
  }
  [[nodiscard]] ProbeSample recent_probes() const { return prober_.recent_probes(); }
  // Whether another process uses this node's id.
  [[nodiscard]] bool has_id_conflict() const { return merger_.has_id_conflict(); }

 private:
  [[nodiscard]] bool is_running() const { return is_started_ && !has_left_; }
  [[nodiscard]] Outputs take_outputs();
  // Returns the decoded message if it is new and its source address belongs to the node that it names as
  // sender, otherwise drops it.
  [[nodiscard]] std::optional<Message> decode_and_verify(std::optional<NodeId> sender,
                                                         std::span<const std::uint8_t> bytes);
  void count_dropped(DecodeError error);
  void on_message(double now, const Message& message);
  void recover_from_pause(double now, double duration);

  LocalNode local_;
  DetectorConfig config_;
  std::mt19937_64 random_;
  Outputs outputs_;
  DetectorCounters counters_;
  LocalHealth health_;
  MemberTable table_;
  GossipQueue gossip_;
  MessageSender sender_;
  RecordMerger merger_;
  Prober prober_;
  IndirectProbeRelay relay_;
  bool is_started_ = false;
  bool has_left_ = false;
};

}  // namespace thymewood::membership
