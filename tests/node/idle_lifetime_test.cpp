// Connections that were dropped while they stood idle, and what is still sent on those that may have been.
#include "idle_lifetime.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cmath>

#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(IdleTrust, FewDropsChangeNothing) {
  IdleTrust trust;
  for (int i = 0; i < 1000; ++i) trust.used(i * 0.1, 0.3, i % 100 == 0);
  EXPECT_TRUE(std::isinf(trust.longest(100)));
}

TEST(IdleTrust, ManyDropsBoundTheIdlingByTheShortestThatWasDropped) {
  IdleTrust trust;
  for (int i = 0; i < 200; ++i) trust.used(i * 0.01, i % 10 == 0 ? 0.2 + i * 0.01 : 0.01, i % 10 == 0);
  EXPECT_GT(trust.longest(2), 0.09);
  EXPECT_LT(trust.longest(2), 0.13) << "half of it, drifting up a little";
}

TEST(IdleTrust, TrustReturnsByTimeAndByUse) {
  IdleTrust trust;
  trust.used(0, 0.2, true);
  trust.used(0, 0.2, true);
  EXPECT_NEAR(trust.longest(0), 0.1, 1e-9);
  EXPECT_NEAR(trust.longest(10), 0.2, 1e-9);
  for (int i = 0; i < 40; ++i) trust.used(10, 0.05, false);
  EXPECT_TRUE(std::isinf(trust.longest(10)));
}

// A server that resets each connection on which it has answered once, at the next request: as one does that
// sits behind something which forgets idle connections.
FakeServer::Reply forgetful() {
  return [answered = std::make_shared<std::map<int, int>>()](Wire& wire, const std::string&) {
    static std::mutex guard;
    const std::lock_guard lock(guard);
    if ((*answered)[wire.fd()]++ % 2 == 1) {
      const linger hard{1, 0};
      ::setsockopt(wire.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      return false;
    }
    return wire.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
}

// Danger: each of these resets loses a request that may not be sent twice.
TEST(IdleTrust, UnsafeRequestsLeaveConnectionsThatAreDroppedWhileIdle) {
  FakeServer server(forgetful());
  Deployment d({&server});
  Wire client = d.client();
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    failed += status_of(client.read_message()) != 200;
    std::this_thread::sleep_for(10ms);  // idling is what this is about
  }
  EXPECT_GE(failed, 1);
  EXPECT_LE(failed, 8) << "every second one would be lost";
}

// Danger: a new connection that counts as too old leaves its request to wait for nothing until its time is
// up.
TEST(IdleTrust, ANewConnectionIsTakenHoweverShortIdlingIsTrusted) {
  FakeServer server(forgetful());
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 200; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i), .timeout = "3000"}.text());
    const int status = status_of(client.read_message());
    ASSERT_TRUE(status == 200 || status == 502) << status << " to request " << i;
  }
}

}  // namespace
}  // namespace thymewood::node
