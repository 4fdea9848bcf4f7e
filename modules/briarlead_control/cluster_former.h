#ifndef BRIARLEAD_CONTROL_CLUSTER_FORMER_H_
#define BRIARLEAD_CONTROL_CLUSTER_FORMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What a control host says of its data folder.
struct FormingMessage {
  HostId host;
  bool formed = false;  ///< Its folder belongs to a cluster.

  friend bool operator==(const FormingMessage&,
                         const FormingMessage&) = default;
};

std::string EncodeFormingMessage(const FormingMessage& message);
/// Error: kCorrupt.
Result<FormingMessage> DecodeFormingMessage(std::string_view bytes);

/// Send `message` to the control host `to`.
struct SendForming {
  HostId to;
  FormingMessage message;
};

/// Make a new cluster of this host alone; the others then join it.
struct FormCluster {};

/// Join the cluster that is there.
struct JoinCluster {};

using FormingCommand = std::variant<SendForming, FormCluster, JoinCluster>;

/// Decides what a control host with an empty data folder does: make a new
/// cluster, or join the one that is there. A host whose disk was lost must
/// never make a second cluster, so one is made only by the first configured
/// member, and only when every other configured member has said lately that
/// its folder is empty too.
class ClusterFormer {
 public:
  static constexpr Duration kAskInterval = std::chrono::milliseconds(300);
  /// Time for which a member's word is believed.
  static constexpr Duration kAnswerLife = std::chrono::seconds(2);

  /// @param members hosts of the configured members, `self` among them
  ClusterFormer(HostId self, std::vector<HostId> members);

  /// Takes what another control host said of its folder.
  void OnMessage(const FormingMessage& message, TimePoint now);

  /// Asks again when it is time, and decides.
  void Tick(TimePoint now);

  /// Returns the commands since the last call, in order.
  std::vector<FormingCommand> TakeCommands();

  /// Returns true once FormCluster or JoinCluster was given.
  [[nodiscard]] bool decided() const { return decided_; }

 private:
  struct Member {
    HostId host;
    std::optional<TimePoint> said_empty;
  };

  [[nodiscard]] bool AllSaidEmpty(TimePoint now) const;
  void Decide(FormingCommand command);

  HostId self_;
  std::vector<Member> others_;
  bool is_first_ = false;
  bool decided_ = false;
  std::optional<TimePoint> next_ask_;
  std::vector<FormingCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_CLUSTER_FORMER_H_
