#include "link_table.h"

#include <algorithm>

namespace thymewood::fleet {

void Direction::lay(std::uint64_t fault, const Shape& shape) {
  laid_[fault] = shape;
  add_up();
}

void Direction::lift(std::uint64_t fault) {
  laid_.erase(fault);
  add_up();
}

void Direction::add_up() {
  sum_ = {};
  for (const auto& [fault, shape] : laid_) {
    sum_.delay += shape.delay;
    sum_.jitter += shape.jitter;
    sum_.loss = 1 - (1 - sum_.loss) * (1 - shape.loss);
    sum_.duplicate = 1 - (1 - sum_.duplicate) * (1 - shape.duplicate);
    sum_.reorder = 1 - (1 - sum_.reorder) * (1 - shape.reorder);
    sum_.rate = std::min(sum_.rate, shape.rate);
    sum_.cut = sum_.cut || shape.cut;
  }
}

double Direction::due_in_stream(double now, std::size_t bytes, double& free, Random& random) const {
  double due = now + draw_delay(random);
  if (sum_.loss > 0 && random.unit() < sum_.loss) due += Shape::kResend;
  due = std::max(due, free);
  if (sum_.rate < std::numeric_limits<double>::infinity()) due += static_cast<double>(bytes) / sum_.rate;
  free = due;
  return due;
}

std::vector<double> Direction::due_datagrams(double now, std::size_t bytes, Random& random) {
  if (sum_.cut || (sum_.loss > 0 && random.unit() < sum_.loss)) return {};
  double base = now;
  if (sum_.rate < std::numeric_limits<double>::infinity()) {
    wire_free_ = std::max(wire_free_, now) + static_cast<double>(bytes) / sum_.rate;
    base = wire_free_;
  }
  std::vector<double> out{base + draw_delay(random)};
  // One that is overtaken comes after what is sent within the next while: as long as the way itself, or 5 ms.
  constexpr double kLeastDetour = 0.005;
  if (sum_.reorder > 0 && random.unit() < sum_.reorder) out[0] += std::max(kLeastDetour, 2 * sum_.delay);
  if (sum_.duplicate > 0 && random.unit() < sum_.duplicate) out.push_back(base + draw_delay(random));
  return out;
}

}  // namespace thymewood::fleet
