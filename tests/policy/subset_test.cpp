// Tests which servers a replica uses.
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
        std::vector<int> use_counts(servers, 0);
        for (std::size_t i = 0; i < replicas; ++i) {
          const auto subset = subset_of(i, replicas, servers, size);
          EXPECT_EQ(std::set<std::size_t>(subset.begin(), subset.end()).size(), std::min(size, servers));
          for (const std::size_t position : subset) ++use_counts[position];
        }
        const auto [min_count, max_count] = std::minmax_element(use_counts.begin(), use_counts.end());
        // Evenly spaced subsets: the numbers of replicas that use any two servers differ by at most one.
        EXPECT_LE(*max_count - *min_count, 1)
            << replicas << " replicas, " << servers << " servers, size " << size;
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
      const auto servers_used = [&](bool without_one) {
        Replica replica(s);
        EndpointUpdate update = make_endpoint_list(24);
        if (without_one) update.endpoints.erase(update.endpoints.begin() + 5);
        replica.handle_at(0, update);
        std::set<std::string> addresses;
        for (int i = 0; i < 400; ++i) {
          const std::string id = std::to_string(i);
          for (const Send& send : actions_of_type<Send>(replica.request(id))) addresses.insert(send.server);
          replica.end_attempt(id, Outcome::kSuccess);
        }
        return addresses;
      };
      const auto before = servers_used(false);
      const auto after = servers_used(true);
      std::vector<std::string> kept_servers;
      std::set_intersection(before.begin(), before.end(), after.begin(), after.end(),
                            std::back_inserter(kept_servers));
      EXPECT_GE(kept_servers.size() + 2, before.size());
    }
  }
}

// With few replicas, subsets of fixed size would leave most servers of a large tier unused.
TEST(Subset, ReachesEveryServerWithFewReplicas) {
  std::set<std::string> servers_used;
  for (int index = 0; index < 2; ++index) {
    Settings s = basic_settings();
    s.replica_index = index;
    s.replica_count = 2;
    Replica replica(s);
    replica.handle_at(0, make_endpoint_list(40));
    for (int i = 0; i < 200; ++i) {
      for (const Send& send : actions_of_type<Send>(replica.request(std::to_string(i))))
        servers_used.insert(send.server);
    }
  }
  EXPECT_EQ(servers_used.size(), 40U);
}

}  // namespace
}  // namespace thymewood
