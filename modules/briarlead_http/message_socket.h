#ifndef BRIARLEAD_HTTP_MESSAGE_SOCKET_H_
#define BRIARLEAD_HTTP_MESSAGE_SOCKET_H_

#include <libsoup/soup.h>

#include "briarlead_http/gobject_ptr.h"

namespace briarlead {

/// Returns an address object of the other end of `socket` that leads back to
/// it, or null when that end is gone. libsoup doesn't know the socket of a
/// connection that it was handed as a stream, but hands the address back.
GObjectPtr<GSocketAddress> MakeRemoteAddress(GSocket* socket);

/// Returns the socket that `message` came over, or nullptr.
GSocket* SocketOfMessage(SoupServerMessage* message);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_MESSAGE_SOCKET_H_
