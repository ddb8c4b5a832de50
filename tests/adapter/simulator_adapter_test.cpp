// Runs thymewood_simulator_adapter as a process: batches, error reports, and the independence of balancers
// that share a process.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct Result {
  std::vector<std::string> lines;
  std::string error_output;
  int exit_code = 0;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

Result run(const std::vector<std::string>& lines) {
  const std::string base = testing::TempDir() + "/simulator_adapter_" + std::to_string(getpid());
  {
    std::ofstream in(base + ".in");
    for (const std::string& line : lines) in << line << '\n';
  }
  const std::string command =
      std::string(SIMULATOR_ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  Result out;
  out.exit_code = WEXITSTATUS(std::system(command.c_str()));
  std::istringstream output(read_file(base + ".out"));
  for (std::string line; std::getline(output, line);) out.lines.push_back(line);
  out.error_output = read_file(base + ".err");
  for (const char* suffix : {".in", ".out", ".err"}) std::remove((base + suffix).c_str());
  return out;
}

std::string config_text() {
  return R"({"peersTotal":1,"position":0,"stage":0,"zone":0,"granularity":0.005,"registryMode":"subscribe",)"
         R"("bounds":{"cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,)"
         R"("retryAfter":true,"secondCopies":false},)"
         R"("categories":[{"aim":1.0,"effect":"unsafe","giveUp":2.0,"name":"x","new":1}],)"
         R"("rules":{"askWithin":10.0,"startCapacity":0.2,"rampTime":9.0}})";
}

std::string batch(int turn, double clock, const std::string& nodes) {
  return R"({"clock":)" + std::to_string(clock) + R"(,"turn":)" + std::to_string(turn) + R"(,"nodes":[)" +
         nodes + "]}";
}

std::string open_node(int node_id, const std::string& extra_events = "",
                      const std::string& config = config_text()) {
  return R"({"who":)" + std::to_string(node_id) + R"(,"news":[{"kind":"OPEN_INSTANCE","initSeed":)" +
         std::to_string(node_id + 5) + R"(,"config":)" + config + R"(},)" +
         R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"10.0.0.1:80","mode":"Ready"},)"
         R"({"server":"10.0.0.2:80","mode":"Ready","pack":1,"units":2}]},)"
         R"({"kind":"DIRECTORY_UPDATE","rev":1,"sheet":3,"form":"C"})" +
         extra_events + "]}";
}

bool contains(const std::string& line, const std::string& expected) {
  return line.find(expected) != std::string::npos;
}

TEST(SimulatorAdapter, AnswersEachBatch) {
  const Result r = run({
      batch(1, 1, ""),
      batch(2, 1.5, open_node(4)),
      batch(3, 2, R"({"who":4,"news":[{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2,"later":[1]}]})"),
      batch(4, 2.1,
            R"({"who":4,"news":[{"kind":"DONE","txn":"a","server":"10.0.0.1:80",)"
            R"("outcome":"app_error","lag":0.1}]})"),
      batch(5, 2.2,
            R"({"who":4,"news":[{"kind":"GONE","txn":"a"},{"kind":"FIRED","keyBack":77},{"kind":"NEW"}]})"),
  });
  EXPECT_EQ(r.exit_code, 0) << r.error_output;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_EQ(r.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_EQ(r.lines[1], R"({"turn":2,"nodes":[{"who":4,"steps":[{"kind":"TAIL","want":true}]}]})");
  EXPECT_TRUE(contains(r.lines[2], R"("kind":"CALL_OUT","txn":"a","server":"10.0.0.)"));
  EXPECT_EQ(r.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(r.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, RestartsAnInstanceWithinABatch) {
  const std::string query = R"(,{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2})";
  std::string node = open_node(1, query);
  node.insert(node.find("{\"kind\":\"OPEN"),
              R"({"kind":"QUERY","txn":"old","timeLeft":2},{"kind":"POWER_OFF"},)");
  const Result r = run({batch(1, 1, open_node(1)), batch(2, 2, node)});
  EXPECT_EQ(r.exit_code, 0) << r.error_output;
  ASSERT_EQ(r.lines.size(), 2U);
  EXPECT_FALSE(contains(r.lines[1], "\"old\"")) << "the actions of the stopped instance are dropped";
  EXPECT_TRUE(contains(r.lines[1], R"("txn":"a")"));
}

TEST(SimulatorAdapter, EndpointListNumbersAreReusedWithinABatch) {
  const Result r = run(
      {batch(1, 1, open_node(1)),
       batch(
           2, 2,
           R"({"who":1,"news":[{"kind":"TABLE","sheet":3,"nodesList":[{"server":"b:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},)"
           R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"c:1","mode":"Ready"}]},)"
           R"({"kind":"DIRECTORY_UPDATE","sheet":3,"form":"F"},{"kind":"QUERY","txn":"a","timeLeft":2}]})")});
  ASSERT_EQ(r.lines.size(), 2U) << r.error_output;
  EXPECT_TRUE(contains(r.lines[1], R"("server":"c:1")"));
}

TEST(SimulatorAdapter, ReportsTheLineTurnAndFieldOfAnError) {
  const auto expect_error = [](const std::string& line, const std::string& turn,
                               const std::string& expected) {
    const Result r = run({line});
    EXPECT_NE(r.exit_code, 0);
    EXPECT_TRUE(r.lines.empty());
    EXPECT_TRUE(contains(r.error_output, "thymewood_simulator_adapter: line 1, turn " + turn + ": "))
        << r.error_output;
    EXPECT_EQ(std::count(r.error_output.begin(), r.error_output.end(), '\n'), 1) << r.error_output;
    EXPECT_TRUE(contains(r.error_output, expected)) << r.error_output;
  };
  expect_error("{\"turn\":", "unknown", "not valid JSON");
  expect_error("[1]", "unknown", "not an object");
  expect_error(R"({"turn":7,"nodes":[]})", "7", "'clock'");
  expect_error(R"({"turn":7,"clock":1})", "7", "'nodes'");
  expect_error(batch(7, 1, R"({"news":[]})"), "7", "'who'");
  expect_error(batch(7, 1, R"({"who":1,"news":[{"txn":"a"}]})"), "7", "'kind'");
  expect_error(batch(7, 1, R"({"who":1,"news":[{"kind":"OPEN_INSTANCE","initSeed":1}]})"), "7", "'config'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","timeLeft":1})")), "7", "'txn'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a"})")), "7", "'timeLeft'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"QUERY","txn":"a","timeLeft":1,"account":-1})")), "7",
               "'account'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DONE","txn":"a","try":"x","outcome":"delivered"})")),
               "7", "'try'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DIRECTORY_UPDATE","form":"F","sheet":9})")), "7",
               "'sheet'");
  expect_error(batch(7, 1, open_node(1, R"(,{"kind":"DIRECTORY_UPDATE","form":"Q","sheet":3})")), "7",
               "'form'");
  const std::string table = R"({"kind":"TABLE","sheet":3,"nodesList":[)";
  expect_error(batch(7, 1, R"({"who":1,"news":[)" + table + R"({"server":"a:1","mode":"Odd"}]}]})"), "7",
               "'mode'");
  expect_error(batch(7, 1, R"({"who":1,"news":[)" + table + R"({"mode":"Ready"}]}]})"), "7", "'server'");
  expect_error(R"({"turn":-1,"clock":1,"nodes":[]})", "unknown", "'turn'");
  expect_error(R"({"turn":"7","clock":1,"nodes":[]})", "unknown", "'turn'");
}

// An attempt with an unknown outcome may have run, so a request that is not idempotent fails without a retry.
// Events that are out of range, late or repeated are ignored.
TEST(SimulatorAdapter, IgnoresUnknownAndRepeatedEvents) {
  const std::string out_of_range_events =
      R"({"kind":"DONE","txn":"a","try":9,"outcome":"delivered"},)"
      R"({"kind":"DONE","txn":"never","outcome":"expired"},)"
      R"({"kind":"QUERY","txn":"b","account":99,"profile":99,"timeLeft":2})";
  const std::string unknown_outcome_event =
      R"({"kind":"DONE","txn":"a","outcome":"from a later protocol version","lag":0.1})";
  const auto node_with = [](const std::string& events) { return R"({"who":4,"news":[)" + events + "]}"; };
  const Result r =
      run({batch(1, 1, open_node(4)), batch(2, 2, node_with(R"({"kind":"QUERY","txn":"a","timeLeft":2})")),
           batch(3, 2.1, node_with(out_of_range_events)), batch(4, 2.2, node_with(unknown_outcome_event)),
           batch(5, 2.3, node_with(unknown_outcome_event))});
  EXPECT_EQ(r.exit_code, 0) << r.error_output;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_TRUE(contains(r.lines[2], R"("kind":"CALL_OUT","txn":"b")"));
  EXPECT_EQ(r.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(r.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, ExitsAtEndOfInput) { EXPECT_EQ(run({}).exit_code, 0); }

TEST(SimulatorAdapter, ReportsInvalidSettingsByTheirWireKey) {
  const auto expect_panic = [](const std::string& from, const std::string& to, const std::string& expected) {
    std::string config = config_text();
    config.replace(config.find(from), from.size(), to);
    const Result r = run({batch(1, 1, open_node(2, "", config))});
    EXPECT_EQ(r.exit_code, 0);
    ASSERT_EQ(r.lines.size(), 1U);
    EXPECT_TRUE(contains(r.lines[0], R"("kind":"PANIC")")) << r.lines[0];
    EXPECT_TRUE(contains(r.lines[0], expected)) << r.lines[0];
  };
  expect_panic(R"("peersTotal":1)", R"("peersTotal":0)", "thymewood settings: peersTotal must be above 0");
  expect_panic(R"("position":0)", R"("position":1)",
               "thymewood settings: position must be from 0 to peersTotal - 1");
  expect_panic(R"("aim":1.0)", R"("aim":-1.0)", "thymewood settings: categories[].aim must be");
  expect_panic(R"("giveUp":2.0)", R"("giveUp":-2.0)",
               "thymewood settings: categories[].giveUp must be a finite number and not negative");
  expect_panic(R"("maxAttempts":3)", R"("maxAttempts":0)",
               "thymewood settings: bounds.maxAttempts must be above 0");
  expect_panic(R"("effect":"unsafe")", R"("effect":"odd")", "categories[].effect: 'odd' is unknown");
}

// The actions of a balancer instance do not depend on the other instances in its process.
TEST(SimulatorAdapter, InstancesOfOneProcessAreIndependent) {
  const auto lines_for = [](const std::vector<int>& node_ids) {
    std::vector<std::string> lines;
    std::string nodes;
    for (const int node_id : node_ids) nodes.append(nodes.empty() ? "" : ",").append(open_node(node_id));
    lines.push_back(batch(1, 1, nodes));
    for (int turn = 2; turn < 60; ++turn) {
      nodes.clear();
      for (const int node_id : node_ids) {
        const std::string txn = std::to_string(node_id) + "-" + std::to_string(turn);
        const std::string previous_txn = std::to_string(node_id) + "-" + std::to_string(turn - 2);
        nodes += (nodes.empty() ? "" : ",");
        nodes += R"({"who":)" + std::to_string(node_id) + R"(,"news":[{"kind":"QUERY","txn":")" + txn +
                 R"(","timeLeft":2},{"kind":"DONE","txn":")" + previous_txn + R"(","outcome":")" +
                 (turn % 3 == 0 ? "shed" : "app_error") + R"(","lag":0.2}]})";
      }
      lines.push_back(batch(turn, 1 + turn * 0.1, nodes));
    }
    return lines;
  };
  const Result combined = run(lines_for({0, 1, 2}));
  ASSERT_EQ(combined.exit_code, 0) << combined.error_output;
  std::vector<Result> separate;
  for (const int node_id : {0, 1, 2}) separate.push_back(run(lines_for({node_id})));
  for (std::size_t i = 0; i < combined.lines.size(); ++i) {
    std::string joined;
    for (const Result& result : separate) {
      const std::string& line = result.lines.at(i);
      const std::size_t start = line.find('[') + 1;
      const std::string inner = line.substr(start, line.rfind(']') - start);
      if (!inner.empty()) joined += (joined.empty() ? "" : ",") + inner;
    }
    const std::string& line = combined.lines[i];
    const std::size_t start = line.find('[') + 1;
    EXPECT_EQ(line.substr(start, line.rfind(']') - start), joined);
  }
}

}  // namespace
