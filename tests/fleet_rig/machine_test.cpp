// Tests each machine fault by itself on a real process: a shell script or the node.
#include "machine.h"

#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "node_harness.h"

namespace thymewood::fleet {
namespace {

using node::eventually;

std::string folder_of(const std::string& name) {
  const std::string out = testing::TempDir() + "/machine_" + std::to_string(::getpid()) + "_" + name;
  std::filesystem::remove_all(out);
  return out;
}

// A machine that runs a shell script.
struct ScriptMachine {
  ScriptMachine(const std::string& name, const std::string& script) : folder(folder_of(name)) {
    std::filesystem::create_directories(folder + "_bin");
    const std::string program = folder + "_bin/program";
    std::ofstream(program) << "#!/bin/sh\n" << script << "\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    machine = std::make_unique<Machine>(Machine::Options{program, folder, {"GREETING=hello"}, 0});
  }
  ~ScriptMachine() {
    machine.reset();
    std::filesystem::remove_all(folder);
    std::filesystem::remove_all(folder + "_bin");
  }
  bool logs(const std::string& text) {
    return eventually([&] { return machine->log().find(text) != std::string::npos; });
  }
  std::string folder;
  std::unique_ptr<Machine> machine;
};

bool is_gone(pid_t pid) { return ::kill(pid, 0) != 0 && errno == ESRCH; }

constexpr const char* kRunForever = "echo up $GREETING $TMPDIR\nwhile :; do sleep 0.05; done";

TEST(Machine, StartsWithItsFolderAndNothingElse) {
  ScriptMachine s("start", kRunForever);
  s.machine->start();
  EXPECT_TRUE(s.logs("up hello " + std::filesystem::absolute(s.folder).string()));
  EXPECT_TRUE(s.machine->running());
  EXPECT_FALSE(s.machine->crashed());
  EXPECT_EQ(::getpgid(s.machine->pid()), s.machine->pid()) << "the process leads its own process group";
  EXPECT_LE(s.machine->usage().descriptors, 5) << "no descriptors are inherited";
}

TEST(Machine, KillEndsTheWholeProcessGroup) {
  ScriptMachine s("kill", "sleep 1000 & echo child $!\nwait");
  s.machine->start();
  ASSERT_TRUE(s.logs("child"));
  const std::string log = s.machine->log();
  const pid_t child = std::stoi(log.substr(log.find("child ") + 6));
  s.machine->kill();
  EXPECT_FALSE(s.machine->running());
  EXPECT_FALSE(s.machine->crashed()) << "it was killed by kill()";
  EXPECT_TRUE(eventually([&] { return is_gone(child); }));
}

TEST(Machine, RestartsWithOrWithoutItsDisk) {
  ScriptMachine s(
      "disk", "[ -e kept ] || [ -e $TMPDIR/kept ] && echo found\ntouch $TMPDIR/kept\necho up\nsleep 1000");
  s.machine->start();
  ASSERT_TRUE(s.logs("up"));
  s.machine->start();
  EXPECT_TRUE(s.logs("found"));
  EXPECT_EQ(s.machine->start_count(), 2);
  s.machine->start(true);
  ASSERT_TRUE(s.logs("up"));
  EXPECT_EQ(s.machine->log().find("found"), std::string::npos);
}

TEST(Machine, UnexpectedNonzeroExitCountsAsACrash) {
  ScriptMachine clean("clean", "exit 0"), nonzero("nonzero", "exit 3"),
      signalled("signalled", "kill -SEGV $$");
  for (ScriptMachine* s : {&clean, &nonzero, &signalled}) {
    s->machine->start();
    ASSERT_TRUE(eventually([&] { return !s->machine->running(); }));
  }
  EXPECT_FALSE(clean.machine->crashed());
  EXPECT_TRUE(nonzero.machine->crashed());
  EXPECT_EQ(WEXITSTATUS(nonzero.machine->status()), 3);
  EXPECT_TRUE(signalled.machine->crashed());
}

TEST(Machine, MissingProgramExitsBeforeListening) {
  Machine machine({"/nowhere/at/all", folder_of("none"), {}, 0});
  machine.start();
  ASSERT_TRUE(eventually([&] { return !machine.running(); }));
  EXPECT_EQ(WEXITSTATUS(machine.status()), 127);
  EXPECT_TRUE(machine.crashed());
  std::filesystem::remove_all(machine.folder());
}

TEST(Machine, IsStoppedWhenPauseReturnsAndRunsAfterResume) {
  ScriptMachine s("pause", "i=0\nwhile :; do i=$((i+1)); echo $i; sleep 0.01; done");
  s.machine->start();
  ASSERT_TRUE(s.logs("3"));
  s.machine->pause();
  const std::string before = s.machine->log();
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(s.machine->log(), before);
  EXPECT_TRUE(s.machine->running()) << "a stopped process still exists";
  EXPECT_TRUE(s.machine->paused());
  s.machine->resume();
  EXPECT_TRUE(eventually([&] { return s.machine->log().size() > before.size(); }));
  s.machine->pause();
  s.machine->kill();
  EXPECT_FALSE(s.machine->running()) << "a stopped process can be killed";
}

TEST(Machine, RunsWithAFullDiskAndWritesNothingUntilSpaceIsFreed) {
  ScriptMachine s(
      "full",
      "trap '' XFSZ\ni=0\nwhile :; do i=$((i+1)); echo line $i; echo x > $TMPDIR/file 2>/dev/null; "
      "sleep 0.01; done 2>/dev/null");
  s.machine->start();
  ASSERT_TRUE(s.logs("line 3"));
  s.machine->fill_disk();
  // Wait for output that was already under way: after that the full disk lets nothing more into the log.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const std::string before = s.machine->log();
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(s.machine->log(), before);
  EXPECT_TRUE(s.machine->running());
  s.machine->free_disk_space();
  EXPECT_TRUE(eventually([&] { return s.machine->log().size() > before.size(); }));
}

TEST(Machine, RespectsItsDescriptorLimit) {
  ScriptMachine s("scarce", "while :; do ulimit -n; sleep 0.02; done");
  s.machine->start();
  ASSERT_TRUE(eventually([&] { return s.machine->log().size() > 2; }));
  s.machine->limit_descriptors(33);
  EXPECT_TRUE(s.logs("33"));
  s.machine->limit_descriptors(0);
  EXPECT_TRUE(eventually([&] {
    const std::string log = s.machine->log();
    return log.rfind("33") < log.size() - 6;
  }));
}

// The rig may be killed at any time; without the parent-death signal its nodes would run on for ever.
TEST(Machine, DiesWithItsParent) {
  const std::string folder = folder_of("orphan"), program = folder + "_program";
  std::ofstream(program) << "#!/bin/sh\necho up\nexec sleep 1000\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  int pipe_ends[2];
  ASSERT_EQ(::pipe(pipe_ends), 0);
  const pid_t parent = ::fork();
  if (parent == 0) {
    Machine machine({program, folder, {}, 0});
    machine.start();
    const pid_t child = machine.pid();
    if (::write(pipe_ends[1], &child, sizeof child) != sizeof child) ::_exit(1);
    ::pause();
    ::_exit(0);
  }
  pid_t child = -1;
  ASSERT_EQ(::read(pipe_ends[0], &child, sizeof child), static_cast<ssize_t>(sizeof child));
  ASSERT_TRUE(eventually([&] {
    std::ifstream log(folder + "/log");
    return std::string((std::istreambuf_iterator<char>(log)), {}).find("up") != std::string::npos;
  })) << "the child did not start";
  ::kill(parent, SIGKILL);
  ::waitpid(parent, nullptr, 0);
  EXPECT_TRUE(eventually([&] {
    std::ifstream stat("/proc/" + std::to_string(child) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(stat)), {});
    return text.empty() || text.find(") Z") != std::string::npos;  // its new parent may reap it late
  }));
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
  std::filesystem::remove_all(folder);
  std::filesystem::remove(program);
}

// A stopped node keeps its listening socket: the kernel completes connections, but no request is answered.
TEST(Machine, PausedNodeStillAcceptsConnections) {
  node::NodeConfig config;
  const std::string folder = folder_of("node");
  std::filesystem::create_directories(folder);
  config.known = node::endpoint_list_json(7, true, node::endpoint_json("s0", "127.0.0.1:9"));
  std::ofstream(folder + "/config.json") << config.text();
  Machine machine({NODE_PROGRAM, folder, {"RELAY_CONFIG=" + folder + "/config.json"}, 0});
  machine.start();
  const std::string address_field = " address=127.0.0.1:";
  ASSERT_TRUE(eventually([&] { return machine.log().find(address_field) != std::string::npos; }))
      << machine.log();
  const std::string log = machine.log();
  const int port = std::stoi(log.substr(log.find(address_field) + address_field.size()));
  machine.pause();
  node::RawConnection client = node::RawConnection::connect_to(port);
  EXPECT_TRUE(client.is_open());
  client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  pollfd readable{client.fd(), POLLIN, 0};
  EXPECT_EQ(::poll(&readable, 1, 150), 0);
  machine.resume();
  EXPECT_EQ(node::status_of(client.read_message()), 200);
  EXPECT_GT(machine.usage().memory_kb, 0u);
  EXPECT_GT(machine.usage().descriptors, 3);
  machine.kill();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace thymewood::fleet
