// The memory that clients and servers can make a node allocate stays within its limit.
#include <fstream>

#include "memory_budget.h"
#include "message_memory.h"
#include "node_harness.h"
#include "request_reader.h"
#include "upstream.h"

namespace thymewood::node {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kIsMemoryMeasurable = false;  // the sanitizer's own memory exceeds the node's limit
#else
constexpr bool kIsMemoryMeasurable = true;
#endif

constexpr int kShortFields = 4000;  // in a head of almost 16 KiB

std::string short_fields() {
  std::string text;
  for (int i = 0; i < kShortFields; ++i) text += "a:\r\n";
  return text;
}

// The memory in MB that a process has allocated, without the program's own files.
double allocated_mb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr double kKilobytesPerMegabyte = 1024;
  for (std::string name; status >> name;) {
    double kilobytes = 0;
    if (name == "RssAnon:" && status >> kilobytes) return kilobytes / kKilobytesPerMegabyte;
  }
  return 0;
}

// Sends `text` on each of `count` new connections.
std::vector<RawConnection> clients_that_send(const Deployment& deployment, int count,
                                             const std::string& text) {
  std::vector<RawConnection> clients;
  for (int i = 0; i < count; ++i) {
    clients.push_back(deployment.client());
    clients.back().write(text);
  }
  return clients;
}

// Returns how many of the clients get each status.
std::map<int, int> count_statuses(std::vector<RawConnection>& clients) {
  std::map<int, int> count;
  for (RawConnection& client : clients) ++count[status_of(client.read_message())];
  return count;
}

TEST(MessageMemory, IncludesAnAllocationForEachField) {
  MeasuringParser<true> parser;
  parser.eager(false);
  const std::string text = "POST /close/k HTTP/1.1\r\nContent-Length: 3\r\n" + short_fields() + "\r\nabc";
  boost::beast::error_code error;
  for (boost::asio::const_buffer rest = boost::asio::buffer(text); !parser.is_done() && rest.size() > 0;)
    rest += parser.put(rest, error);
  ASSERT_TRUE(parser.is_done()) << error.message();
  constexpr std::size_t kMinAllocation = 64;  // bytes; a node of the field container
  EXPECT_GE(parser.message_memory(), kShortFields * kMinAllocation);
  EXPECT_EQ(parser.message_memory(), message_memory(parser.get()));
}

// Guards against a node that is killed for memory: the fields of incomplete heads were in no limit, and 300
// clients that stopped in the middle of such a request took 94 MB, whatever the limit was.
TEST(Memory, IncompleteRequestsWithManyFieldsStayWithinTheLimit) {
  FakeServer server(respond_with(200, "ok"));
  NodeConfig config;
  config.memory_mb = 32;
  config.sockets = 1024;
  Deployment d({&server}, config);
  constexpr int kClients = 300;
  std::vector<RawConnection> clients = clients_that_send(
      d, kClients,
      "POST /close/k HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n" + short_fields() + "\r\n");
  RawConnection usual = d.client();
  usual.write(ClientRequest{}.text());
  EXPECT_EQ(status_of(usual.read_message()), 200)
      << "large incomplete requests leave memory to the usual ones";
  if (kIsMemoryMeasurable) {
    EXPECT_LT(allocated_mb(d.program->pid()), config.memory_mb);
  }
  std::map<int, int> statuses = count_statuses(clients);
  EXPECT_GT(statuses[503], kClients / 2);
  EXPECT_GT(statuses[408], 0) << "those within the budget are read, and time out";
  if (kIsMemoryMeasurable) {
    EXPECT_LT(allocated_mb(d.program->pid()), config.memory_mb);
  }
}

// Guards against a node that is killed for memory by long messages: each idle connection kept the body of its
// last response, and each attempt in flight its request, after their memory was no longer in the budget.
TEST(Memory, LongMessagesAreFreedWithTheirBudget) {
  const std::string body(std::size_t{64} * 1024, 'x');
  FakeServer server([&](RawConnection& connection, const std::string&) {
    return connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(body) +
                            "0\r\n\r\n");
  });
  NodeConfig config;
  config.memory_mb = 32;
  config.sockets = 1024;
  Deployment d({&server}, config);
  constexpr int kClients = 300;
  std::vector<RawConnection> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(d.client());
    clients.back().write(ClientRequest{.id = "long" + std::to_string(i), .body = body}.text());
    const std::string response = clients.back().read_message();
    ASSERT_EQ(status_of(response), 200);
  }
  if (kIsMemoryMeasurable) {
    EXPECT_LT(allocated_mb(d.program->pid()), config.memory_mb / 2.0) << "no request is in flight";
  }
}

// The same for requests that are pipelined behind one that is being answered.
TEST(Memory, PipelinedRequestsAreWithinTheBudget) {
  boost::asio::io_context io(1);
  const boost::asio::ip::tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
  boost::asio::ip::tcp::acceptor acceptor(io, any_port);
  RawConnection client = RawConnection::connect_to(acceptor.local_endpoint().port());
  boost::asio::ip::tcp::socket socket(io);
  acceptor.accept(socket);
  MemoryBudget budget;
  constexpr std::size_t kLimit = std::size_t{16} * 1024;  // bytes
  budget.set_limit(kLimit);
  RequestReader reader(socket, budget);
  reader.start_request();
  const auto read_from_client = [&] {
    EXPECT_TRUE(eventually([&] { return socket.available() > 0; }));
    EXPECT_TRUE(reader.read_available());
    EXPECT_LE(budget.used(), kLimit);
  };
  client.write(ClientRequest{.id = "first"}.text());
  read_from_client();
  ASSERT_EQ(reader.parse(), RequestReader::Status::kComplete);
  EXPECT_EQ(reader.release()["X-Request-ID"], "first");

  client.write(ClientRequest{.id = "second"}.text());
  read_from_client();
  client.write(ClientRequest{.id = "third", .body = std::string(kLimit, 'x')}.text());
  read_from_client();
  reader.start_request();
  ASSERT_EQ(reader.parse(), RequestReader::Status::kComplete) << "what fits is kept";
  EXPECT_EQ(reader.release()["X-Request-ID"], "second");
  reader.start_request();
  EXPECT_EQ(reader.parse(), RequestReader::Status::kOutOfMemory);
  reader.discard_all();
  EXPECT_EQ(budget.used(), 0U);
}

// The same for responses: a server may send as many fields.
TEST(Memory, ResponseWithManyFieldsIsWithinTheBudget) {
  FakeServer server([](RawConnection& connection, const std::string&) {
    return connection.write(http_response(200, "ok", short_fields()));
  });
  boost::asio::io_context io(1);
  MemoryBudget budget;
  constexpr std::size_t kLimit = std::size_t{128} * 1024;  // bytes
  budget.set_limit(kLimit);
  Upstream upstream(io, {0.5, 60, 10}, budget);
  upstream.update_endpoint(
      "s0", {boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(server.listener().port())},
      0, true);
  const auto request = std::make_shared<HttpRequest>();
  request->method(boost::beast::http::verb::post);
  request->target("/close/k");
  request->prepare_payload();
  std::optional<Upstream::Result> result;
  const Upstream::Handle attempt =
      upstream.start("s0", request, {10}, true,
                     {[] { return true; }, [&](Upstream::Result&& end) { result = std::move(end); }});
  ASSERT_TRUE(eventually([&] {
    io.poll();
    return result.has_value();
  }));
  EXPECT_EQ(result->outcome, Outcome::kUnknown) << "the response takes more memory than the budget has";
}

}  // namespace
}  // namespace thymewood::node
