#include "briarlead_core/rendezvous_score.h"

#include <boost/container_hash/hash.hpp>
#include <cstddef>

namespace briarlead {

namespace {

/// Mixes `key` over all 64 bits with the finalizer of SplitMix64, so that the
/// scores of hosts with similar names are uncorrelated.
std::uint64_t Mix(std::uint64_t key) {
  key = (key ^ (key >> 30)) * 0xbf58476d1ce4e5b9U;
  key = (key ^ (key >> 27)) * 0x94d049bb133111ebU;
  return key ^ (key >> 31);
}

}  // namespace

std::uint64_t RendezvousScore(std::string_view key, std::string_view host) {
  std::size_t seed = boost::hash_range(key.begin(), key.end());
  boost::hash_range(seed, host.begin(), host.end());
  return Mix(seed);
}

}  // namespace briarlead
