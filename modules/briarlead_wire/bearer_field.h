#ifndef BRIARLEAD_WIRE_BEARER_FIELD_H_
#define BRIARLEAD_WIRE_BEARER_FIELD_H_

#include "briarlead_accounts/bearer_key.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// Reads the bearer key from the Authorization fields among `fields`.
PresentedKey ReadBearerKey(const HeaderFields& fields);

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_BEARER_FIELD_H_
