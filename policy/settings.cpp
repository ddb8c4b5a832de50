// Which settings can be used at all.
#include <cmath>
#include <stdexcept>
#include <string>

#include "support.h"

namespace thymewood {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("thymewood settings: " + what);
}

// Refuses NaN and infinities too.
void require_amount(double value, const std::string& field) {
  require(std::isfinite(value) && value >= 0, field + " must be a finite number and not negative");
}

}  // namespace

void validate(const Settings& s) {
  require(s.copy_count > 0, "copy_count must be above 0");
  require(s.copy_index >= 0 && s.copy_index < s.copy_count, "copy_index must be from 0 to copy_count - 1");
  require(s.tier >= 0, "tier must not be negative");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.start_capacity >= 0 && s.start_capacity <= 1, "start_capacity must be from 0 to 1");
  require_amount(s.tick, "tick");
  require_amount(s.max_retry_after, "max_retry_after");
  require_amount(s.ask_within, "ask_within");
  require_amount(s.ramp_time, "ramp_time");
  require_amount(s.over_share_worth, "over_share_worth");
  require_amount(s.cross_zone_price, "cross_zone_price");
  for (const RequestClass& c : s.classes) {
    require(c.effect >= Effect::kSafe && c.effect <= Effect::kUnsafe, "classes[].effect is unknown");
    require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
            "classes[].dedup_scope is unknown");
    require_amount(c.aim, "classes[].aim");
    require_amount(c.aim_stretch, "classes[].aim_stretch");
    require_amount(c.give_up, "classes[].give_up");
    require_amount(c.late_worth, "classes[].late_worth");
    require_amount(c.dedup_window, "classes[].dedup_window");
  }
  for (const Tenant& t : s.tenants) {
    if (t.allowance) require_amount(*t.allowance, "tenants[].allowance");
  }
}

}  // namespace thymewood
