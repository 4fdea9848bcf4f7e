#include "fakes/run_recorder.h"

#include <glib.h>

#include "briarlead_http/json_access.h"

namespace briarlead {

Result<RunRecorder> RunRecorder::Open(const std::string& file) {
  RunRecorder recorder;
  if (file.empty())
    return recorder;
  recorder.out_.open(file, std::ios::app);
  if (!recorder.out_)
    return Fail(ErrorCode::kIo, "--record: can't write " + file);
  return recorder;
}

void RunRecorder::Record(const RunEvent& event) {
  if (!out_.is_open())
    return;
  nlohmann::json json = {{"t_us", g_get_real_time()}, {"event", event.event}};
  if (!event.attempt.request.host.empty()) {
    json["request"] = ToString(event.attempt.request);
    json["attempt"] = event.attempt.attempt;
  }
  if (!event.key.empty())
    json["key"] = event.key;
  if (!event.body.empty())
    json["body"] = event.body;
  if (event.number != 0)
    json["number"] = event.number;
  if (event.bytes != 0)
    json["bytes"] = event.bytes;
  if (event.leaving_ms >= 0)
    json["leaving_ms"] = event.leaving_ms;
  out_ << DumpJson(json) << std::endl;
}

}  // namespace briarlead
