#include "briarlead_routes/stream_origin.h"

#include <boost/container_hash/hash.hpp>

namespace briarlead {

StreamId StreamIdOf(std::string_view attempt_id) {
  return {boost::hash_range(attempt_id.begin(), attempt_id.end())};
}

}  // namespace briarlead
