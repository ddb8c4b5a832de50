// Each fault of a machine on a real process, alone. The process is a shell script or the node itself.
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
struct Scripted {
  Scripted(const std::string& name, const std::string& script) : folder(folder_of(name)) {
    std::filesystem::create_directories(folder + "_bin");
    const std::string program = folder + "_bin/program";
    std::ofstream(program) << "#!/bin/sh\n" << script << "\n";
    std::filesystem::permissions(program, std::filesystem::perms::owner_all);
    machine = std::make_unique<Machine>(Machine::Options{program, folder, {"GREETING=hello"}, 0});
  }
  ~Scripted() {
    machine.reset();
    std::filesystem::remove_all(folder);
    std::filesystem::remove_all(folder + "_bin");
  }
  bool says(const std::string& text) {
    return eventually([&] { return machine->log().find(text) != std::string::npos; });
  }
  std::string folder;
  std::unique_ptr<Machine> machine;
};

bool is_gone(pid_t pid) { return ::kill(pid, 0) != 0 && errno == ESRCH; }

constexpr const char* kForever = "echo up $GREETING $TMPDIR\nwhile :; do sleep 0.05; done";

TEST(Machine, StartsWithItsFolderAndNothingElse) {
  Scripted s("start", kForever);
  s.machine->start();
  EXPECT_TRUE(s.says("up hello " + std::filesystem::absolute(s.folder).string()));
  EXPECT_TRUE(s.machine->running());
  EXPECT_FALSE(s.machine->crashed());
  EXPECT_EQ(::getpgid(s.machine->pid()), s.machine->pid()) << "a process group of its own";
  EXPECT_LE(s.machine->usage().descriptors, 5) << "none of ours";
}

TEST(Machine, KillEndsTheWholeProcessGroup) {
  Scripted s("kill", "sleep 1000 & echo child $!\nwait");
  s.machine->start();
  ASSERT_TRUE(s.says("child"));
  const std::string log = s.machine->log();
  const pid_t child = std::stoi(log.substr(log.find("child ") + 6));
  s.machine->kill();
  EXPECT_FALSE(s.machine->running());
  EXPECT_FALSE(s.machine->crashed()) << "that was us";
  EXPECT_TRUE(eventually([&] { return is_gone(child); }));
}

TEST(Machine, RestartsWithOrWithoutItsDisk) {
  Scripted s("disk",
             "[ -e kept ] || [ -e $TMPDIR/kept ] && echo found\ntouch $TMPDIR/kept\necho up\nsleep 1000");
  s.machine->start();
  ASSERT_TRUE(s.says("up"));
  s.machine->start();
  EXPECT_TRUE(s.says("found"));
  EXPECT_EQ(s.machine->starts(), 2);
  s.machine->start(true);
  ASSERT_TRUE(s.says("up"));
  EXPECT_EQ(s.machine->log().find("found"), std::string::npos);
}

TEST(Machine, UnexpectedNonzeroExitCountsAsACrash) {
  Scripted well("well", "exit 0"), badly("badly", "exit 3"), signalled("signalled", "kill -SEGV $$");
  for (Scripted* s : {&well, &badly, &signalled}) {
    s->machine->start();
    ASSERT_TRUE(eventually([&] { return !s->machine->running(); }));
  }
  EXPECT_FALSE(well.machine->crashed());
  EXPECT_TRUE(badly.machine->crashed());
  EXPECT_EQ(WEXITSTATUS(badly.machine->status()), 3);
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
  Scripted s("pause", "i=0\nwhile :; do i=$((i+1)); echo $i; sleep 0.01; done");
  s.machine->start();
  ASSERT_TRUE(s.says("3"));
  s.machine->pause();
  const std::string before = s.machine->log();
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(s.machine->log(), before);
  EXPECT_TRUE(s.machine->running()) << "a stopped process is there";
  EXPECT_TRUE(s.machine->paused());
  s.machine->resume();
  EXPECT_TRUE(eventually([&] { return s.machine->log().size() > before.size(); }));
  s.machine->pause();
  s.machine->kill();
  EXPECT_FALSE(s.machine->running()) << "a stopped one can be killed";
}

TEST(Machine, RunsWithAFullDiskAndWritesNothingUntilSpaceIsFreed) {
  Scripted s("full",
             "trap '' XFSZ\ni=0\nwhile :; do i=$((i+1)); echo line $i; echo x > $TMPDIR/file 2>/dev/null; "
             "sleep 0.01; done 2>/dev/null");
  s.machine->start();
  ASSERT_TRUE(s.says("line 3"));
  s.machine->fill_disk();
  // Ten more rounds cannot be seen in a log that is full: what it has by now is all.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  const std::string before = s.machine->log();
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  EXPECT_EQ(s.machine->log(), before);
  EXPECT_TRUE(s.machine->running());
  s.machine->clear_disk();
  EXPECT_TRUE(eventually([&] { return s.machine->log().size() > before.size(); }));
}

TEST(Machine, RespectsItsDescriptorLimit) {
  Scripted s("scarce", "while :; do ulimit -n; sleep 0.02; done");
  s.machine->start();
  ASSERT_TRUE(eventually([&] { return s.machine->log().size() > 2; }));
  s.machine->limit_descriptors(33);
  EXPECT_TRUE(s.says("33"));
  s.machine->limit_descriptors(0);
  EXPECT_TRUE(eventually([&] {
    const std::string log = s.machine->log();
    return log.rfind("33") < log.size() - 6;
  }));
}

// Guards against leftovers: the rig may be killed at any time, and its nodes would go on for ever.
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
  })) << "it would have lived on";
  ::kill(parent, SIGKILL);
  ::waitpid(parent, nullptr, 0);
  EXPECT_TRUE(eventually([&] {
    std::ifstream stat("/proc/" + std::to_string(child) + "/stat");
    const std::string text((std::istreambuf_iterator<char>(stat)), {});
    return text.empty() || text.find(") Z") != std::string::npos;  // whoever adopts it may be slow to reap it
  }));
  ::close(pipe_ends[0]);
  ::close(pipe_ends[1]);
  std::filesystem::remove_all(folder);
  std::filesystem::remove(program);
}

// A stopped node holds its listening socket: connections come up, and nobody answers.
TEST(Machine, PausedNodeStillAcceptsConnections) {
  node::ConfigText config;
  const std::string folder = folder_of("node");
  std::filesystem::create_directories(folder);
  config.known = node::endpoint_list_json(7, true, node::endpoint_json("s0", "127.0.0.1:9"));
  std::ofstream(folder + "/config.json") << config.text();
  Machine machine({NODE_PROGRAM, folder, {"RELAY_CONFIG=" + folder + "/config.json"}, 0});
  machine.start();
  const std::string word = " address=127.0.0.1:";
  ASSERT_TRUE(eventually([&] { return machine.log().find(word) != std::string::npos; })) << machine.log();
  const std::string log = machine.log();
  const int port = std::stoi(log.substr(log.find(word) + word.size()));
  machine.pause();
  node::RawConnection client = node::RawConnection::connect_to(port);
  EXPECT_TRUE(client.is_open());
  client.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
  pollfd look{client.fd(), POLLIN, 0};
  EXPECT_EQ(::poll(&look, 1, 150), 0);
  machine.resume();
  EXPECT_EQ(node::status_of(client.read_message()), 200);
  EXPECT_GT(machine.usage().memory_kb, 0u);
  EXPECT_GT(machine.usage().descriptors, 3);
  machine.kill();
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace thymewood::fleet
