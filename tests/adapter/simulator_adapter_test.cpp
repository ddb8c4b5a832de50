// The adapter as a program: batches, errors, and the independence of instances in one process.
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
  std::string errors;
  int code = 0;
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
  out.code = WEXITSTATUS(std::system(command.c_str()));
  std::istringstream answers(read_file(base + ".out"));
  for (std::string line; std::getline(answers, line);) out.lines.push_back(line);
  out.errors = read_file(base + ".err");
  for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
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

std::string open_node(int who, const std::string& more = "", const std::string& config = config_text()) {
  return R"({"who":)" + std::to_string(who) + R"(,"news":[{"kind":"OPEN_INSTANCE","initSeed":)" +
         std::to_string(who + 5) + R"(,"config":)" + config + R"(},)" +
         R"({"kind":"TABLE","sheet":3,"nodesList":[{"server":"10.0.0.1:80","mode":"Ready"},)"
         R"({"server":"10.0.0.2:80","mode":"Ready","pack":1,"units":2}]},)"
         R"({"kind":"DIRECTORY_UPDATE","rev":1,"sheet":3,"form":"C"})" +
         more + "]}";
}

bool has(const std::string& line, const std::string& part) { return line.find(part) != std::string::npos; }

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
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_EQ(r.lines[0], R"({"turn":1,"nodes":[]})");
  EXPECT_EQ(r.lines[1], R"({"turn":2,"nodes":[{"who":4,"steps":[{"kind":"TAIL","want":true}]}]})");
  EXPECT_TRUE(has(r.lines[2], R"("kind":"CALL_OUT","txn":"a","server":"10.0.0.)"));
  EXPECT_EQ(r.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(r.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, RestartsAnInstanceWithinABatch) {
  const std::string query = R"(,{"kind":"QUERY","txn":"a","profile":0,"timeLeft":2})";
  std::string node = open_node(1, query);
  node.insert(node.find("{\"kind\":\"OPEN"),
              R"({"kind":"QUERY","txn":"old","timeLeft":2},{"kind":"POWER_OFF"},)");
  const Result r = run({batch(1, 1, open_node(1)), batch(2, 2, node)});
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 2U);
  EXPECT_FALSE(has(r.lines[1], "\"old\"")) << "the actions of the stopped instance are dropped";
  EXPECT_TRUE(has(r.lines[1], R"("txn":"a")"));
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
  ASSERT_EQ(r.lines.size(), 2U) << r.errors;
  EXPECT_TRUE(has(r.lines[1], R"("server":"c:1")"));
}

TEST(SimulatorAdapter, ReportsTheLineTurnAndFieldOfAnError) {
  const auto expect_error = [](const std::string& line, const std::string& turn, const std::string& part) {
    const Result r = run({line});
    EXPECT_NE(r.code, 0);
    EXPECT_TRUE(r.lines.empty());
    EXPECT_TRUE(has(r.errors, "thymewood_simulator_adapter: line 1, turn " + turn + ": ")) << r.errors;
    EXPECT_EQ(std::count(r.errors.begin(), r.errors.end(), '\n'), 1) << r.errors;
    EXPECT_TRUE(has(r.errors, part)) << r.errors;
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

// An attempt with an unknown outcome may have run. Events that are out of range, late or repeated are
// ignored.
TEST(SimulatorAdapter, IgnoresUnknownAndRepeatedEvents) {
  const std::string odd = R"({"kind":"DONE","txn":"a","try":9,"outcome":"delivered"},)"
                          R"({"kind":"DONE","txn":"never","outcome":"expired"},)"
                          R"({"kind":"QUERY","txn":"b","account":99,"profile":99,"timeLeft":2})";
  const std::string strange = R"({"kind":"DONE","txn":"a","outcome":"from a later wire","lag":0.1})";
  const auto news = [](const std::string& events) { return R"({"who":4,"news":[)" + events + "]}"; };
  const Result r =
      run({batch(1, 1, open_node(4)), batch(2, 2, news(R"({"kind":"QUERY","txn":"a","timeLeft":2})")),
           batch(3, 2.1, news(odd)), batch(4, 2.2, news(strange)), batch(5, 2.3, news(strange))});
  EXPECT_EQ(r.code, 0) << r.errors;
  ASSERT_EQ(r.lines.size(), 5U);
  EXPECT_TRUE(has(r.lines[2], R"("kind":"CALL_OUT","txn":"b")"));
  EXPECT_EQ(r.lines[3], R"({"turn":4,"nodes":[{"who":4,"steps":[{"kind":"ERROR","txn":"a"}]}]})");
  EXPECT_EQ(r.lines[4], R"({"turn":5,"nodes":[]})");
}

TEST(SimulatorAdapter, ExitsAtEndOfInput) { EXPECT_EQ(run({}).code, 0); }

TEST(SimulatorAdapter, ReportsInvalidSettingsByTheirWireKey) {
  const auto expect_panic = [](const std::string& from, const std::string& to, const std::string& part) {
    std::string config = config_text();
    config.replace(config.find(from), from.size(), to);
    const Result r = run({batch(1, 1, open_node(2, "", config))});
    EXPECT_EQ(r.code, 0);
    ASSERT_EQ(r.lines.size(), 1U);
    EXPECT_TRUE(has(r.lines[0], R"("kind":"PANIC")")) << r.lines[0];
    EXPECT_TRUE(has(r.lines[0], part)) << r.lines[0];
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

// The actions of an instance do not depend on the other instances in its process.
TEST(SimulatorAdapter, InstancesOfOneProcessAreIndependent) {
  const auto lines_for = [](const std::vector<int>& whos) {
    std::vector<std::string> lines;
    std::string nodes;
    for (const int who : whos) nodes.append(nodes.empty() ? "" : ",").append(open_node(who));
    lines.push_back(batch(1, 1, nodes));
    for (int turn = 2; turn < 60; ++turn) {
      nodes.clear();
      for (const int who : whos) {
        const std::string id = std::to_string(who) + "-" + std::to_string(turn);
        const std::string old = std::to_string(who) + "-" + std::to_string(turn - 2);
        nodes += (nodes.empty() ? "" : ",");
        nodes += R"({"who":)" + std::to_string(who) + R"(,"news":[{"kind":"QUERY","txn":")" + id +
                 R"(","timeLeft":2},{"kind":"DONE","txn":")" + old + R"(","outcome":")" +
                 (turn % 3 == 0 ? "shed" : "app_error") + R"(","lag":0.2}]})";
      }
      lines.push_back(batch(turn, 1 + turn * 0.1, nodes));
    }
    return lines;
  };
  const Result together = run(lines_for({0, 1, 2}));
  ASSERT_EQ(together.code, 0) << together.errors;
  std::vector<Result> apart;
  for (const int who : {0, 1, 2}) apart.push_back(run(lines_for({who})));
  for (std::size_t i = 0; i < together.lines.size(); ++i) {
    std::string joined;
    for (const Result& one : apart) {
      const std::string& line = one.lines.at(i);
      const std::size_t start = line.find('[') + 1;
      const std::string inner = line.substr(start, line.rfind(']') - start);
      if (!inner.empty()) joined += (joined.empty() ? "" : ",") + inner;
    }
    const std::string& line = together.lines[i];
    const std::size_t start = line.find('[') + 1;
    EXPECT_EQ(line.substr(start, line.rfind(']') - start), joined);
  }
}

}  // namespace
