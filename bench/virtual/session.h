// One run of a scenario in virtual time: its state and event handlers. session.cpp implements the event loop,
// session_clients.cpp the clients, session_requests.cpp requests at a node, session_replicas.cpp the node's
// replicas and session_servers.cpp the servers.
//
// Indices run over both tiers: servers of the first tier come first, then those of the second; replicas of
// the first tier come first, then the sidecars through which first-tier servers call the second tier.
#pragma once

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "event_queue.h"
#include "player.h"
#include "records.h"
#include "rule_monitor.h"
#include "thymewood/balancer.h"

namespace thymewood::bench {

class Session {
 public:
  Session(const Scenario& scenario, Front front, std::uint64_t seed);
  Report play();

 private:
  // ---- event loop
  void schedule_initial_events();
  void push(double at, Event::Kind kind, std::size_t index, std::uint64_t tag = 0);
  void dispatch(const Event& e);
  double one_way_delay();
  void end_second(Second& s);

  // ---- clients
  std::size_t new_request();
  void offer(std::size_t at);
  int draw_replica();
  void begin_request(std::size_t client, int replica);
  void begin_flood(std::size_t flood);
  double attempt_timeout(const RequestState& r) const;
  bool schedule_client_retry(const RequestState& r, double response_at, double advised);
  void begin_client_retry(std::size_t from);
  void complete_for_client(std::size_t at, Final result, double response_at, double retry_after);
  void count(const RequestState& r, double Second::*second, double Report::*all,
             double TenantPart::*tenant = nullptr);

  // ---- requests at a node
  void at_node(std::size_t at);
  bool find_live_replica(RequestState& r) const;
  void fail_without_response(std::size_t at);
  void send_direct(std::size_t at);
  void send_by_oracle(std::size_t at);
  double expected_end(std::size_t server) const;
  void send(std::size_t request, std::size_t server, double timeout);
  void attempt_ended(std::size_t at, Outcome outcome);
  void complete_request(std::size_t at, Final result, double retry_after);
  void free_if_finished(std::size_t at);

  // ---- replicas
  void start_replica(int replica);
  void end_replica(int replica);
  void notify(int replica, const thymewood::Event& event);
  void act(int replica, const Send& a);
  void act(int replica, const Reject& a);
  void act(int replica, const Fail& a);
  void act(int replica, const Cancel& a);
  void act(int replica, const SetTimer& a);
  void act(int replica, const WatchEndpoints& a);
  void act(int replica, const ListEndpoints& a);
  void act(int replica, const SheddingReport& a);
  void finish_request(const std::string& id, Final result, double retry_after);
  void record_concurrency_limit(Second& s) const;

  // ---- servers
  struct Range {
    std::size_t first = 0, end = 0;
  };
  bool has_second_tier_calls(std::size_t server) const {
    return scenario_.chain.calls > 0 && server < first_tier_;
  }
  int tier_of(const RequestState& r) const { return r.parent == kNone ? 0 : 1; }
  Range servers_of(int tier) const;
  int sidecar_of(std::size_t server) const { return scenario_.replicas + static_cast<int>(server); }
  const ScenarioServer& server_config(std::size_t server) const;
  double mean_work(int tier) const;  // s, per request to the tier; includes calls to the second tier
  double capacity() const;           // requests per second that the running servers could complete now
  Endpoint endpoint_of(std::size_t at, EndpointState state) const;
  void at_server(std::size_t at);
  void leave_unanswered(std::size_t at);
  void begin_work(std::size_t at);
  void release_slot(std::size_t server);
  void advance_server(std::size_t server);
  void schedule_progress(std::size_t server);
  void return_result(std::size_t at, Outcome outcome);
  void call_second_tier(std::size_t at);
  void call_ended(std::size_t at);
  void end_calls(std::size_t at, Outcome outcome);
  bool is_awaited(const AttemptState& a) const;
  void report_work(const AttemptState& a);
  void change(const Change& c);
  void stop_server(std::size_t server);
  void restart(const Change& c);
  void reset_requests(std::size_t server);
  void notify_change(const Change& c);

  // The state of one server, besides its capacity model.
  struct ServerState {
    bool up = true, routable = true;
    double started = 0;
    double failure_share = 0, silent_share = 0;  // the shares of requests that it fails or never responds to
    int in_flight = 0;                           // attempts sent to it that it has not completed
    std::uint64_t generation = 0;                // of the valid kServerProgress event; earlier ones are stale
    int used_slots = 0;             // in use by requests that are processed or wait for the second tier
    std::deque<std::size_t> queue;  // attempts that wait for a slot
    std::set<std::size_t> calling_attempts;  // attempts that wait for the second tier
  };

  // Maximum, as a share of the one-way delay; keeps requests from moving in lockstep.
  static constexpr double kNetJitter = 0.2;

  const Scenario& scenario_;
  Front front_;
  Random random_;
  Arrivals arrivals_;
  std::size_t first_tier_;  // number of servers
  RuleMonitor rules_;
  double mean_work_;
  double now_ = 0;
  std::uint64_t last_request_id_ = 0, open_requests_ = 0;
  double in_flight_ = 0;
  std::size_t next_server_[2] = {0, 0};  // of kDirect, by tier
  EventQueue events_;
  std::vector<ServerModel> models_;
  std::vector<ServerState> server_states_;
  std::vector<std::unique_ptr<Balancer>> replicas_;
  std::vector<ClosedLoopClient> closed_loop_clients_;
  RecordPool<RequestState> requests_;
  RecordPool<RequestState> pending_retries_;  // requests that were not served, until the client retries them
  RecordPool<AttemptState> attempts_;
  std::unordered_map<std::string, std::size_t> by_id_;
  Report report_;
};

}  // namespace thymewood::bench
