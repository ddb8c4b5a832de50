// Requests that violate the protocol are rejected with the right status and never forwarded.
#include "node_harness.h"

namespace thymewood::node {
namespace {

void expect_rejected(const std::string& request, int status) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(request);
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), status) << response;
  EXPECT_TRUE(server.requests().empty()) << "never forwarded";
  EXPECT_TRUE(d.program->running());
}

TEST(InvalidRequest, Malformed) { expect_rejected("\x01\x02 what?\r\n\r\n", 400); }
TEST(InvalidRequest, MissingId) { expect_rejected(ClientRequest{.id = ""}.text(), 400); }
TEST(InvalidRequest, TwoIds) {
  expect_rejected(ClientRequest{.headers = "X-Request-ID: r2\r\n"}.text(), 400);
}
TEST(InvalidRequest, UnknownClass) { expect_rejected(ClientRequest{.request_class = "dance"}.text(), 400); }
TEST(InvalidRequest, ClassNotOfThePath) { expect_rejected(ClientRequest{.path = "/mark/k1"}.text(), 400); }
TEST(InvalidRequest, UnknownPath) { expect_rejected("GET /ping HTTP/1.1\r\nHost: a\r\n\r\n", 404); }
TEST(InvalidRequest, TimeoutNotANumber) { expect_rejected(ClientRequest{.timeout = "soon"}.text(), 400); }
TEST(InvalidRequest, NegativeTimeout) { expect_rejected(ClientRequest{.timeout = "-5"}.text(), 400); }
TEST(InvalidRequest, TimeoutWithSuffix) { expect_rejected(ClientRequest{.timeout = "50ms"}.text(), 400); }
TEST(InvalidRequest, TimeoutOutOfRange) {
  expect_rejected(ClientRequest{.timeout = "99999999999999999999"}.text(), 400);
}
TEST(InvalidRequest, KeyOnNonIdempotentClass) { expect_rejected(ClientRequest{.key = "k"}.text(), 400); }
TEST(InvalidRequest, MissingKey) { expect_rejected(ClientRequest{.request_class = "mark"}.text(), 400); }
TEST(InvalidRequest, GetOnNonIdempotentClass) {
  expect_rejected(ClientRequest{.method = "GET", .body = ""}.text(), 400);
}
TEST(InvalidRequest, PostOnIdempotentClass) {
  expect_rejected(ClientRequest{.request_class = "look"}.text(), 400);
}
TEST(InvalidRequest, BodyTooLarge) {
  expect_rejected(ClientRequest{.body = std::string(256 * 1024 + 1, 'x')}.text(), 413);
}
TEST(InvalidRequest, ChunkedBodyTooLarge) {
  expect_rejected(ClientRequest{.body = "", .headers = "Transfer-Encoding: chunked\r\n"}.text() +
                      "40001\r\n" + std::string(256 * 1024 + 1, 'x') + "\r\n0\r\n\r\n",
                  413);
}
TEST(InvalidRequest, BodyOfGigabytes) {
  expect_rejected("POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000000\r\n\r\nx", 413);
}
TEST(InvalidRequest, EndlessHead) {
  expect_rejected("GET /close/k HTTP/1.1\r\nX-Long: " + std::string(32 * 1024, 'x'), 431);
}
TEST(InvalidRequest, TwoLengths) {
  expect_rejected(
      "POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400);
}

TEST(InvalidRequest, IdOfAnOpenRequest) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    gate.wait();
    return connection.write(http_response(200, "ok"));
  });
  Deployment d({&server});
  RawConnection first = d.client(), second = d.client();
  first.write(ClientRequest{}.text());
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  second.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(second.read_message()), 400);
  gate.open();
  EXPECT_EQ(status_of(first.read_message()), 200);
  EXPECT_EQ(server.requests().size(), 1U);
}

}  // namespace
}  // namespace thymewood::node
