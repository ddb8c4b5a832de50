// Tests that the subsets of the nodes cover every server even while the nodes' views differ.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "thymewood/balancer.h"

namespace thymewood::membership {
namespace {

// The same values as in policy/subset.h and policy/subset.cpp.
constexpr std::size_t kMinSubsetSize = 5, kCoverage = 2, kSettlingCoverage = 5;

std::size_t subset_size(std::size_t servers, std::size_t live, std::size_t coverage = kCoverage) {
  return std::max(kMinSubsetSize, (coverage * servers + live - 1) / live);
}

// Ranks follow the order of node ids, so when a node fails, the other subsets shift by at most the number of
// servers of one node.
TEST(Coverage, AFailedNodeShiftsOtherSubsetsByAtMostOneNodesShare) {
  for (const std::size_t nodes : {3U, 10U, 47U, 200U}) {
    for (const std::size_t servers : {20U, 100U, 500U}) {
      for (std::size_t failed = 0; failed < nodes; ++failed) {
        for (std::size_t i = 0; i < nodes; ++i) {
          if (i == failed) continue;
          const auto before = subset_of(i, nodes, servers, 1).front();
          const auto after = subset_of(i < failed ? i : i - 1, nodes - 1, servers, 1).front();
          const std::size_t shift = before > after ? before - after : after - before;
          ASSERT_LE(shift, (servers + nodes - 2) / (nodes - 1)) << nodes << " " << servers;
        }
      }
    }
  }
}

// While views differ, a node misses a few live nodes or still counts a few failed ones. Each server must be
// in at least one subset, and in at most three times as many subsets as the average server.
TEST(Coverage, EachServerStaysCoveredAndBoundedWhileViewsDiffer) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 4000; ++round) {
    const std::size_t configured = 3 + random() % 120, servers = 1 + random() % 300;
    std::vector<bool> live(configured);
    for (std::size_t i = 0; i < configured; ++i) live[i] = random() % 10 != 0;
    live[random() % configured] = true;
    const std::size_t differing_members = 2;  // members whose state a node sees incorrectly
    std::vector<std::size_t> replica_counts(servers);
    std::size_t sum = 0;
    for (std::size_t i = 0; i < configured; ++i) {
      if (!live[i]) continue;
      std::vector<bool> seen = live;
      for (std::size_t k = 0; k < differing_members; ++k) {
        const std::size_t at = random() % configured;
        if (at != i) seen[at] = !seen[at];
      }
      std::size_t rank = 0, count = 0;
      for (std::size_t k = 0; k < configured; ++k) {
        if (k == i) rank = count;
        count += seen[k] ? 1 : 0;
      }
      for (const std::size_t s :
           subset_of(rank, count, servers, subset_size(servers, count, kSettlingCoverage))) {
        replica_counts[s] += 1;
        ++sum;
      }
    }
    const double mean = static_cast<double>(sum) / static_cast<double>(servers);
    for (const std::size_t c : replica_counts) {
      ASSERT_GE(c, 1u) << configured << " nodes, " << servers << " servers";
      ASSERT_LE(static_cast<double>(c), 3 * mean + 1) << configured << " nodes, " << servers << " servers";
    }
  }
}

// If subsets depended on the configured count alone, servers of failed nodes could be in no subset.
TEST(Coverage, SubsetsByConfiguredCountCanLeaveAServerUncovered) {
  constexpr std::size_t kNodes = 30, kServers = 300;
  std::vector<int> by_configured_count(kServers), by_rank(kServers);
  std::size_t rank = 0;
  for (std::size_t i = 0; i < kNodes; ++i) {
    const bool failed = i >= 10 && i < 16;
    if (failed) continue;
    for (const std::size_t s : subset_of(i, kNodes, kServers, subset_size(kServers, kNodes)))
      by_configured_count[s] += 1;
    for (const std::size_t s : subset_of(rank, kNodes - 6, kServers, subset_size(kServers, kNodes - 6)))
      by_rank[s] += 1;
    ++rank;
  }
  EXPECT_EQ(*std::min_element(by_configured_count.begin(), by_configured_count.end()), 0);
  EXPECT_GE(*std::min_element(by_rank.begin(), by_rank.end()), static_cast<int>(kCoverage) - 1);
}

}  // namespace
}  // namespace thymewood::membership
