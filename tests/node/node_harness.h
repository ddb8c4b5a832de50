// Includes everything that a test of the real node needs: the node as a child process, and servers, discovery
// and clients on loopback sockets. The harness waits for conditions with a generous limit, never for a fixed
// time.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config_text.h"
#include "deployment.h"
#include "fake_discovery.h"
#include "fake_server.h"
#include "full_listener.h"
#include "node_program.h"
#include "raw_connection.h"
#include "test_socket.h"
