// For the tests of the shim: performs one operation and prints its result.
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

void say(const std::string& what, long result) {
  const int problem = result < 0 ? errno : 0;
  const std::string line = what + " " + std::to_string(result) + " " + std::to_string(problem) + "\n";
  if (::write(STDOUT_FILENO, line.data(), line.size()) < 0) std::abort();
}

long long ms(std::chrono::nanoseconds t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(t).count();
}

}  // namespace

int main(int count, char** arguments) {
  const std::string folder = count > 1 ? arguments[1] : ".";
  // A word a line on standard input; standard output is a pipe, which the shim leaves alone.
  for (std::string word; std::cin >> word;) {
    const std::string path = folder + "/data";
    const int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (word == "write") say(word, ::write(fd, "0123456789", 10));
    if (word == "pwrite") say(word, ::pwrite(fd, "0123456789", 10, 0));
    if (word == "writev") {
      char a[] = "01234", b[] = "56789";
      const iovec pieces[] = {{a, 5}, {b, 5}};
      say(word, ::writev(fd, pieces, 2));
    }
    if (word == "fsync") say(word, ::fsync(fd));
    if (word == "fdatasync") say(word, ::fdatasync(fd));
    if (word == "rename") say(word, std::rename(path.c_str(), (path + "2").c_str()));
    if (word == "clock") {
      const auto wall = std::chrono::system_clock::now().time_since_epoch();
      const auto steady = std::chrono::steady_clock::now().time_since_epoch();
      std::cout << "clock " << ms(wall) << " " << ms(steady) << std::endl;
    }
    ::close(fd);
  }
  return 0;
}
