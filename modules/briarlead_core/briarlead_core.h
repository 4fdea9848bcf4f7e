#ifndef BRIARLEAD_CORE_BRIARLEAD_CORE_H_
#define BRIARLEAD_CORE_BRIARLEAD_CORE_H_

// Umbrella header of briarlead_core: value types, errors, logging
// and random numbers that all modules use. Depends on no other module.

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/logger.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/rendezvous_score.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"

#endif  // BRIARLEAD_CORE_BRIARLEAD_CORE_H_
