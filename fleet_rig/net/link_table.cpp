#include "link_table.h"

#include <algorithm>

namespace thymewood::fleet {

void Direction::add_fault(std::uint64_t fault, const Shape& shape) {
  shapes_by_fault_[fault] = shape;
  combine_shapes();
}

void Direction::remove_fault(std::uint64_t fault) {
  shapes_by_fault_.erase(fault);
  combine_shapes();
}

void Direction::combine_shapes() {
  combined_ = {};
  for (const auto& [fault, shape] : shapes_by_fault_) {
    combined_.delay += shape.delay;
    combined_.jitter += shape.jitter;
    combined_.loss = 1 - (1 - combined_.loss) * (1 - shape.loss);
    combined_.duplicate = 1 - (1 - combined_.duplicate) * (1 - shape.duplicate);
    combined_.reorder = 1 - (1 - combined_.reorder) * (1 - shape.reorder);
    combined_.rate = std::min(combined_.rate, shape.rate);
    combined_.cut = combined_.cut || shape.cut;
  }
}

double Direction::stream_delivery_time(double now, std::size_t bytes, double& free_at, Random& random) const {
  double due = now + draw_delay(random);
  if (combined_.loss > 0 && random.unit() < combined_.loss) due += Shape::kResend;
  due = std::max(due, free_at);
  if (combined_.rate < std::numeric_limits<double>::infinity())
    due += static_cast<double>(bytes) / combined_.rate;
  free_at = due;
  return due;
}

std::vector<double> Direction::datagram_delivery_times(double now, std::size_t bytes, Random& random) {
  if (combined_.cut || (combined_.loss > 0 && random.unit() < combined_.loss)) return {};
  double departure = now;
  if (combined_.rate < std::numeric_limits<double>::infinity()) {
    link_free_at_ = std::max(link_free_at_, now) + static_cast<double>(bytes) / combined_.rate;
    departure = link_free_at_;
  }
  std::vector<double> out{departure + draw_delay(random)};
  // A reordered datagram is delayed by twice the link's delay, at least by 5 ms, so that later ones overtake
  // it.
  constexpr double kMinReorderDelay = 0.005;
  if (combined_.reorder > 0 && random.unit() < combined_.reorder)
    out[0] += std::max(kMinReorderDelay, 2 * combined_.delay);
  if (combined_.duplicate > 0 && random.unit() < combined_.duplicate)
    out.push_back(departure + draw_delay(random));
  return out;
}

}  // namespace thymewood::fleet
