// Which servers a replica uses.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "balancer_harness.h"

namespace thymewood {
namespace {

TEST(Subset, CoversServersEvenly) {
  for (std::size_t replicas = 1; replicas <= 40; ++replicas) {
    for (std::size_t servers = 1; servers <= 45; servers += 4) {
      for (const std::size_t size : {3U, 8U}) {
        std::vector<int> uses(servers, 0);
        for (std::size_t i = 0; i < replicas; ++i) {
          const auto subset = subset_of(i, replicas, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t at : subset) ++uses[at];
        }
        const auto [least, most] = std::minmax_element(uses.begin(), uses.end());
        // Starts of one replica or of evenly spread ones: no server is used by over one replica more than
        // another.
        EXPECT_LE(*most - *least, 1) << replicas << " replicas, " << servers << " servers, size " << size;
      }
    }
  }
}

TEST(Subset, ChangesLittleWhenOneServerLeaves) {
  for (const int replicas : {3, 7, 12}) {
    for (int index = 0; index < replicas; ++index) {
      Settings s = basic_settings();
      s.replica_index = index;
      s.replica_count = replicas;
      const auto used = [&](bool without_one) {
        Replica replica(s);
        EndpointUpdate m = endpoints(24);
        if (without_one) m.endpoints.erase(m.endpoints.begin() + 5);
        replica.at(0, m);
        std::set<std::string> out;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const Send& send : all<Send>(replica.request(id))) out.insert(send.server);
          replica.end(id, Outcome::kSuccess);
        }
        return out;
      };
      const auto before = used(false);
      const auto after = used(true);
      std::vector<std::string> kept;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(kept));
      EXPECT_GE(kept.size() + 2, before.size());
    }
  }
}

// A subset of fixed size at a single replica would leave most of a large tier without work.
TEST(Subset, ReachesEveryServerWithFewReplicas) {
  std::set<std::string> used;
  for (int index = 0; index < 2; ++index) {
    Settings s = basic_settings();
    s.replica_index = index;
    s.replica_count = 2;
    Replica replica(s);
    replica.at(0, endpoints(40));
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : all<Send>(replica.request(std::to_string(i)))) used.insert(send.server);
    }
  }
  EXPECT_EQ(used.size(), 40U);
}

}  // namespace
}  // namespace thymewood
