#ifndef BRIARLEAD_LIMITS_QUOTA_CLIENT_H_
#define BRIARLEAD_LIMITS_QUOTA_CLIENT_H_

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

/// What a request needs of its account's quota.
struct QuotaNeed {
  std::uint64_t key = 0;  ///< Of the request, in this process.
  CustomerId account;
  AccountQuota quota;
  std::uint64_t amount = 0;
  TimePoint latest;  ///< Until when the request may wait for it.
};

/// Sends `request` to the issuer at `issuer`, which may be this host.
struct SendQuotaRequest {
  Endpoint issuer;
  QuotaRequest request;
};

/// The answer to a QuotaNeed.
struct QuotaAnswer {
  std::uint64_t key = 0;
  CustomerId account;
  std::uint64_t amount = 0;
  /// kNone: the amount is granted, and must be used before `lapses_at`.
  QuotaRefusal refusal = QuotaRefusal::kNone;
  TimePoint lapses_at;
  /// Until there may be room, of an amount that isn't granted.
  Duration retry_after = Duration::zero();
};

/// An issuer granted `amount` to this host.
struct QuotaGranted {
  CustomerId account;
  std::uint64_t amount = 0;
};

using QuotaClientCommand =
    std::variant<SendQuotaRequest, QuotaAnswer, QuotaGranted>;

/// Asks the issuers of the data centre for the amounts of this host's requests:
/// one question at a time for each account, for all requests that wait by then.
/// Takes events and produces commands; does no I/O.
class QuotaClient {
 public:
  /// Time after which a question is repeated, in case a datagram was lost.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(20);
  /// Time within which an issuer must answer.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(60);
  /// Time for which an issuer that did not answer is not asked again.
  static constexpr Duration kPassOverTime = std::chrono::milliseconds(1000);
  /// Bounds of the time until requests that go on waiting ask again. There may
  /// be room earlier than told.
  static constexpr Duration kMinAskAgain = std::chrono::milliseconds(5);
  static constexpr Duration kMaxAskAgain = std::chrono::milliseconds(50);
  /// How many issuers are tried in turn, besides this host itself.
  static constexpr std::size_t kIssuers = 4;
  /// Requests within kGrantLife from which on amounts are asked for ahead.
  static constexpr std::size_t kDenseRequests = 4;
  /// Retry-After for requests that no issuer answered in time.
  static constexpr Duration kRetryUnanswered = std::chrono::milliseconds(500);

  /// `first_number` is random, so that an issuer doesn't take the questions for
  /// those of the process before.
  QuotaClient(Endpoint self,
              DataCentreId data_centre,
              const QuotaBounds& bounds,
              std::uint32_t first_number);

  void SetHosts(std::span<const EntryHost> hosts);

  /// Asks for what the request `need.key` needs.
  void Ask(const QuotaNeed& need, TimePoint now);
  void OnReply(const Endpoint& issuer, const QuotaReply& reply, TimePoint now);
  /// The request no longer needs an answer.
  void Forget(std::uint64_t key);
  void OnWake(TimePoint now);
  /// Returns when OnWake() is due; TimePoint::max() if never.
  [[nodiscard]] TimePoint NextWake() const;
  [[nodiscard]] bool has_commands() const { return !commands_.empty(); }
  /// Removes and returns the commands to execute, in order.
  std::vector<QuotaClientCommand> TakeCommands();

 private:
  struct Question {
    Endpoint issuer;
    QuotaRequest request;
    std::vector<std::uint64_t> keys;  ///< Of the amounts, in order.
    TimePoint sent_at;                ///< For the first time.
    TimePoint repeat_at;
    TimePoint due;
  };
  struct Account {
    AccountQuota quota;
    AmountLots lots;
    RecentSum demand{kGrantLife};
    std::vector<QuotaNeed> waiting;
    std::optional<Question> question;
    std::vector<Endpoint> order;  ///< Of the issuers; empty if not known yet.
    TimePoint ask_at;             ///< Not before.
    TimePoint room_at;            ///< As told by an issuer.
    RetryTimes retry_times;
  };

  void SendQuestion(const CustomerId& id, Account& account, TimePoint now);
  [[nodiscard]] Endpoint ChooseIssuer(const CustomerId& id,
                                      Account& account,
                                      TimePoint now) const;
  void HandleRefused(Account& account,
                     const Question& question,
                     const QuotaReply& reply,
                     TimePoint now);
  /// Refuses the requests that may wait no longer.
  void RefuseLate(Account& account, TimePoint now);
  /// Removes and returns the request `key`; nullopt if it doesn't wait.
  static std::optional<QuotaNeed> TakeWaiting(Account& account,
                                              std::uint64_t key);
  void Admit(const QuotaNeed& need, TimePoint lapses_at);
  void Refuse(const QuotaNeed& need,
              QuotaRefusal refusal,
              Duration retry_after);

  Endpoint self_;
  DataCentreId data_centre_;
  QuotaBounds bounds_;
  std::vector<EntryHost> hosts_;  ///< Of this data centre, this host included.
  std::map<Endpoint, TimePoint> passed_over_until_;
  std::map<CustomerId, Account> accounts_;
  std::uint32_t last_number_;
  std::vector<QuotaClientCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_CLIENT_H_
