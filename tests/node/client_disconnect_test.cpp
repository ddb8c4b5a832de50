// A client that disconnects while its request waits: whatever the request waits for, and however the client
// disconnects, nothing of it is sent to a server later than 0.1 s afterwards.
#include "node_harness.h"

namespace thymewood::node {
namespace {

constexpr auto kDisconnectGrace = 110ms;  // more than the 0.1 s
enum class Disconnect { kCloses, kResets, kSendsMuchAhead };
enum class TcpInfo { kAvailable, kUnavailable };

struct Case {
  Disconnect how = Disconnect::kCloses;
  bool cancel = true;  // whether the settings allow cancels
  TcpInfo tcp_info = TcpInfo::kAvailable;
};

std::string name_of(const testing::TestParamInfo<Case>& info) {
  const char* how[] = {"Closes", "Resets", "SendsMuchAhead"};
  return std::string(how[static_cast<int>(info.param.how)]) + (info.param.cancel ? "" : "NoCancels") +
         (info.param.tcp_info == TcpInfo::kAvailable ? "" : "KernelSilent");
}

std::vector<Case> all_cases() {
  std::vector<Case> out;
  for (const Disconnect how : {Disconnect::kCloses, Disconnect::kResets, Disconnect::kSendsMuchAhead})
    for (const bool cancel : {true, false})
      for (const TcpInfo tcp_info : {TcpInfo::kAvailable, TcpInfo::kUnavailable})
        out.push_back({how, cancel, tcp_info});
  return out;
}

class ClientDisconnect : public testing::TestWithParam<Case> {
 protected:
  ConfigText config(double connect_timeout = 12) const {
    ConfigText out;
    out.bounds = std::string(R"("cancel":)") + (GetParam().cancel ? "true" : "false") +
                 R"(,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"secondCopies":true,)"
                 R"("idleClose":60.0,"dialTimeout":)" +
                 std::to_string(connect_timeout);
    return out;
  }
  static void (*in_child())() {
    return GetParam().tcp_info == TcpInfo::kAvailable ? nullptr : disable_tcp_info;
  }
  // What it sends ahead exceeds the buffers of the node and its socket, so that its close follows unread.
  static void disconnect(RawConnection& client) {
    if (GetParam().how == Disconnect::kSendsMuchAhead)
      client.flood(ClientRequest{.id = "ahead", .body = std::string(8000, 'x')}.text(),
                   std::size_t{16} << 20);
    if (GetParam().how == Disconnect::kResets) return client.reset();
    client.close();
  }
};

TEST_P(ClientDisconnect, WhileAConnectIsUnderWay) {
  FullListener full;
  full.fill();
  FakeDiscovery discovery;
  ConfigText text = config();
  text.known = endpoint_list_json(7, true, endpoint_json("s0", full.address()));
  text.discovery = discovery.address();
  Program program(text.text(), 0, true, "", in_child());
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  disconnect(client);
  sleep_for(kDisconnectGrace);
  RawConnection next = RawConnection::connect_to(program.port());
  next.write(ClientRequest{.id = "next"}.text());
  RawConnection server(full.accept());
  ASSERT_TRUE(server.is_open());
  // The connection is used for the next client or closed; then a second one is opened.
  std::string first = server.read_message();
  if (first.empty()) first = RawConnection(full.accept()).read_message();
  EXPECT_EQ(field_of(first, "X-Request-ID"), "next") << first;
}

TEST_P(ClientDisconnect, WhileTheRequestIsPartlyWritten) {
  FullListener tight(true);
  FakeDiscovery discovery;
  ConfigText text = config();
  text.known = endpoint_list_json(7, true, endpoint_json("s0", tight.address()));
  text.discovery = discovery.address();
  Program program(text.text(), 0, true, "", in_child());
  RawConnection client = RawConnection::connect_to(program.port());
  const std::string body(64 * 1024, 'b');
  client.write(ClientRequest{.id = "disconnected", .body = body}.text());
  RawConnection server(tight.accept());
  ASSERT_TRUE(server.is_open());
  // Nothing is read here: a read would let the sender's buffer grow beyond the request.
  ASSERT_TRUE(server.wait_readable());
  disconnect(client);
  sleep_for(kDisconnectGrace);
  const std::string all = server.read_until_close();
  EXPECT_EQ(field_of(all, "X-Request-ID"), "disconnected") << all.substr(0, 200);
  EXPECT_LT(body_of(all).size(), body.size()) << "its last byte was sent after its client had disconnected";
}

// The first attempt was not processed, so that a retry would follow.
TEST_P(ClientDisconnect, WhileItsFirstAttemptIsInFlight) {
  Gate gate;
  const FakeServer::Reply reject = [&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  };
  FakeServer one(reject), two(reject);
  Deployment d({&one, &two}, config(), 0, in_child());
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  disconnect(client);
  sleep_for(kDisconnectGrace);
  gate.open();
  // The node has processed the response by the time it has served two more requests.
  for (const char* id : {"a", "b"}) {
    RawConnection next = d.client();
    next.write(ClientRequest{.id = id}.text());
    EXPECT_EQ(status_of(next.read_message()), 503);
  }
  int forwarded = 0;
  for (FakeServer* server : {&one, &two})
    for (const std::string& request : server->requests())
      forwarded += field_of(request, "X-Request-ID") == "disconnected";
  EXPECT_EQ(forwarded, 1);
}

// The disconnect and the response arrive while the node is suspended; either may be read first.
TEST_P(ClientDisconnect, WhileTheNodeIsPausedWithAnAttemptInFlight) {
  Gate gate;
  std::atomic<bool> answered = false;
  const FakeServer::Reply reject = [&](RawConnection& connection, const std::string&) {
    const bool is_written = gate.wait() && connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
    answered = true;
    return is_written;
  };
  FakeServer one(reject), two(reject);
  Deployment d({&one, &two}, config(), 0, in_child());
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return answered.load(); }));
  disconnect(client);
  sleep_for(kDisconnectGrace);
  d.program->signal(SIGCONT);
  for (const char* id : {"a", "b"}) {
    RawConnection next = d.client();
    next.write(ClientRequest{.id = id}.text());
    EXPECT_EQ(status_of(next.read_message()), 503);
  }
  int forwarded = 0;
  for (FakeServer* server : {&one, &two})
    for (const std::string& request : server->requests())
      forwarded += field_of(request, "X-Request-ID") == "disconnected";
  EXPECT_EQ(forwarded, 1);
}

// It came and went in the listener's queue, or on an open connection.
TEST_P(ClientDisconnect, BeforeItsRequestIsRead) {
  FakeServer server(replies(200, "ok"));
  Deployment d({&server}, config(), 0, in_child());
  RawConnection known = d.client();
  known.write(ClientRequest{.id = "before"}.text());
  ASSERT_EQ(status_of(known.read_message()), 200);
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  RawConnection fresh = d.client();
  fresh.write(ClientRequest{.id = "disconnected1"}.text());
  known.write(ClientRequest{.id = "disconnected2"}.text());
  for (RawConnection* client : {&fresh, &known}) disconnect(*client);
  sleep_for(kDisconnectGrace);
  d.program->signal(SIGCONT);
  RawConnection next = d.client();
  next.write(ClientRequest{.id = "after"}.text());
  EXPECT_EQ(status_of(next.read_message()), 200);
  for (const std::string& request : server.requests())
    EXPECT_FALSE(field_of(request, "X-Request-ID").starts_with("disconnected"));
}

INSTANTIATE_TEST_SUITE_P(All, ClientDisconnect, testing::ValuesIn(all_cases()), name_of);

// The close is read while the previous response is written, and the next request is buffered.
TEST(PipelinedClient, NothingIsForwardedAfterACloseDuringItsResponse) {
  FakeServer server(replies(200, std::string(std::size_t{1} << 20, 'a')));
  // TCP_INFO could show the close too.
  Deployment d({&server}, {}, 0, disable_tcp_info);
  RawConnection client = d.client(true);
  client.write(ClientRequest{.id = "first"}.text());
  ASSERT_TRUE(client.wait_readable()) << "its response has begun and exceeds the buffers";
  client.write(ClientRequest{.id = "second"}.text());
  client.half_close();
  // Both have arrived once a later client has been served.
  RawConnection other = d.client();
  other.write(ClientRequest{.id = "other"}.text());
  ASSERT_EQ(status_of(other.read_message()), 200);
  const std::string answers = client.read_until_close();
  EXPECT_EQ(body_of(answers).size(), std::size_t{1} << 20) << "the response that was begun is completed";
  for (const std::string& request : server.requests()) EXPECT_NE(field_of(request, "X-Request-ID"), "second");
}

// Read-ahead is limited: the buffered requests are answered, then the client is rejected.
TEST(PipelinedClient, AnswersBufferedRequestsAndRejectsFurtherOnes) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string& request) {
    return gate.wait() && connection.write(http_response(200, field_of(request, "X-Request-ID")));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  std::string all = ClientRequest{.id = "r0"}.text();
  for (int i = 1; i < 40; ++i)
    all += ClientRequest{.id = "r" + std::to_string(i), .body = std::string(2000, 'x')}.text();
  std::thread sender([&] { client.write(all); });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  sender.join();
  gate.open();
  int answered = 0;
  for (std::string answer = client.read_message(); !answer.empty(); answer = client.read_message()) {
    if (status_of(answer) != 200) {
      EXPECT_EQ(status_of(answer), 413) << answer;
      EXPECT_EQ(field_of(answer, "Connection"), "close");
      break;
    }
    EXPECT_EQ(body_of(answer), "r" + std::to_string(answered));
    ++answered;
  }
  EXPECT_GE(answered, 5);
  EXPECT_EQ(server.requests().size(), static_cast<std::size_t>(answered))
      << "each forwarded request is answered";
}

}  // namespace
}  // namespace thymewood::node
