// Case 3: discovery is down for some seconds, and a server begins to drain shortly after its return.
#include <algorithm>
#include <string>
#include <vector>

#include "../common/deployment.h"

namespace {

constexpr int kNodes = 3;
constexpr int kServers = 14;
constexpr int kClientsPerNode = 24;
constexpr std::size_t kRounds = 6;

// Seconds. A round: a quiet time, an outage, its end, the drain, the end of the drained server's process.
constexpr double kQuiet = 2.5;
constexpr double kOutage = 3;
constexpr double kDrainAfterReturn = 0.2;
constexpr double kEndAfterDrain = 8;
constexpr double kRoundEnd = 2.6;

// Seconds. A change counts as told 6 s after discovery had it and could be reached; new work has to end
// within the grace of the settings, each limit being 50 ms longer on sockets. A node may be held up for up to
// 0.15 s.
constexpr double kToldAfter = 6, kGrace = 1, kSocketSlack = 0.05, kHeldUp = 0.15;
constexpr double kLastSend = kToldAfter + kGrace + kSocketSlack + kHeldUp;

struct Drain {
  std::string server;
  double at = 0;
};

void play_round(review::Discovery& discovery, review::Server& server, bool has_trouble,
                std::vector<Drain>& drains) {
  review::sleep_until(review::now() + kQuiet);
  if (has_trouble) discovery.go_down();
  review::sleep_until(review::now() + kOutage);
  if (has_trouble) discovery.come_back();
  review::sleep_until(review::now() + kDrainAfterReturn);
  discovery.set_status(server.name(), "draining");
  drains.push_back({server.name(), review::now()});
  review::sleep_until(drains.back().at + kEndAfterDrain);
  server.end();
  discovery.set_status(server.name(), "removed");
  review::sleep_until(review::now() + kRoundEnd);
}

std::size_t count_late_sends(review::Ledger& ledger, const std::vector<Drain>& drains) {
  std::size_t count = 0;
  for (const review::Run& run : ledger.runs()) {
    const auto drain =
        std::find_if(drains.begin(), drains.end(), [&](const Drain& d) { return d.server == run.server; });
    if (drain == drains.end() || run.at <= drain->at + kLastSend) continue;
    ++count;
    ledger.note("BROKEN id=" + run.id + " sent to " + run.server + " " + std::to_string(run.at - drain->at) +
                " s after it began to drain");
  }
  return count;
}

int play(const review::Arguments& arguments) {
  review::DeploymentOptions options;
  options.nodes = kNodes;
  options.servers = kServers;
  options.server.keyed_time = 0.12;
  options.server.unsafe_time = 0.5;
  review::Ledger ledger(arguments.record_path);
  review::Deployment deployment(arguments.folder, options, ledger);
  if (!deployment.wait_until_healthy()) return 2;
  deployment.start_clients(kClientsPerNode);
  std::vector<Drain> drains;
  for (std::size_t round = 0; round < kRounds; ++round) {
    play_round(deployment.discovery(), deployment.server(round), arguments.has_trouble, drains);
  }
  deployment.stop_clients();
  const std::size_t late = count_late_sends(ledger, drains);
  ledger.note("requests sent to draining servers after the limit: " + std::to_string(late));
  ledger.write_summary();
  if (ledger.count(review::AnswerKind::kServed) == 0) return 2;
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return review::run_scenario(argc, argv, play); }
