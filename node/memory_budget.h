// Limits the memory for buffered messages over all connections of a node.
#pragma once

#include <algorithm>
#include <cstddef>

namespace thymewood::node {

class MemoryBudget {
 public:
  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void set_limit(std::size_t bytes) { limit_ = bytes; }
  [[nodiscard]] std::size_t used() const { return used_; }

  // Which part of the budget a reservation may use.
  enum class Priority {
    kNormal,
    kLow  // leaves a part of the budget to the others
  };

  // The bytes reserved for one message or connection; released on destruction.
  class Reservation {
   public:
    explicit Reservation(MemoryBudget& budget) : budget_(budget) {}
    ~Reservation() { budget_.used_ -= bytes_; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    // Resizes the reservation. Returns false and changes nothing if it would exceed the limit.
    [[nodiscard]] bool try_resize(std::size_t bytes, Priority priority = Priority::kNormal) {
      const std::size_t limit =
          priority == Priority::kLow ? budget_.limit_ / kLowPriorityDivisor : budget_.limit_;
      const std::size_t available = limit - std::min(budget_.used_, limit);
      if (bytes > bytes_ && bytes - bytes_ > available) return false;
      resize(bytes);
      return true;
    }

    // Resizes the reservation regardless of the limit: for memory that is already allocated, such as a
    // response that moves from the upstream connection to the client connection.
    void resize(std::size_t bytes) {
      budget_.used_ = budget_.used_ - bytes_ + bytes;
      bytes_ = bytes;
    }

   private:
    MemoryBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  static constexpr std::size_t kLowPriorityDivisor = 2;

  std::size_t limit_ = 0;
  std::size_t used_ = 0;
};

}  // namespace thymewood::node
