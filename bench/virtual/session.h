// One run of a scenario in virtual time: its state, and what each event does to it. session.cpp has the order
// of events, session_clients.cpp the clients, session_requests.cpp requests at a node, session_replicas.cpp
// the node's replicas and session_servers.cpp the servers.
//
// Servers and replicas are numbered through: first-tier servers come first, then those of the second tier;
// replicas of the first tier first, then the sidecar of each first-tier server, by which it calls the second.
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
  // ---- the order of events
  void schedule_initial_events();
  void push(double at, Event::Kind kind, std::size_t what, std::uint64_t extra = 0);
  void dispatch(const Event& e);
  double travel();
  void end_second(Second& s);

  // ---- clients
  std::size_t new_request();
  void offer(std::size_t at);
  int draw_replica();
  void begin_request(std::size_t client, int replica);
  void begin_flood(std::size_t flood);
  double attempt_timeout(const RequestState& r) const;
  bool schedule_client_retry(const RequestState& r, double back, double advised);
  void begin_client_retry(std::size_t from);
  void complete_for_client(std::size_t at, Final how, double back, double retry_after);
  void count(const RequestState& r, double Second::*second, double Report::*all,
             double TenantPart::*tenant = nullptr);

  // ---- requests at a front
  void at_node(std::size_t at);
  bool find_live_replica(RequestState& r) const;
  void fail_unheard(std::size_t at);
  void send_direct(std::size_t at);
  void send_by_oracle(std::size_t at);
  double expected_end(std::size_t server) const;
  void send(std::size_t request, std::size_t server, double timeout);
  void attempt_ended(std::size_t at, Outcome outcome);
  void answer(std::size_t at, Final how, double retry_after);
  void free_if_over(std::size_t at);

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
  void act(int replica, const SheddingReport& a);
  void finish_request(const std::string& id, Final how, double retry_after);
  void record_concurrency_limit(Second& s) const;

  // ---- servers, session_servers.cpp
  struct Range {
    std::size_t first = 0, end = 0;
  };
  bool chained(std::size_t server) const { return scenario_.chain.calls > 0 && server < first_tier_; }
  int tier_of(const RequestState& r) const { return r.parent == kNone ? 0 : 1; }
  Range servers_of(int tier) const;
  int sidecar_of(std::size_t server) const { return scenario_.replicas + static_cast<int>(server); }
  const ScenarioServer& spec(std::size_t server) const;
  double mean_work(int tier) const;  // s, of what the replicas of that tier send; calls on included
  double capacity() const;           // requests a second that the servers that are up could end now
  Endpoint endpoint_of(std::size_t at, EndpointState state) const;
  void at_server(std::size_t at);
  void stay_silent(std::size_t at);
  void begin_work(std::size_t at);
  void give_slot(std::size_t server);
  void advance_server(std::size_t server);
  void plan(std::size_t server);
  void return_result(std::size_t at, Outcome outcome);
  void call_second_tier(std::size_t at);
  void call_ended(std::size_t at);
  void end_calls(std::size_t at, Outcome outcome);
  bool is_awaited(const AttemptState& a) const;
  void report_work(const AttemptState& a);
  void change(const Change& c);
  void stop_server(std::size_t server);
  void restart(const Change& c);
  void lose_work(std::size_t server);
  void notify_change(const Change& c);

  // What stands at one place, beside its model of work.
  struct Place {
    bool up = true, wanted = true;
    double started = 0;
    double fails = 0, mute = 0;     // the part of its calls that it fails, or never answers
    int out = 0;                    // attempts sent to it that have not ended there
    std::uint64_t generation = 0;   // which planned act is the valid one
    int slots = 0;                  // in use by requests that run or wait for the second tier
    std::deque<std::size_t> queue;  // attempts that wait for a slot
    std::set<std::size_t> calling;  // attempts that wait for the second tier
  };

  static constexpr double kNetJitter =
      0.2;  // of a one-way delay, at most, so that requests do not go in step

  const Scenario& scenario_;
  Front front_;
  Random random_;
  Arrivals arrivals_;
  std::size_t first_tier_;  // how many servers
  RuleMonitor rules_;
  double mean_work_;
  double now_ = 0;
  std::uint64_t begun_ = 0, unanswered_ = 0;
  double in_flight_ = 0;
  std::size_t next_[2] = {0, 0};  // the direct front's turn at each tier
  EventQueue events_;
  std::vector<ServerModel> models_;
  std::vector<Place> places_;
  std::vector<std::unique_ptr<Balancer>> replicas_;
  std::vector<ClosedLoopClient> closed_loop_clients_;
  RecordPool<RequestState> requests_;
  RecordPool<RequestState> pending_retries_;  // attempts that were not served, until they come again
  RecordPool<AttemptState> attempts_;
  std::unordered_map<std::string, std::size_t> by_id_;
  Report report_;
};

}  // namespace thymewood::bench
