// The real node, over loopback sockets.
#include "node_harness.h"

namespace marlspread::node {
namespace {

TEST(Node, ServesARequestUnchanged) {
  FakeServer server(replies(200, "the answer", "Content-Type: text/x-mark\r\n"));
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{.kind = "mark", .body = "payload", .timeout = "9000", .key = "k-77"}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 200) << answer;
  EXPECT_EQ(body_of(answer), "the answer");
  EXPECT_EQ(field_of(answer, "Content-Type"), "text/x-mark");
  ASSERT_EQ(server.requests().size(), 1U);
  const std::string request = server.requests()[0];
  EXPECT_EQ(request.rfind("POST /mark/k1?x=1 HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_EQ(field_of(request, "X-Request-ID"), "r1");
  EXPECT_EQ(field_of(request, "Idempotency-Key"), "k-77");
  EXPECT_EQ(body_of(request), "payload");
  // What the node will wait, which is less than what the client does.
  const int waits = std::stoi(field_of(request, "X-Timeout-Ms"));
  EXPECT_GT(waits, 0);
  EXPECT_LT(waits, 9000);
}

TEST(Node, KeepsConnectionsOnBothSides) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server});
  Wire client = d.client();
  for (int i = 0; i < 5; ++i) {
    client.write(Ask{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_EQ(server.listener().accepted(), 1);
}

// Outcomes, as the protocol's table has them: what never ran may be tried again, also for an unsafe class.
TEST(Outcomes, TurnedAwayUnseenIsTriedAgain) {
  FakeServer full(replies(503, "", "X-Not-Processed: 1\r\n"));
  Deployment d({&full});
  Wire client = d.client();
  client.write(Ask{}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 503);
  EXPECT_FALSE(field_of(answer, "Retry-After").empty());
  EXPECT_EQ(full.requests().size(), 2U) << "one further attempt is saved up at the start";
}

void expect_failed_once(const FakeServer::Reply& reply) {
  FakeServer server(reply);
  Deployment d({&server});
  Wire client = d.client();
  client.write(Ask{}.text());
  const std::string answer = client.read_message();
  EXPECT_EQ(status_of(answer), 502) << answer;
  EXPECT_EQ(server.requests().size(), 1U) << "an unsafe request that may have run is not sent again";
  EXPECT_TRUE(d.program->running());
}

TEST(Outcomes, ErrorMayHaveRun) { expect_failed_once(replies(500, "no")); }
TEST(Outcomes, UnmarkedUnavailableMayHaveRun) { expect_failed_once(replies(503, "no")); }
TEST(Outcomes, AnotherMarkIsNoMark) { expect_failed_once(replies(504, "no", "X-Not-Processed: 0\r\n")); }
TEST(Outcomes, OtherStatusMayHaveRun) { expect_failed_once(replies(404, "no", "X-Not-Processed: 1\r\n")); }
TEST(Outcomes, ClosedWithoutAnAnswerMayHaveRun) {
  expect_failed_once([](Wire&, const std::string&) { return false; });
}
TEST(Outcomes, ResetMayHaveRun) {
  expect_failed_once([](Wire& wire, const std::string&) {
    const linger hard{1, 0};
    ::setsockopt(wire.fd(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    return false;
  });
}
TEST(Outcomes, CutShortMayHaveRun) {
  expect_failed_once([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    return false;
  });
}
TEST(Outcomes, NoLengthAndNoWordOfClosingIsCutShort) {
  expect_failed_once([](Wire& wire, const std::string&) {
    wire.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    return false;
  });
}
TEST(Outcomes, NoiseMayHaveRun) {
  expect_failed_once(
      [](Wire& wire, const std::string&) { return wire.write(std::string("\0\x7f~?\r\n\r\n", 8)); });
}
TEST(Outcomes, HeadWithoutEndMayHaveRun) {
  expect_failed_once([](Wire& wire, const std::string&) {
    return wire.write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * 1024, 'x'));
  });
}
TEST(Outcomes, BodyBeyondTheLimitMayHaveRun) {
  expect_failed_once([](Wire& wire, const std::string&) {
    return wire.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
  });
}

}  // namespace
}  // namespace marlspread::node
