// A failure detector with gossip between the nodes of a replica set. Pure: events in, datagrams and changes
// out; time and randomness are arguments. Times are seconds on any steady clock.
//
// SWIM (Das, Gupta, Motivala, DSN 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey:
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN-W 2018):
//   - prober.h: one peer is pinged per interval, directly and then through others;
//   - indirect_probe_relay.h: pings in place of others;
//   - record_merger.h, suspicion.h: a suspect has time to refute by raising its incarnation; the timeout
//   shrinks
//     with confirmations;
//   - gossip_queue.h, message_sender.h: records are piggybacked on these datagrams; a suspect is always sent
//   its
//     own record (Buddy System), and tables whose digests differ are exchanged piece by piece;
//   - local_health.h: a node whose own probes fail stretches its timeouts.
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
  // `sender`: the peer that has the datagram's source address, if any.
  [[nodiscard]] Outputs receive(double now, std::optional<NodeId> sender,
                                std::span<const std::uint8_t> bytes);
  // To be called at next_deadline() or later, after receive() for all datagrams that have arrived before.
  [[nodiscard]] Outputs on_timer(double now);
  [[nodiscard]] double next_deadline() const;
  // Announces this node's shutdown to all peers. It sends nothing more.
  [[nodiscard]] Outputs leave();

  // Of any node, this one included; incarnation 0 where nothing was heard.
  [[nodiscard]] const MemberRecord& record(NodeId id) const { return table_.at(id).record; }
  [[nodiscard]] std::size_t size() const { return table_.size(); }
  [[nodiscard]] int local_health() const { return health_.score(); }
  [[nodiscard]] const DetectorCounters& counters() const { return counters_; }
  // s; of the newest direct ping that was acked.
  [[nodiscard]] std::optional<double> round_trip_time(NodeId id) const {
    return table_.at(id).round_trip_time;
  }
  [[nodiscard]] ProbeSample recent_probes() const { return prober_.recent_probes(); }
  // Whether another process uses this node's id.
  [[nodiscard]] bool has_id_conflict() const { return merger_.has_id_conflict(); }

 private:
  [[nodiscard]] bool is_running() const { return is_started_ && !has_left_; }
  [[nodiscard]] Outputs take_outputs();
  // The message, where it is new and its sender is the peer at its source address.
  [[nodiscard]] std::optional<Message> admit(std::optional<NodeId> sender,
                                             std::span<const std::uint8_t> bytes);
  void count_dropped(DecodeError error);
  void handle(double now, const Message& message);
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
