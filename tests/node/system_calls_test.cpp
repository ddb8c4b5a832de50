// Fault injection for the system calls that the node makes. For each call and each error that Linux documents
// for it, the first call of a request fails, then the second one, and so on, while the request is received,
// forwarded and answered. The request must get one final response and be executed at most once, and the node
// must serve the next.
#include <sys/mman.h>

#include "call_plan.h"
#include "scripted_discovery.h"

namespace thymewood::node {
namespace {

using fleet::CallPlan;
using fleet::FaultyCall;

constexpr int kMaxCallsPerRequest = 12;  // for each kind of system call

// A file with the plan of which call fails. The test and the node's shim both map it into memory.
class CallPlanFile {
 public:
  CallPlanFile() : path_(testing::TempDir() + "/calls_" + std::to_string(::getpid()) + ".plan") {
    const Fd file(::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    EXPECT_EQ(::ftruncate(file.get(), sizeof(CallPlan)), 0);
    void* const mapping =
        ::mmap(nullptr, sizeof(CallPlan), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
    plan_ = new (mapping) CallPlan;
    ::setenv(fleet::kCallPlanVariable, path_.c_str(), 1);
  }
  ~CallPlanFile() {
    ::munmap(plan_, sizeof(CallPlan));
    ::unsetenv(fleet::kCallPlanVariable);
    std::remove(path_.c_str());
  }
  CallPlanFile(const CallPlanFile&) = delete;
  CallPlanFile& operator=(const CallPlanFile&) = delete;

  void set(FaultyCall call, int error, std::uint64_t nth) const {
    plan_->call = FaultyCall::kNone;
    plan_->error = error;
    plan_->nth = nth;
    plan_->times = 1;
    plan_->matching_calls = plan_->injected_faults = 0;
    plan_->call = call;
  }
  void clear() const { plan_->call = FaultyCall::kNone; }
  bool fired() const { return plan_->injected_faults > 0; }

 private:
  std::string path_;
  CallPlan* plan_;
};

void load_shim() {
  ::setenv("LD_PRELOAD", CALL_SHIM, 1);
  ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
}

struct Fault {
  const char* name;
  FaultyCall call;
  std::vector<int> errors;
  // The node may treat a connection with a failed read or write as closed, so the client may see the end of
  // its connection in place of a response.
  bool breaks_connections = false;
};

const std::vector<Fault>& all_faults() {
  static const std::vector<Fault> faults = {
      {"accept", FaultyCall::kAccept, {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, EPERM}},
      {"socket", FaultyCall::kSocket, {EMFILE, ENFILE, ENOBUFS, ENOMEM}},
      {"connect",
       FaultyCall::kConnect,
       {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EAGAIN, ECONNREFUSED, EINTR}},
      {"epoll_wait", FaultyCall::kEpollWait, {EINTR}},
      {"recv", FaultyCall::kRecv, {EINTR, 0}},
      {"recv", FaultyCall::kRecv, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET}, true},
      {"send", FaultyCall::kSend, {EINTR, EAGAIN, 0}},
      {"send", FaultyCall::kSend, {ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE}, true},
      {"getsockopt", FaultyCall::kGetsockopt, {ENOPROTOOPT, ENOBUFS}},
      {"timerfd_settime", FaultyCall::kTimer, {EINVAL}},
  };
  return faults;
}

class SystemCallFailures : public testing::TestWithParam<std::size_t> {};

TEST_P(SystemCallFailures, LoseNoResponseAndDuplicateNoRequest) {
  const Fault& fault = all_faults()[GetParam()];
  FakeServer one(respond_with(200, "ok")), two(respond_with(200, "ok"));
  const CallPlanFile plan;
  NodeConfig config;
  config.bounds = R"("cancel":true,"maxAttempts":3,"maxRetryAfter":2.0,"retryAfter":true,)"
                  R"("secondCopies":true,"dialTimeout":0.5,"idleClose":60.0)";
  Deployment d({&one, &two}, config, 0, load_shim);
  ASSERT_TRUE(eventually([&] { return d.discovery.requests().size() == 1; }));
  const std::string body(3000, 'b');
  int requests = 0, fired = 0;
  for (const int error : fault.errors) {
    for (std::uint64_t nth = 1; nth <= kMaxCallsPerRequest; ++nth) {
      const std::string id = "f" + std::to_string(++requests);
      const std::string failure =
          std::string(fault.name) + " " + std::to_string(nth) + " fails with " + std::to_string(error);
      plan.set(fault.call, error, nth);
      RawConnection client = d.client();
      client.write(ClientRequest{.id = id, .body = body, .timeout = "4000"}.text());
      const std::string response = client.read_message();
      plan.clear();
      fired += plan.fired() ? 1 : 0;
      ASSERT_TRUE(d.program->running()) << failure << '\n' << d.program->log();
      if (!fault.breaks_connections || !response.empty()) {
        const int status = status_of(response);
        EXPECT_TRUE(status == 200 || status == 502 || status == 503) << failure << ": " << response;
      }
      int executions = 0;
      for (FakeServer* server : {&one, &two}) {
        for (const std::string& request : server->requests())
          executions += header_of(request, "X-Request-ID") == id;
      }
      EXPECT_LE(executions, 1) << failure;
      if (status_of(response) == 503) {
        EXPECT_EQ(executions, 0) << failure
                                 << ": the request was rejected as not processed, but a server executed it";
      }
      // The next request, on a new connection, is served.
      RawConnection next = d.client();
      next.write(ClientRequest{.id = "n" + std::to_string(requests), .body = body}.text());
      EXPECT_EQ(status_of(next.read_message()), 200) << "after " << failure << '\n' << d.program->log();
      if (!plan.fired()) break;  // the request made fewer than `nth` of these calls
    }
  }
  EXPECT_GT(fired, 0) << fault.name << ": the shim made no call fail";
}

std::string test_name(const testing::TestParamInfo<std::size_t>& info) {
  const Fault& fault = all_faults()[info.param];
  return std::string(fault.name) + std::to_string(info.param);
}
INSTANTIATE_TEST_SUITE_P(Each, SystemCallFailures, testing::Range(std::size_t{0}, all_faults().size()),
                         test_name);

}  // namespace
}  // namespace thymewood::node
