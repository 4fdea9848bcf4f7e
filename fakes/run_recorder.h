#ifndef FAKES_RUN_RECORDER_H_
#define FAKES_RUN_RECORDER_H_

#include <fstream>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_http/announcement.h"

namespace briarlead {

/// One event of what a fake has run.
struct RunEvent {
  std::string_view event;
  HeldAttempt attempt;           ///< Empty host when it has none.
  std::string key;               ///< Idempotency-Key or order.
  std::string body;              ///< Of a call that may not be repeated.
  std::uint64_t number = 0;      ///< Tokens, booking or fencing number.
  std::uint64_t bytes = 0;       ///< KV bytes.
  std::int64_t leaving_ms = -1;  ///< Since this server began to leave.
};

/// Writes one JSON line an event, flushed at once, for an auditor. Times are
/// the time of day in microseconds.
class RunRecorder {
 public:
  /// Appends to `file`; an empty name records nothing.
  static Result<RunRecorder> Open(const std::string& file);

  void Record(const RunEvent& event);

 private:
  std::ofstream out_;
};

}  // namespace briarlead

#endif  // FAKES_RUN_RECORDER_H_
