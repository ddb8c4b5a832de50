// Bounds the bytes of messages that a node holds, over all its connections.
#pragma once

#include <algorithm>
#include <cstddef>

namespace thymewood::node {

class Budget {
 public:
  Budget() = default;
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;
  void limit(std::size_t most) { most_ = most; }
  std::size_t used() const { return used_; }

  // What one holder has of it.
  class Share {
   public:
    explicit Share(Budget& of) : of_(of) {}
    ~Share() { of_.used_ -= bytes_; }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    // Now holds so many bytes; false, and nothing is changed, if that is more than there is room for.
    bool hold(std::size_t bytes) {
      if (bytes > bytes_ && bytes - bytes_ > of_.most_ - std::min(of_.used_, of_.most_)) return false;
      keep(bytes);
      return true;
    }
    // The same where the bytes are there already, as with an answer that goes from server to client.
    void keep(std::size_t bytes) {
      of_.used_ = of_.used_ - bytes_ + bytes;
      bytes_ = bytes;
    }

   private:
    Budget& of_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t most_ = 0, used_ = 0;
};

}  // namespace thymewood::node
