// Guards against forwarding a request whose client has disconnected. From 0.1 s after the disconnect, no byte
// of the request may be sent to a server, whatever state the request is in and however the client
// disconnects.
#include "node_harness.h"

namespace thymewood::node {
namespace {

constexpr auto kDisconnectGrace = 110ms;  // the bound of 0.1 s and a margin
enum class Disconnect { kClose, kReset, kCloseWithUnreadInput };
enum class TcpInfo { kAvailable, kUnavailable };

struct DisconnectCase {
  Disconnect method = Disconnect::kClose;
  bool cancel_enabled = true;  // `cancel` in the settings: attempts may be cancelled
  TcpInfo tcp_info = TcpInfo::kAvailable;
};

std::string test_name(const testing::TestParamInfo<DisconnectCase>& info) {
  const char* method[] = {"Close", "Reset", "CloseWithUnreadInput"};
  return std::string(method[static_cast<int>(info.param.method)]) +
         (info.param.cancel_enabled ? "" : "CancelDisabled") +
         (info.param.tcp_info == TcpInfo::kAvailable ? "" : "TcpInfoUnavailable");
}

std::vector<DisconnectCase> all_cases() {
  std::vector<DisconnectCase> out;
  for (const Disconnect method : {Disconnect::kClose, Disconnect::kReset, Disconnect::kCloseWithUnreadInput})
    for (const bool cancel_enabled : {true, false})
      for (const TcpInfo tcp_info : {TcpInfo::kAvailable, TcpInfo::kUnavailable})
        out.push_back({method, cancel_enabled, tcp_info});
  return out;
}

class ClientDisconnect : public testing::TestWithParam<DisconnectCase> {
 protected:
  NodeConfig config(double connect_timeout = 12) const {
    NodeConfig out;
    out.bounds = std::string(R"("cancel":)") + (GetParam().cancel_enabled ? "true" : "false") +
                 R"(,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,"secondCopies":true,)"
                 R"("idleClose":60.0,"dialTimeout":)" +
                 std::to_string(connect_timeout);
    return out;
  }
  static void (*child_setup())() {
    return GetParam().tcp_info == TcpInfo::kAvailable ? nullptr : disable_tcp_info;
  }
  // kCloseWithUnreadInput pipelines more than the buffers of the node and its socket hold, so that the node
  // cannot read up to the FIN.
  static void disconnect(RawConnection& client) {
    if (GetParam().method == Disconnect::kCloseWithUnreadInput)
      client.flood(ClientRequest{.id = "ahead", .body = std::string(8000, 'x')}.text(),
                   std::size_t{16} << 20);
    if (GetParam().method == Disconnect::kReset) return client.reset();
    client.close();
  }
};

TEST_P(ClientDisconnect, WhileAConnectIsPending) {
  ManualAcceptListener full;
  full.fill_accept_queue();
  FakeDiscovery discovery;
  NodeConfig node_config = config();
  node_config.known = endpoint_list_json(7, true, endpoint_json("s0", full.address()));
  node_config.discovery = discovery.address();
  NodeProcess program(node_config.text(), 0, true, "", child_setup());
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return full.pending_connects() > 0; }));
  disconnect(client);
  sleep_for(kDisconnectGrace);
  RawConnection next = RawConnection::connect_to(program.port());
  next.write(ClientRequest{.id = "next"}.text());
  RawConnection server(full.accept());
  ASSERT_TRUE(server.is_open());
  // The node either uses the connection for the next request, or closes it and opens a second one.
  std::string first_request = server.read_message();
  if (first_request.empty()) first_request = RawConnection(full.accept()).read_message();
  EXPECT_EQ(header_of(first_request, "X-Request-ID"), "next") << first_request;
}

TEST_P(ClientDisconnect, WhileTheRequestIsPartlyWritten) {
  ManualAcceptListener listener(true);
  FakeDiscovery discovery;
  NodeConfig node_config = config();
  node_config.known = endpoint_list_json(7, true, endpoint_json("s0", listener.address()));
  node_config.discovery = discovery.address();
  NodeProcess program(node_config.text(), 0, true, "", child_setup());
  RawConnection client = RawConnection::connect_to(program.port());
  const std::string body(64 * 1024, 'b');
  client.write(ClientRequest{.id = "disconnected", .body = body}.text());
  RawConnection server(listener.accept());
  ASSERT_TRUE(server.is_open());
  // Reading here would let the node's send buffer grow until it holds the whole request.
  ASSERT_TRUE(server.wait_readable());
  disconnect(client);
  sleep_for(kDisconnectGrace);
  const std::string received = server.read_until_close();
  EXPECT_EQ(header_of(received, "X-Request-ID"), "disconnected") << received.substr(0, 200);
  EXPECT_LT(body_of(received).size(), body.size())
      << "the last byte of the request was sent after its client had disconnected";
}

// The first attempt is rejected as not processed, which would cause a retry if the client were still
// connected.
TEST_P(ClientDisconnect, WhileItsFirstAttemptIsInFlight) {
  Gate gate;
  const FakeServer::Handler reject = [&](RawConnection& connection, const std::string&) {
    return gate.wait() && connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
  };
  FakeServer one(reject), two(reject);
  Deployment d({&one, &two}, config(), 0, child_setup());
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  disconnect(client);
  sleep_for(kDisconnectGrace);
  gate.open();
  // By the time two more requests are answered, the node has processed the response to the first.
  for (const char* id : {"a", "b"}) {
    RawConnection next = d.client();
    next.write(ClientRequest{.id = id}.text());
    EXPECT_EQ(status_of(next.read_message()), 503);
  }
  int forwarded = 0;
  for (FakeServer* server : {&one, &two})
    for (const std::string& request : server->requests())
      forwarded += header_of(request, "X-Request-ID") == "disconnected";
  EXPECT_EQ(forwarded, 1);
}

// The disconnect and the response both arrive while the node is stopped, so it may read either one first.
TEST_P(ClientDisconnect, WhileTheNodeIsPausedWithAnAttemptInFlight) {
  Gate gate;
  std::atomic<bool> response_written = false;
  const FakeServer::Handler reject = [&](RawConnection& connection, const std::string&) {
    const bool is_written = gate.wait() && connection.write(http_response(503, "", "X-Not-Processed: 1\r\n"));
    response_written = true;
    return is_written;
  };
  FakeServer one(reject), two(reject);
  Deployment d({&one, &two}, config(), 0, child_setup());
  RawConnection client = d.client();
  client.write(ClientRequest{.id = "disconnected"}.text());
  ASSERT_TRUE(eventually([&] { return one.requests().size() + two.requests().size() == 1; }));
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  gate.open();
  ASSERT_TRUE(eventually([&] { return response_written.load(); }));
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
      forwarded += header_of(request, "X-Request-ID") == "disconnected";
  EXPECT_EQ(forwarded, 1);
}

// The node is stopped while one client connects, sends a request and disconnects in the accept queue, and
// another does so on an established connection.
TEST_P(ClientDisconnect, BeforeItsRequestIsRead) {
  FakeServer server(respond_with(200, "ok"));
  Deployment d({&server}, config(), 0, child_setup());
  RawConnection established = d.client();
  established.write(ClientRequest{.id = "before"}.text());
  ASSERT_EQ(status_of(established.read_message()), 200);
  d.program->signal(SIGSTOP);
  ASSERT_TRUE(eventually([&] { return d.program->state() == 'T'; }));
  RawConnection unaccepted = d.client();
  unaccepted.write(ClientRequest{.id = "disconnected1"}.text());
  established.write(ClientRequest{.id = "disconnected2"}.text());
  for (RawConnection* client : {&unaccepted, &established}) disconnect(*client);
  sleep_for(kDisconnectGrace);
  d.program->signal(SIGCONT);
  RawConnection next = d.client();
  next.write(ClientRequest{.id = "after"}.text());
  EXPECT_EQ(status_of(next.read_message()), 200);
  for (const std::string& request : server.requests())
    EXPECT_FALSE(header_of(request, "X-Request-ID").starts_with("disconnected"));
}

INSTANTIATE_TEST_SUITE_P(All, ClientDisconnect, testing::ValuesIn(all_cases()), test_name);

// The node reads the client's FIN while it still writes a response and has the next pipelined request
// buffered.
TEST(PipelinedClient, NothingIsForwardedAfterACloseDuringItsResponse) {
  FakeServer server(respond_with(200, std::string(std::size_t{1} << 20, 'a')));
  // Without TCP_INFO, which would also reveal the half-close, the node has only the FIN that it reads.
  Deployment d({&server}, {}, 0, disable_tcp_info);
  RawConnection client = d.client(true);
  client.write(ClientRequest{.id = "first"}.text());
  ASSERT_TRUE(client.wait_readable()) << "the response has started and exceeds the buffers";
  client.write(ClientRequest{.id = "second"}.text());
  client.half_close();
  // Once a later client has been served, the node has received the second request and the half-close.
  RawConnection other = d.client();
  other.write(ClientRequest{.id = "other"}.text());
  ASSERT_EQ(status_of(other.read_message()), 200);
  const std::string responses = client.read_until_close();
  EXPECT_EQ(body_of(responses).size(), std::size_t{1} << 20) << "a response that has started is completed";
  for (const std::string& request : server.requests())
    EXPECT_NE(header_of(request, "X-Request-ID"), "second");
}

// Limited read-ahead: the node answers the pipelined requests that it has buffered, then rejects the next one
// and closes the connection.
TEST(PipelinedClient, AnswersBufferedRequestsAndRejectsFurtherOnes) {
  Gate gate;
  FakeServer server([&](RawConnection& connection, const std::string& request) {
    return gate.wait() && connection.write(http_response(200, header_of(request, "X-Request-ID")));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  std::string requests = ClientRequest{.id = "r0"}.text();
  for (int i = 1; i < 40; ++i)
    requests += ClientRequest{.id = "r" + std::to_string(i), .body = std::string(2000, 'x')}.text();
  std::thread sender([&] { client.write(requests); });
  ASSERT_TRUE(eventually([&] { return server.requests().size() == 1; }));
  sender.join();
  gate.open();
  int ok_responses = 0;
  for (std::string response = client.read_message(); !response.empty(); response = client.read_message()) {
    if (status_of(response) != 200) {
      EXPECT_EQ(status_of(response), 413) << response;
      EXPECT_EQ(header_of(response, "Connection"), "close");
      break;
    }
    EXPECT_EQ(body_of(response), "r" + std::to_string(ok_responses));
    ++ok_responses;
  }
  EXPECT_GE(ok_responses, 5);
  EXPECT_EQ(server.requests().size(), static_cast<std::size_t>(ok_responses))
      << "every forwarded request is answered";
}

}  // namespace
}  // namespace thymewood::node
