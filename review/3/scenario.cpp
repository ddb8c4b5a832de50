// Case 3: answers whose stated length is less than the body that follows.
#include "../common/deployment.h"

namespace {

constexpr int kClients = 36;
constexpr double kLength = 20;  // s

int play(const review::Arguments& arguments) {
  review::DeploymentOptions options;
  options.server.keyed_time = 0.08;
  options.server.unsafe_time = 0.18;
  options.server.short_length_share = arguments.has_trouble ? 0.02 : 0;
  review::Ledger ledger(arguments.record_path);
  review::Deployment deployment(arguments.folder, options, ledger);
  if (!deployment.wait_until_healthy()) return 2;
  deployment.start_clients(kClients);
  review::sleep_until(review::now() + kLength);
  deployment.stop_clients();
  ledger.note("spoilt answers sent: " + std::to_string(deployment.short_lengths()));
  ledger.write_summary();
  if (ledger.count(review::AnswerKind::kServed) == 0) return 2;
  return ledger.count(review::AnswerKind::kForeign) > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return review::run_scenario(argc, argv, play); }
