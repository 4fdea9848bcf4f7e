#include "briarlead_state/state_command.h"

#include "briarlead_state/state_serialization.h"

namespace briarlead {

std::string EncodeStateCommand(const StateCommand& command) {
  return EncodeBytes(command);
}

Result<StateCommand> DecodeStateCommand(std::string_view bytes) {
  if (bytes.size() > kMaxCommandBytes)
    return Fail(ErrorCode::kTooLarge, "command longer than accepted");
  return DecodeBytes<StateCommand>(bytes);
}

}  // namespace briarlead
