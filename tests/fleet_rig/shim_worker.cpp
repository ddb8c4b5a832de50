// Worker process of the shim tests: performs the operations named on standard input and prints their results.
#include <fcntl.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

namespace {

void print_result(const std::string& command, long result) {
  const int error = result < 0 ? errno : 0;
  const std::string line = command + " " + std::to_string(result) + " " + std::to_string(error) + "\n";
  if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) std::abort();
}

long long ms(std::chrono::nanoseconds t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(t).count();
}

}  // namespace

int main(int argument_count, char** arguments) {
  const std::string folder = argument_count > 1 ? arguments[1] : ".";
  // Reads one command per line from standard input. Standard output is a pipe, which the shim doesn't affect.
  for (std::string command; std::cin >> command;) {
    const std::string path = folder + "/data";
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (command == "write") print_result(command, ::write(fd, "0123456789", 10));
    if (command == "pwrite") print_result(command, ::pwrite(fd, "0123456789", 10, 0));
    if (command == "writev") {
      char a[] = "01234", b[] = "56789";
      const iovec buffers[] = {{a, 5}, {b, 5}};
      print_result(command, ::writev(fd, buffers, 2));
    }
    if (command == "fsync") print_result(command, ::fsync(fd));
    if (command == "fdatasync") print_result(command, ::fdatasync(fd));
    if (command == "rename") print_result(command, std::rename(path.c_str(), (path + "2").c_str()));
    if (command == "clock") {
      const auto wall = std::chrono::system_clock::now().time_since_epoch();
      const auto steady = std::chrono::steady_clock::now().time_since_epoch();
      std::cout << "clock " << ms(wall) << " " << ms(steady) << std::endl;
    }
    ::close(fd);
  }
  return 0;
}
