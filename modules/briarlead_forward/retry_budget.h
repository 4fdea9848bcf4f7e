#ifndef BRIARLEAD_FORWARD_RETRY_BUDGET_H_
#define BRIARLEAD_FORWARD_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_forward/placement_owners.h"
#include "briarlead_routes/host_report.h"

namespace briarlead {

/// Limits on the retries that all hosts together may send to a service.
struct RetryLimits {
  double ratio = 0.2;   ///< Retries allowed per request.
  double slack = 10.0;  ///< Retries allowed beyond the ratio in one window.
  Duration window = std::chrono::seconds(10);
};

/// What this process has taken from the budget and was refused.
struct RetryCounts {
  std::uint64_t taken = 0;          ///< Some were given back unused.
  std::uint64_t refused = 0;        ///< The budget had no room.
  std::uint64_t beyond_budget = 0;  ///< Of those taken.

  friend bool operator==(const RetryCounts&, const RetryCounts&) = default;
};

/// The retry budget of each service, shared by all entry hosts without asking
/// each other before a retry. Each host may use what its own requests earn, and
/// a part of the slack.
///
/// In a large fleet that part is even. In a small one, whose hosts report their
/// usage to each other, a host has a small local allowance of the slack; of the
/// shared rest, it may at any moment use an even part of what is left according
/// to the other hosts' last reports. During a network partition, each side uses
/// only its own portion of the shared rest.
///
/// What a process that ended has used counts until the window has passed: its
/// successor has no part of the slack for that long, and the hosts to which it
/// reported keep its last report.
class RetryBudget {
 public:
  /// Share of the limits that is used. The rest covers retries of other hosts
  /// that have not been reported yet.
  static constexpr double kUsableShare = 0.85;
  /// Share of a host's even part of the slack that is its local allowance,
  /// which needs no reports of other hosts.
  static constexpr double kLocalShare = 0.3;
  /// Time in which a host's usage report reaches the other hosts.
  static constexpr Duration kPropagationTime = std::chrono::milliseconds(80);
  /// A host that has sent no report for this long may be on the other side of a
  /// network partition.
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(1200);
  /// Largest number of hosts that report their usage to each other.
  static constexpr std::uint32_t kMaxReportingHosts =
      PlacementOwners::kMaxPlacingHosts;

  /// `rounding`, from 0 to below 1, is the fraction of a retry that is added to
  /// an even part. It must be random: parts of 1.5 retries then come to one
  /// retry at half of the hosts and to two at the others.
  explicit RetryBudget(const RetryLimits& limits, double rounding = 0)
      : limits_(limits), rounding_(rounding) {}

  /// Sets how many entry hosts share the budget, including this one. Until the
  /// first call their number is unknown. Control hosts that have just started
  /// know few hosts, so a smaller number holds only once the window has passed.
  void SetHostCount(std::uint32_t hosts, TimePoint now);

  /// Replaces the usage that process `incarnation` of another host has
  /// reported.
  void OnPeerUsage(const HostId& host,
                   std::uint64_t incarnation,
                   std::span<const RetryUsage> usages,
                   TimePoint now);

  /// Counts a new request for `service`.
  void OnRequest(const ServiceId& service, TimePoint now);

  /// Counts `count` retries if the budget has room for them; returns whether it
  /// has.
  bool TryAcquire(const ServiceId& service, unsigned count, TimePoint now);

  /// Counts a retry that was already made, even beyond the budget.
  void Charge(const ServiceId& service, TimePoint now);

  /// Gives `count` retries that were acquired but not made back to the budget.
  void Release(const ServiceId& service, unsigned count, TimePoint now);

  /// Returns this host's usage of each service's budget, to be reported to the
  /// other hosts.
  [[nodiscard]] std::vector<RetryUsage> Usage(TimePoint now) const;
  /// Increases whenever the number of this host's retries changes.
  [[nodiscard]] std::uint64_t local_revision() const { return local_revision_; }

  [[nodiscard]] const RetryCounts& counts() const { return counts_; }
  /// Returns the number of hosts among which the slack is divided at `now`;
  /// zero while this host has no part of it.
  [[nodiscard]] std::uint32_t SharingHosts(TimePoint now) const;

 private:
  /// Buckets of the sliding window. Retries count for one bucket longer than
  /// requests, so that the limit holds for a window that starts at any time.
  static constexpr std::size_t kBuckets = 10;

  /// Counters of one bucket of the window.
  struct Bucket {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  /// This host's usage of one service's budget.
  struct LocalUsage {
    std::array<Bucket, kBuckets + 1> buckets;
    /// Retries that other hosts may not know of yet.
    std::deque<TimePoint> unconfirmed_retries;
  };
  /// The last report of a process of another host.
  struct Peer {
    std::map<ServiceId, RetryUsage> usages;
    TimePoint last_heard;
  };
  using PeerProcess = std::pair<HostId, std::uint64_t>;
  /// A number of hosts that was replaced by a smaller one.
  struct FormerCount {
    std::uint32_t hosts = 0;
    TimePoint valid_until;
  };

  /// Returns the longest time for which a retry counts.
  [[nodiscard]] Duration Memory() const {
    return limits_.window + limits_.window / kBuckets;
  }
  /// Returns the number of hosts, as SetHostCount() describes.
  [[nodiscard]] std::uint32_t HostCount(TimePoint now) const;
  [[nodiscard]] bool HostsReport(TimePoint now) const {
    return HostCount(now) <= kMaxReportingHosts;
  }
  Bucket& BucketAt(LocalUsage& usage, TimePoint now) const;
  [[nodiscard]] std::int64_t BucketNumber(TimePoint now) const;
  [[nodiscard]] RetryUsage SumOf(const ServiceId& service,
                                 const LocalUsage& usage,
                                 TimePoint now) const;
  /// Returns the retries that a host with `requests` in the window may make,
  /// without a part of the slack.
  [[nodiscard]] double Earned(std::uint32_t requests) const;
  /// Returns the retries that a host with `requests` in the window may always
  /// make, whatever the other hosts report.
  [[nodiscard]] double LocalAllowance(std::uint32_t requests,
                                      TimePoint now) const;
  /// Returns how many of a host's retries exceed its local allowance and so
  /// come out of the shared rest.
  [[nodiscard]] double SharedPartUsed(const RetryUsage& usage,
                                      TimePoint now) const;
  /// Returns the part of the shared rest that this host may use now.
  [[nodiscard]] double SharedRest(const RetryUsage& local, TimePoint now) const;
  /// Returns the retries that this host may have unconfirmed at the moment.
  /// `local` is its usage without the unconfirmed retries.
  [[nodiscard]] double Available(const RetryUsage& local, TimePoint now) const;
  void AddRetries(const ServiceId& service, unsigned count, TimePoint now);
  /// Removes the unconfirmed retries that every reachable host must know of.
  void DropPropagated(LocalUsage& usage, TimePoint now) const;

  RetryLimits limits_;
  double rounding_;
  std::uint32_t host_count_ = 0;  ///< Zero: unknown.
  std::optional<TimePoint> hosts_known_since_;
  std::vector<FormerCount> former_counts_;
  std::map<ServiceId, LocalUsage> services_;
  std::map<PeerProcess, Peer> peers_;
  std::uint64_t local_revision_ = 0;
  RetryCounts counts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_RETRY_BUDGET_H_
