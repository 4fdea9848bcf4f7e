#ifndef BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_
#define BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_

// Umbrella header of briarlead_http: HTTP server and client on GLib's main
// context and the codecs of what goes over them. Depends on briarlead_core,
// briarlead_blackboard, briarlead_net and briarlead_wire.

#include "briarlead_http/announcement.h"
#include "briarlead_http/completion_request.h"
#include "briarlead_http/completion_writer.h"
#include "briarlead_http/engine_messages.h"
#include "briarlead_http/http_client.h"
#include "briarlead_http/http_exchange.h"
#include "briarlead_http/http_server.h"
#include "briarlead_http/http_types.h"
#include "briarlead_http/problem_details.h"
#include "briarlead_http/sse_parser.h"

#endif  // BRIARLEAD_HTTP_BRIARLEAD_HTTP_H_
