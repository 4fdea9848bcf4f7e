#include "briarlead_net/address_transport.h"

#include <glib.h>

#include <cstdint>
#include <utility>

namespace briarlead {

Result<std::unique_ptr<PeerTransport>> OpenAddressTransport(
    const Endpoint& endpoint,
    std::string_view secret,
    PeerTransport::Handlers handlers) {
  BOOST_OUTCOME_TRY(const FrameKey key, FrameKey::FromSecret(secret));
  const auto incarnation = static_cast<std::uint64_t>(g_get_real_time());
  return PeerTransport::Open({HostId(endpoint.address), incarnation, endpoint},
                             key, std::move(handlers));
}

}  // namespace briarlead
