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

/// Tells another control host the state of the sender's data folder.
struct FormingMessage {
  HostId host;
  bool formed = false;  ///< The folder of `host` belongs to a cluster.

  friend bool operator==(const FormingMessage&,
                         const FormingMessage&) = default;
};

std::string EncodeFormingMessage(const FormingMessage& message);
/// Error: kCorrupt when `bytes` is not a forming message.
Result<FormingMessage> DecodeFormingMessage(std::string_view bytes);

/// Send `message` to the control host `to`.
struct SendForming {
  HostId to;
  FormingMessage message;
};

/// Form a new cluster that has this host as its only member. The other hosts
/// then join it.
struct FormCluster {};

/// Join the existing cluster.
struct JoinCluster {};

using FormingCommand = std::variant<SendForming, FormCluster, JoinCluster>;

/// Decides whether a control host with an empty data folder forms a new cluster
/// or joins the existing one. A host that lost its disk must never form a
/// second cluster. So only the first configured member, in order of host name,
/// forms a cluster, and only after every other configured member has recently
/// reported that its folder is empty too.
class ClusterFormer {
 public:
  /// Interval between the messages to each of the other members.
  static constexpr Duration kSendInterval = std::chrono::milliseconds(300);
  /// Time for which a member's report of an empty folder is valid.
  static constexpr Duration kReportLifetime = std::chrono::seconds(2);

  /// @param members hosts of the configured members, including `self`
  ClusterFormer(HostId self, std::vector<HostId> members);

  /// Handles the report of another control host. Hosts that are not configured
  /// members are ignored.
  void OnMessage(const FormingMessage& message, TimePoint now);

  /// Decides if that is possible; otherwise sends the messages that are due.
  void Tick(TimePoint now);

  /// Returns the commands since the last call, in order.
  std::vector<FormingCommand> TakeCommands();

  /// Returns true once FormCluster or JoinCluster was issued.
  [[nodiscard]] bool decided() const { return decided_; }

 private:
  struct Member {
    HostId host;
    std::optional<TimePoint> reported_empty_at;
  };

  [[nodiscard]] bool AllReportedEmpty(TimePoint now) const;
  void Decide(FormingCommand command);

  HostId self_;
  std::vector<Member> others_;
  bool is_first_ = false;
  bool decided_ = false;
  std::optional<TimePoint> next_send_;
  std::vector<FormingCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_CLUSTER_FORMER_H_
