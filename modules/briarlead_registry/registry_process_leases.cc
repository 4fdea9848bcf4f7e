// The part of RegistryProcess that renews the key leases of entry hosts.

#include "briarlead_registry/registry_process.h"

namespace briarlead {

void RegistryProcess::OnKeyLeaseRequest(const Endpoint& peer,
                                        const KeyLeaseRequest& request,
                                        TimePoint now) {
  if (!state_->HasCurrentRoutes(now))
    return;
  SendDatagram(peer, KeyLeaseReply{request.number, state_->routes().version()});
}

}  // namespace briarlead
