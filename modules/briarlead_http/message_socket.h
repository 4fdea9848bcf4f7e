#ifndef BRIARLEAD_HTTP_MESSAGE_SOCKET_H_
#define BRIARLEAD_HTTP_MESSAGE_SOCKET_H_

#include <libsoup/soup.h>

namespace briarlead {

/// Notes that connections whose remote address is this object run over
/// `socket`. libsoup doesn't know the socket of a connection that it was
/// handed as a stream, but hands the address object back.
void SetSocketOfAddress(GSocketAddress* remote, GSocket* socket);

/// Returns the socket that `message` came over, or nullptr.
GSocket* SocketOfMessage(SoupServerMessage* message);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_MESSAGE_SOCKET_H_
