#ifndef BRIARLEAD_JSON_BRIARLEAD_JSON_H_
#define BRIARLEAD_JSON_BRIARLEAD_JSON_H_

// Umbrella header of briarlead_json: parsing of JSON with comments within
// size limits, validation of objects, and writing of JSON. Depends on
// briarlead_core.

#include "briarlead_json/json_object_reader.h"
#include "briarlead_json/json_parser.h"
#include "briarlead_json/json_place.h"
#include "briarlead_json/json_value.h"
#include "briarlead_json/json_writer.h"

#endif  // BRIARLEAD_JSON_BRIARLEAD_JSON_H_
