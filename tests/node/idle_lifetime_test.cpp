// The idle lifetime estimate, and its effect on requests over connections that may have been dropped while
// idle.
#include "idle_lifetime.h"

#include <gtest/gtest.h>

#include <atomic>
#include <cmath>

#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(IdleLifetime, IsUnlimitedWhileFewConnectionsAreReset) {
  IdleLifetimeEstimate estimate;
  for (int i = 0; i < 1000; ++i) estimate.record_use(i * 0.1, 0.3, i % 100 == 0);
  EXPECT_TRUE(std::isinf(estimate.max_idle(100)));
}

TEST(IdleLifetime, FrequentResetsLimitItToHalfTheShortestIdleTimeThatWasReset) {
  IdleLifetimeEstimate estimate;
  for (int i = 0; i < 200; ++i)
    estimate.record_use(i * 0.01, i % 10 == 0 ? 0.2 + i * 0.01 : 0.01, i % 10 == 0);
  EXPECT_GT(estimate.max_idle(2), 0.09);
  EXPECT_LT(estimate.max_idle(2), 0.13)
      << "half of the shortest idle time that was reset, slightly increased since";
}

TEST(IdleLifetime, RecoversByTimeAndByUse) {
  IdleLifetimeEstimate estimate;
  estimate.record_use(0, 0.2, true);
  estimate.record_use(0, 0.2, true);
  EXPECT_NEAR(estimate.max_idle(0), 0.1, 1e-9);
  EXPECT_NEAR(estimate.max_idle(10), 0.2, 1e-9);
  for (int i = 0; i < 40; ++i) estimate.record_use(10, 0.05, false);
  EXPECT_TRUE(std::isinf(estimate.max_idle(10)));
}

// Resets each connection at its second request, like a middlebox that drops the state of idle connections.
FakeServer::Handler resets_second_requests() {
  return [requests = std::make_shared<std::map<int, int>>()](RawConnection& connection, const std::string&) {
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    if ((*requests)[connection.fd()]++ % 2 == 1) {
      const linger reset_on_close{1, 0};
      ::setsockopt(connection.fd(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
      return false;
    }
    return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  };
}

TEST(IdleLifetime, NonIdempotentRequestsAvoidConnectionsThatAreDroppedWhileIdle) {
  FakeServer server(resets_second_requests());
  Deployment d({&server});
  RawConnection client = d.client();
  int failed = 0;
  for (int i = 0; i < 40; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    failed += status_of(client.read_message()) != 200;
    std::this_thread::sleep_for(10ms);  // the idle time under test
  }
  EXPECT_GE(failed, 1);
  EXPECT_LE(failed, 8) << "without the estimate every second request fails";
}

TEST(IdleLifetime, NewConnectionIsUsedHoweverShortTheEstimateIs) {
  FakeServer server(resets_second_requests());
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 200; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i), .timeout = "3000"}.text());
    const int status = status_of(client.read_message());
    ASSERT_TRUE(status == 200 || status == 502) << status << " for request " << i;
  }
}

}  // namespace
}  // namespace thymewood::node
