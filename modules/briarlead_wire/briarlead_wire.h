#ifndef BRIARLEAD_WIRE_BRIARLEAD_WIRE_H_
#define BRIARLEAD_WIRE_BRIARLEAD_WIRE_H_

// Umbrella header of briarlead_wire: byte-exact HTTP/1.1 for forwarding, on
// kept connections. Depends on briarlead_accounts, briarlead_core and
// briarlead_net.

#include "briarlead_wire/bearer_field.h"
#include "briarlead_wire/caller_connection.h"
#include "briarlead_wire/http_head.h"
#include "briarlead_wire/http_listener.h"
#include "briarlead_wire/memory_budget.h"
#include "briarlead_wire/message_parser.h"
#include "briarlead_wire/tcp_stream.h"
#include "briarlead_wire/text_endpoint.h"
#include "briarlead_wire/upstream_connection.h"
#include "briarlead_wire/upstream_pool.h"

#endif  // BRIARLEAD_WIRE_BRIARLEAD_WIRE_H_
