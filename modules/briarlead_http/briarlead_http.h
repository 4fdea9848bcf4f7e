#ifndef BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_
#define BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_

// Umbrella header of briarlead_http: HTTP server and client on GLib's main
// context. Depends on briarlead_core.

#include "briarlead_http/http_client.h"
#include "briarlead_http/http_exchange.h"
#include "briarlead_http/http_server.h"
#include "briarlead_http/http_types.h"

#endif  // BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_
