// The watch on the list of servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "clock.h"
#include "object_stream.h"
#include "settings_reader.h"
#include "thymewood/balancer.h"

namespace thymewood::node {

// How discovery names what the module knows by number.
struct Directory {
  std::vector<std::string> zones;
};

struct Member {
  Server server;  // its address is the server's name: the same at every node, which real addresses are not
  boost::asio::ip::tcp::endpoint endpoint;
};

// A list, or what changed in it.
struct Membership {
  std::uint64_t index = 0;
  bool full = false;
  std::vector<Member> members;
  std::string complaint;  // of the first entry that can't be read, and its field; empty where all can
};

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

// Throws std::exception, naming the field, where no list can be made out. An entry that can't be read costs
// no other: the server that it names gets nothing new, as one that drains; without a name it is passed over.
Membership read_membership(const json::Value& in, const Directory& directory, const Clock& clock);

class Discovery {
 public:
  // `update` for each list or change. `failed` when no watch is open and none will be opened without watch();
  // after a silence or a move not before some tries of its own have failed, for what discovery has to tell
  // counts as told soon after these. Neither is called from within watch().
  struct Listener {
    std::function<void(const Membership&)> update;
    std::function<void()> failed;
  };

  // `seed`: spreads the tries of nodes whose watches break together.
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint where, Directory directory,
            const Clock& clock, std::uint64_t seed, Listener listener);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Asks for the changes after the list in hand, unless a watch is open or about to be.
  void watch();
  // Takes in at once what discovery has sent and has not been read: the listener hears of it from within.
  // Where nothing waits it costs one system call.
  void refresh();
  // Discovery has moved: the watch goes on at the new address, with the whole list.
  void move_to(const boost::asio::ip::tcp::endpoint& where);
  void set_index(std::uint64_t index) { index_ = index; }

 private:
  class Watch;
  // Why a watch ended.
  enum class End { kBroken, kSilent };
  void take_object(const std::shared_ptr<Watch>& from, std::string_view object);
  void heard();  // a byte of a watch's answer
  void hurry();
  void end(const std::shared_ptr<Watch>& from, End why);
  void open();
  double patience(bool heard) const;  // s; of a watch that has said something, or nothing yet
  void complain(const std::string& text);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint where_;
  Directory directory_;
  const Clock& clock_;
  Listener listener_;
  std::uint64_t index_ = 0;
  std::shared_ptr<Watch> watch_;
  boost::asio::steady_timer again_;  // until the next of the tries that are left
  std::minstd_rand jitter_;
  int tries_left_ = 0;    // before the listener hears of a failure
  double pause_ = 0;      // s; before the next of them
  bool trying_ = false;   // that pause is on
  int silences_ = 0;      // watches in a row that were given up as silent
  double opened_at_ = 0;  // s on the clock; when the watch in hand was
  bool complained_ = false;
};

}  // namespace thymewood::node
