// Outcomes of attempts, as in the protocol's table. A request that was not processed may be retried, even if
// it is not idempotent.
#include "node_harness.h"

namespace thymewood::node {
namespace {

TEST(Outcomes, RejectionWithoutProcessingIsRetried) {
  FakeServer full(respond_with(503, "", "X-Not-Processed: 1\r\n")),
      busy(respond_with(503, "", "X-Not-Processed: 1\r\n"));
  Deployment d({&full, &busy});
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), 503);
  EXPECT_FALSE(header_of(response, "Retry-After").empty());
  EXPECT_EQ(full.requests().size() + busy.requests().size(), 2U) << "one attempt at each server";
}

TEST(Outcomes, RejectedByOneServerIsServedByAnother) {
  FakeServer full(respond_with(503, "", "X-Not-Processed: 1\r\n")), idle(respond_with(200, "ok"));
  Deployment d({&full, &idle});
  RawConnection client = d.client();
  for (int i = 0; i < 10; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(status_of(client.read_message()), 200);
  }
  EXPECT_EQ(idle.requests().size(), 10U);
}

void expect_502_without_retry(const FakeServer::Handler& reply) {
  FakeServer server(reply);
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  const std::string response = client.read_message();
  EXPECT_EQ(status_of(response), 502) << response;
  EXPECT_EQ(server.requests().size(), 1U)
      << "a request that is not idempotent and may have been processed is not retried";
  EXPECT_TRUE(d.program->running());
}

TEST(Outcomes, ErrorMayHaveBeenProcessed) { expect_502_without_retry(respond_with(500, "no")); }
TEST(Outcomes, UnmarkedServiceUnavailableMayHaveBeenProcessed) {
  expect_502_without_retry(respond_with(503, "no"));
}
TEST(Outcomes, OtherValueOfNotProcessedHeaderIsIgnored) {
  expect_502_without_retry(respond_with(504, "no", "X-Not-Processed: 0\r\n"));
}
TEST(Outcomes, OtherStatusMayHaveBeenProcessed) {
  expect_502_without_retry(respond_with(404, "no", "X-Not-Processed: 1\r\n"));
}
TEST(Outcomes, CloseWithoutResponseMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection&, const std::string&) { return false; });
}
TEST(Outcomes, ResetMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    const linger abort_linger{1, 0};
    ::setsockopt(connection.fd(), SOL_SOCKET, SO_LINGER, &abort_linger, sizeof abort_linger);
    return false;
  });
}
TEST(Outcomes, TruncatedResponseMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
    return false;
  });
}
TEST(Outcomes, ResponseWithoutLengthOrConnectionCloseIsTruncated) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\n\r\nperhaps half");
    return false;
  });
}
TEST(Outcomes, MalformedResponseMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    return connection.write(std::string("\0\x7f~?\r\n\r\n", 8));
  });
}
TEST(Outcomes, EndlessHeadMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(64 * 1024, 'x'));
  });
}
TEST(Outcomes, BodyBeyondTheLimitMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
  });
}

// Returns a body that contains text which looks like responses. The tests make it larger than the largest
// request.
std::string large_body(std::size_t size) {
  std::string out;
  while (out.size() < size)
    out += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno\r\n0\r\n\r\n" + std::to_string(out.size());
  out.resize(size);
  return out;
}

TEST(Outcomes, ResponseMayBeLargerThanARequest) {
  const std::string body = large_body(370'000);
  FakeServer server(respond_with(200, body));
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    const std::string response = client.read_message();
    EXPECT_EQ(status_of(response), 200);
    EXPECT_TRUE(body_of(response) == body)
        << "the body changed; received " << body_of(response).size() << " bytes";
  }
}
TEST(Outcomes, LargestResponseIsOneMebibyte) {
  FakeServer server(respond_with(200, large_body(1024 * 1024)));
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{}.text());
  EXPECT_EQ(body_of(client.read_message()).size(), 1024U * 1024U);
  expect_502_without_retry(respond_with(200, large_body(1024 * 1024 + 1)));
}
TEST(Outcomes, ChunkedBodyBeyondTheLimitMayHaveBeenProcessed) {
  expect_502_without_retry([](RawConnection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (int i = 0; i < 40 && connection.write(chunk); ++i) {
    }
    return false;
  });
}

// The attempt ends as soon as the response head has arrived, not at the client's timeout.
TEST(Outcomes, BodyBeyondTheLimitIsAbandonedAtItsHead) {
  std::atomic<bool> is_open = true;
  FakeServer server([&](RawConnection& connection, const std::string&) {
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx");
    connection.receive_more();  // returns when the node closes the connection
    is_open = false;
    return false;
  });
  Deployment d({&server});
  RawConnection client = d.client();
  const auto start = std::chrono::steady_clock::now();
  client.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 10s) << "the client's timeout is 15 s";
  EXPECT_TRUE(eventually([&] { return !is_open; }));
}

TEST(Outcomes, InterimResponsesAreSkipped) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    return connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
                            http_response(200, "ok"));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 2; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "ok");
  }
  EXPECT_EQ(server.listener().accepted_connections(), 1);
}

TEST(Outcomes, SplitChunkedResponseIsReassembled) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    for (const char c : std::string(
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
      if (!connection.write(std::string(1, c))) return false;
    }
    return true;
  });
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 2; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "abcde");
  }
}

TEST(Outcomes, SurplusBytesAreNotReadAsTheNextResponse) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    return connection.write(http_response(200, "right") + http_response(200, "wrong"));
  });
  Deployment d({&server});
  RawConnection client = d.client();
  for (int i = 0; i < 3; ++i) {
    client.write(ClientRequest{.id = "r" + std::to_string(i)}.text());
    EXPECT_EQ(body_of(client.read_message()), "right");
  }
}

TEST(Outcomes, ConnectFailureIsNotProcessed) {
  int port = 0;
  {
    FakeServer stopped(respond_with(200, "x"));
    port = stopped.listener().port();
  }
  FakeDiscovery discovery;
  NodeConfig config;
  config.discovery = discovery.address();
  config.known = endpoint_list_json(7, true, endpoint_json("s0", "127.0.0.1:" + std::to_string(port)));
  NodeProcess program(config.text());
  RawConnection client = RawConnection::connect_to(program.port());
  client.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(client.read_message()), 503)
      << "the request was not processed, so it is shed and not answered with a 502";
}

TEST(Outcomes, TimeoutMayHaveBeenProcessedAndClosesTheConnection) {
  FakeServer server([](RawConnection&, const std::string&) { return true; });
  Deployment d({&server});
  RawConnection client = d.client();
  client.write(ClientRequest{.timeout = "300"}.text());
  EXPECT_EQ(status_of(client.read_message()), 502);
  EXPECT_EQ(server.requests().size(), 1U);
  EXPECT_TRUE(eventually([&] { return server.closed_by_node() == 1; }));
}

}  // namespace
}  // namespace thymewood::node
