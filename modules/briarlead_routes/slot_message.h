#ifndef BRIARLEAD_ROUTES_SLOT_MESSAGE_H_
#define BRIARLEAD_ROUTES_SLOT_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Asks the scheduler of a plain service for a slot of one of its servers. The
/// sender repeats it while the request waits.
struct SlotRequest {
  std::uint64_t key = 0;     ///< The request on the sending host.
  std::uint32_t number = 0;  ///< Of the question; repeats have the same one.
  ServiceId service;
  std::uint32_t rank = 0;
  /// Time left until its target latency ends; negative once that has passed.
  Duration target_left = Duration::zero();
  Duration deadline_left = Duration::zero();
  DataCentreId data_centre;  ///< Of the sending host.
  /// Servers that were tried before and must not be chosen.
  std::vector<ServerIncarnation> excluded;
  CustomerId account;  ///< Empty if the request has none.
  double weight = 1;   ///< Of the account, where slots are short.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// What the scheduler of a service decided about a request.
enum class SlotVerdict : std::uint8_t {
  kGranted,
  kMustWait,  ///< All slots are taken; a kGranted reply may follow later.
  kRefused,   ///< The request can't be served in its time.
  kNoServer,  ///< The scheduler knows no server that may take it.
};
inline constexpr SlotVerdict kLastSlotVerdict = SlotVerdict::kNoServer;

/// The response to a SlotRequest.
struct SlotReply {
  std::uint64_t key = 0;     ///< As in the request.
  std::uint32_t number = 0;  ///< As in the request.
  SlotVerdict verdict = SlotVerdict::kNoServer;
  ServerIncarnation server;             ///< Set for kGranted.
  Duration next_in = Duration::zero();  ///< For kRefused: when to come back.

  friend bool operator==(const SlotReply&, const SlotReply&) = default;
};

/// How the use of a slot ended.
enum class SlotOutcome : std::uint8_t {
  kServed,
  kFailed,    ///< No answer, or a broken one.
  kRejected,  ///< The server was full.
  kUnused,    ///< The request needed it no more.
};
inline constexpr SlotOutcome kLastSlotOutcome = SlotOutcome::kUnused;

/// Gives a slot back to the scheduler that granted it.
struct SlotRelease {
  std::uint64_t key = 0;     ///< As in the request.
  std::uint32_t number = 0;  ///< As in the request.
  SlotOutcome outcome = SlotOutcome::kServed;
  Duration took = Duration::zero();  ///< From the send to the end.

  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SLOT_MESSAGE_H_
