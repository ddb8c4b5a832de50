// Case 8: a server drains while discovery, which is never down, turns the calls of the nodes away.
#include "../common-2/stand_ins.h"

namespace {

using namespace review;

constexpr int kNodes = 3, kServers = 10, kClientsOfANode = 3;
constexpr double kCrowded = 8;   // s; in so long discovery takes one call from every node, at the latest
constexpr double kTold = 6;      // s; after a change that discovery had and could be reached for
constexpr double kGrace = 1.05;  // s; rules.drainGrace and the 50 ms of sockets
constexpr double kWatched = 16;  // s; from the drain on

// A caller that is no node: it asks for the whole list each second, and shows that discovery can be reached.
void call_from_elsewhere(const Address& discovery, RecordFile& record, std::atomic<bool>& is_over) {
  while (!is_over) {
    sleep_for(1);
    auto connection = connect_to(discovery);
    Message message;
    const bool is_answered =
        connection && connection->write("GET /catalog/members HTTP/1.1\r\nHost: discovery\r\n\r\n") &&
        connection->read_message(message, now() + 1) == ReadEnd::kOk && message.status() == 200;
    record.add(std::string("another caller of discovery gets ") + (is_answered ? message.body : "no answer"));
  }
}

int play(const Environment& environment, RecordFile& record) {
  DeploymentOptions options;
  options.nodes = kNodes;
  options.servers = kServers;
  Deployment& deployment = *new Deployment(environment, record, options);
  if (!deployment.start()) return kCouldNotRun;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> threads;
  for (const auto& node : deployment.nodes) {
    for (int i = 0; i < kClientsOfANode; ++i) {
      threads.emplace_back([&is_over, &record, address = node->address()] {
        for (Client client(address, record); !is_over; sleep_for(0.05)) client.send({new_id()});
      });
    }
  }
  Discovery& discovery = *deployment.discovery;
  threads.emplace_back([&] { call_from_elsewhere(discovery.address(), record, is_over); });
  sleep_for(2);
  const double crowded_until = now() + kCrowded;
  if (environment.trouble) {
    discovery.set_crowded([=](const Discovery::Call& call) { return call.watch && now() < crowded_until; });
    discovery.reset_watches();
  }
  sleep_for(1);
  Entry drained = deployment.entries[0];
  drained.status = "draining";
  const double drained_at = now();
  discovery.change(drained);
  sleep_for(kWatched);
  is_over = true;
  for (std::thread& thread : threads) thread.join();
  deployment.end();

  int late = 0;
  double last = 0;
  for (const Attempt& attempt : deployment.servers[0]->attempts()) {
    last = std::max(last, attempt.first_byte_at - drained_at);
    if (attempt.first_byte_at - drained_at > kTold + kGrace) ++late;
  }
  report(record, "attempts at the draining server over " + seconds(kTold + kGrace) +
                     " s after discovery listed it: " + std::to_string(late) + "; the last one " +
                     seconds(last) + " s after");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main() { review::run_case(play); }
