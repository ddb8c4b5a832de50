// A discovery that restarts at its address and counts its versions from the start.
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

constexpr double kMaxDrainDelay = 7.05;  // s; notification delay, grace period and the protocol's tolerance

// Guards against drains that are never known: each change of the new process was taken for an older one.
TEST(RestartedDiscovery, ChangesAreNotTakenForOlderOnes) {
  FakeServer drained(respond_with(200, "ok"));
  const std::string draining = endpoint_json("s0", drained.address(), "draining");
  std::atomic<bool> is_drained = false, is_stopping = false;
  std::unique_ptr<ScriptedDiscovery> discovery;
  discovery = std::make_unique<ScriptedDiscovery>([&](RawConnection& connection, int call) {
    const std::string request = discovery->requests()[static_cast<std::size_t>(call)].text;
    connection.write(kWatchResponseHead);
    if (request.find("after=") == std::string::npos && is_drained)
      connection.write(http_chunk(endpoint_list_json(3, true, draining) + "\n"));
    for (bool has_told = false; !is_stopping; sleep_for(100ms)) {
      if (is_drained && !has_told)
        has_told = connection.write(http_chunk(endpoint_list_json(3, false, draining) + "\n"));
      if (!connection.write(http_chunk("\n"))) return;
    }
  });
  {
    WatchingNode node(*discovery, endpoint_list_json(41, true, endpoint_json("s0", drained.address())));
    ASSERT_TRUE(eventually([&] { return node.program->count_in_log("list_current") > 0; }));
    ASSERT_EQ(node.status(), 200);
    is_drained = true;
    const auto drain_start = SteadyClock::now();
    ASSERT_TRUE(eventually([&] { return node.status() == 503; }));
    EXPECT_LT(seconds_since(drain_start), kMaxDrainDelay);
  }
  is_stopping = true;
}

}  // namespace
}  // namespace thymewood::node
