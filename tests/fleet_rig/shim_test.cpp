// Preloads the shim into a worker process: each fault alone, faults on files only, and no effect without
// faults in the plan.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fault_plan.h"
#include "machine.h"

namespace thymewood::fleet {
namespace {

class Shim : public testing::Test {
 protected:
  Shim()
      : folder_(testing::TempDir() + "/shim_" + std::to_string(::getpid()) + "_" +
                testing::UnitTest::GetInstance()->current_test_info()->name()),
        faults_(folder_ + ".faults") {
    std::filesystem::create_directories(folder_);
    int in[2], out[2];
    EXPECT_EQ(::pipe2(in, O_CLOEXEC), 0);
    EXPECT_EQ(::pipe2(out, O_CLOEXEC), 0);
    std::vector<std::string> variables = faults_.environment(FLEET_SHIM);
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(in[0], STDIN_FILENO);
      ::dup2(out[1], STDOUT_FILENO);
      ::execle(SHIM_WORKER, SHIM_WORKER, folder_.c_str(), nullptr, environment.data());
      ::_exit(127);
    }
    ::close(in[0]);
    ::close(out[1]);
    command_fd_ = in[1];
    output_ = ::fdopen(out[0], "r");
  }
  ~Shim() override {
    ::close(command_fd_);
    std::fclose(output_);
    ::waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  // Sends one command to the worker and returns its output line: the command, the result, and errno (0 on
  // success).
  std::string run_command(const std::string& command) {
    const std::string line = command + "\n";
    EXPECT_EQ(::write(command_fd_, line.data(), line.size()), static_cast<ssize_t>(line.size()));
    char buffer[256] = "";
    EXPECT_NE(std::fgets(buffer, sizeof buffer, output_), nullptr);
    std::string out = buffer;
    return out.substr(0, out.find('\n'));
  }
  std::string failure_line(const std::string& command, int error) {
    return command + " -1 " + std::to_string(error);
  }
  std::uintmax_t size() { return std::filesystem::file_size(folder_ + "/data"); }

  std::string folder_;
  FaultPlanFile faults_;
  pid_t pid_ = -1;
  int command_fd_ = -1;
  std::FILE* output_ = nullptr;
};

TEST_F(Shim, ChangesNothingWithoutFaults) {
  EXPECT_EQ(run_command("write"), "write 10 0");
  EXPECT_EQ(run_command("writev"), "writev 10 0");
  EXPECT_EQ(run_command("fsync"), "fsync 0 0");
  EXPECT_EQ(run_command("fdatasync"), "fdatasync 0 0");
  EXPECT_EQ(size(), 20u);
  EXPECT_EQ(run_command("rename"), "rename 0 0");
  EXPECT_EQ(faults_.plan().writes, 3u) << "two buffers of writev and one write";
  EXPECT_EQ(faults_.plan().syncs, 2u);
  EXPECT_EQ(faults_.plan().renames, 1u);
}

TEST_F(Shim, FailsOnlyFileWritesAndAtTheGivenRate) {
  faults_.plan().write_errno = ENOSPC;
  for (const char* command : {"write", "pwrite", "writev"})
    EXPECT_EQ(run_command(command), failure_line(command, ENOSPC));
  EXPECT_EQ(size(), 0u);
  EXPECT_EQ(run_command("fsync"), "fsync 0 0");
  EXPECT_EQ(run_command("rename"), "rename 0 0");
  faults_.plan().write_every = 3;
  int failures = 0;
  for (int i = 0; i < 9; ++i) failures += run_command("write") == "write 10 0" ? 0 : 1;
  EXPECT_EQ(failures, 3);
  faults_.plan().write_errno = 0;
  EXPECT_EQ(run_command("write"), "write 10 0");
}

TEST_F(Shim, ShortensAndTearsWrites) {
  faults_.plan().shorten_every = 1;
  EXPECT_EQ(run_command("write"), "write 5 0");
  EXPECT_EQ(size(), 5u);
  EXPECT_EQ(run_command("writev"), "writev 2 0") << "a short write within the first buffer";
  faults_.plan().shorten_every = 0;
  faults_.plan().tear_every = 1;
  EXPECT_EQ(run_command("write"), "write 10 0") << "a torn write reports success";
  EXPECT_EQ(size(), 5u + 2 + 5);
}

TEST_F(Shim, FailsOrSkipsSyncsAndFailsRenames) {
  faults_.plan().sync_errno = EIO;
  EXPECT_EQ(run_command("fsync"), failure_line("fsync", EIO));
  EXPECT_EQ(run_command("fdatasync"), failure_line("fdatasync", EIO));
  EXPECT_EQ(run_command("write"), "write 10 0");
  faults_.plan().sync_errno = 0;
  faults_.plan().skip_sync = 1;
  EXPECT_EQ(run_command("fsync"), "fsync 0 0");
  faults_.plan().rename_errno = EROFS;
  EXPECT_EQ(run_command("rename"), failure_line("rename", EROFS));
  EXPECT_TRUE(std::filesystem::exists(folder_ + "/data"));
}

TEST_F(Shim, DelaysDiskOperations) {
  run_command("write");
  faults_.plan().delay_us = 100000;
  const auto begin = std::chrono::steady_clock::now();
  run_command("write");
  run_command("fsync");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(200));
}

TEST_F(Shim, ShiftsOnlyTheTimeOfDayClock) {
  const auto read = [this] {
    std::istringstream in(run_command("clock"));
    std::string command;
    long long wall = 0, steady = 0;
    in >> command >> wall >> steady;
    return std::pair{wall, steady};
  };
  const auto before = read();
  faults_.plan().clock_shift_ns = -3'600'000'000'000;
  const auto after = read();
  EXPECT_LT(after.first, before.first - 3'500'000);
  EXPECT_GE(after.second, before.second);
  faults_.plan().clock_shift_ns = 0;
  EXPECT_GE(read().first, before.first);
}

TEST(MachineFaults, ApplyToTheStartedProcess) {
  const std::string folder = testing::TempDir() + "/shim_machine_" + std::to_string(::getpid());
  const std::string program = folder + "_program";
  std::ofstream(program) << "#!/bin/sh\necho word | " << SHIM_WORKER << " . ; "
                         << "for i in 1 2 3; do echo write | " << SHIM_WORKER << " $TMPDIR; done\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  {
    Machine machine({program, folder, {"PATH=/usr/bin:/bin"}, 0, FLEET_SHIM});
    ASSERT_NE(machine.faults(), nullptr);
    machine.start();
    while (machine.running()) ::usleep(1000);
    // The machine's log is a regular file too, and holds the worker's output about its own writes.
    EXPECT_NE(machine.log().find("write 10 0"), std::string::npos) << machine.log();
    EXPECT_GE(machine.faults()->writes, 3u);
    machine.faults()->write_errno = ENOSPC;
    machine.start(true);
    while (machine.running()) ::usleep(1000);
    EXPECT_EQ(machine.log().find("write 10 0"), std::string::npos) << "writes to the log must fail too";
  }
  std::filesystem::remove_all(folder);
  std::filesystem::remove(program);
}

}  // namespace
}  // namespace thymewood::fleet
