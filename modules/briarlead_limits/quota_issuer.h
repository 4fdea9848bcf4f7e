#ifndef BRIARLEAD_LIMITS_QUOTA_ISSUER_H_
#define BRIARLEAD_LIMITS_QUOTA_ISSUER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "briarlead_accounts/client_account.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_limits/amount_lots.h"
#include "briarlead_limits/quota_bounds.h"
#include "briarlead_limits/recent_sum.h"
#include "briarlead_limits/retry_times.h"
#include "briarlead_routes/quota_message.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Sends `reply` to the host at `host`.
struct SendQuotaReply {
  Endpoint host;
  QuotaReply reply;
};

/// Sends `request` to a control host, or to all of them.
struct SendGrantRequest {
  std::optional<Endpoint> control_host;
  QuotaGrantRequest request;
};

using QuotaIssuerCommand = std::variant<SendQuotaReply, SendGrantRequest>;

/// Hands out amounts to the hosts of this data centre, from a short-lived stock
/// that the leader of the control group grants. While no leader answers, it
/// hands out a bounded reserve. Takes events and produces commands; does no
/// I/O.
class QuotaIssuer {
 public:
  /// Time after which a question to the leader is repeated, to all control
  /// hosts.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(20);
  /// Time without an answer after which there is no leader. It is below
  /// QuotaClient::kReplyTimeout, or hosts would take this issuer for dead.
  static constexpr Duration kLeaderTimeout = std::chrono::milliseconds(40);
  /// Interval of questions while there is no leader.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
  /// Time for which hosts are refused without asking the leader again, which
  /// has told that there is no room. Its room may come earlier than told.
  static constexpr Duration kMaxRefuseTime = std::chrono::milliseconds(50);
  /// Hosts are told to ask again after this time if there is no leader.
  static constexpr Duration kRetryWithoutLeader =
      std::chrono::milliseconds(500);
  /// Requests within kGrantLife from which on amounts are asked for ahead.
  /// With fewer, most of these would lapse.
  static constexpr std::size_t kDenseRequests = 4;
  /// How many hosts of a data centre, the first in the order of an account, may
  /// use its reserve. A host doesn't know what another one has handed out.
  static constexpr std::size_t kReserveHolders = 2;

  /// Size up to which accounts are added to a question. With one more of them,
  /// it still fits a datagram.
  static constexpr std::size_t kMaxQuestionBytes = 750;

  /// This host receives its frames at `self`. The numbers of its questions
  /// begin at `first_number`, a random one, so that the leader
  /// doesn't take them for those of the process before.
  QuotaIssuer(Endpoint self,
              DataCentreId data_centre,
              const QuotaBounds& bounds,
              std::uint32_t first_number);

  void SetHosts(std::span<const EntryHost> hosts, TimePoint now);
  void SetAccounts(std::span<const ClientAccount> accounts, TimePoint now);

  /// Handles the question of a host, this one included.
  void OnRequest(const Endpoint& host,
                 const QuotaRequest& request,
                 TimePoint now);
  void OnGrantReply(const Endpoint& control_host,
                    const QuotaGrantReply& reply,
                    TimePoint now);
  void OnWake(TimePoint now);
  /// Returns when OnWake() is due; TimePoint::max() if never.
  [[nodiscard]] TimePoint NextWake() const;
  [[nodiscard]] bool has_commands() const { return !commands_.empty(); }
  /// Removes and returns the commands to execute, in order.
  std::vector<QuotaIssuerCommand> TakeCommands();

 private:
  /// A host's question that waits for the leader.
  struct Pending {
    Endpoint host;
    QuotaRequest request;
    bool asked = false;  ///< Part of the open question.
  };
  struct Account {
    Account(const AccountQuota& quota_now, const QuotaBounds& bounds)
        : quota(quota_now), reserve_used(ReserveWindow(bounds)) {}

    AccountQuota quota;
    AmountLots stock;
    RecentSum demand{kGrantLife};
    RecentSum reserve_used;
    /// Since when this host may use the reserve, by its place in the order.
    std::optional<TimePoint> holder_since;
    std::vector<Pending> pending;
    std::map<Endpoint, QuotaReply> replies;  ///< The latest one to each host.
    TimePoint refuse_until;
    TimePoint room_at;
    RetryTimes retry_times;
  };
  /// The open question to the leader.
  struct Question {
    QuotaGrantRequest request;
    TimePoint sent_at;  ///< For the first time.
    TimePoint repeat_at;
    TimePoint due;
  };

  [[nodiscard]] bool HoldsReserve(const CustomerId& account) const;
  void UpdateHolders(TimePoint now);
  /// Asks the leader for what hosts wait for, if no question is open.
  void AskLeader(TimePoint now);
  /// Returns what is to be asked for the account; nullopt if nothing.
  std::optional<QuotaGrantRequest::Want> WantOf(const CustomerId& id,
                                                Account& account,
                                                TimePoint now) const;
  /// Marks what `want` covers of the account's questions as asked.
  static void AddPending(Account& account, QuotaGrantRequest::Want& want);
  void HandleGrant(Account& account,
                   const QuotaGrantReply::Grant& grant,
                   TimePoint now);
  void ReplyFromStock(Account& account,
                      const Pending& pending,
                      QuotaRefusal refusal,
                      TimePoint now);
  /// Takes `amount` from the reserve; returns false if it is used up.
  bool TakeReserve(Account& account, std::uint64_t amount, TimePoint now) const;
  void OnNoLeader(TimePoint now);

  Endpoint self_;
  DataCentreId data_centre_;
  QuotaBounds bounds_;
  std::vector<EntryHost> hosts_;  ///< Of this data centre, this host included.
  /// The most that were known: a list that lacks some must not raise the
  /// reserve of the others.
  std::size_t data_centres_ = 1;
  std::map<CustomerId, Account> accounts_;
  std::optional<Endpoint> leader_;
  bool has_leader_ = true;
  TimePoint next_probe_;
  CustomerId last_asked_;
  std::optional<Question> question_;
  std::uint32_t last_number_;
  std::vector<QuotaIssuerCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_ISSUER_H_
