#ifndef BRIARLEAD_CORE_RENDEZVOUS_SCORE_H_
#define BRIARLEAD_CORE_RENDEZVOUS_SCORE_H_

#include <cstdint>
#include <string_view>

namespace briarlead {

/// Returns the rendezvous hashing score of `host` for `key`. The hosts with the
/// highest scores own the key; every host computes the same scores.
std::uint64_t RendezvousScore(std::string_view key, std::string_view host);

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_RENDEZVOUS_SCORE_H_
