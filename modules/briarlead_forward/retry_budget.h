#ifndef BRIARLEAD_FORWARD_RETRY_BUDGET_H_
#define BRIARLEAD_FORWARD_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_report.h"

namespace briarlead {

/// Limits on the retries that all hosts together may send to a service.
struct RetryLimits {
  double ratio = 0.2;   ///< Retries allowed per request.
  double slack = 10.0;  ///< Retries allowed beyond the ratio in one window.
  Duration window = std::chrono::seconds(10);
};

/// How many retries this process has made and was refused.
struct RetryCounts {
  std::uint64_t made = 0;
  std::uint64_t refused = 0;        ///< The budget had no room.
  std::uint64_t beyond_budget = 0;  ///< Of those made.

  friend bool operator==(const RetryCounts&, const RetryCounts&) = default;
};

/// The retry budget of each service, shared by all entry hosts without asking
/// each other before a retry. Each host has a small local allowance that it may
/// always use. Of the shared rest, it may at any moment use an even part of
/// what is left according to the other hosts' last reports. During a network
/// partition, each side uses only its own portion of the shared rest.
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

  explicit RetryBudget(const RetryLimits& limits) : limits_(limits) {}

  /// Sets how many entry hosts share the budget, including this one.
  void SetHostCount(std::uint32_t hosts) {
    host_count_ = hosts == 0 ? 1 : hosts;
  }

  /// Replaces the usage that another host has reported.
  void OnPeerUsage(const HostId& host,
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
  /// Returns the number of hosts among which the slack is divided at `now`.
  [[nodiscard]] std::uint32_t SharingHosts(TimePoint) const {
    return host_count_;
  }

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
  /// The last report of another host.
  struct Peer {
    std::map<ServiceId, RetryUsage> usages;
    TimePoint last_heard;
  };

  Bucket& BucketAt(LocalUsage& usage, TimePoint now) const;
  [[nodiscard]] std::int64_t BucketNumber(TimePoint now) const;
  [[nodiscard]] RetryUsage SumOf(const ServiceId& service,
                                 const LocalUsage& usage,
                                 TimePoint now) const;
  /// Returns the retries that a host with `requests` in the window may always
  /// make, whatever the other hosts report.
  [[nodiscard]] double LocalAllowance(std::uint32_t requests) const;
  /// Returns how many of a host's retries exceed its local allowance and so
  /// come out of the shared rest.
  [[nodiscard]] double SharedPartUsed(const RetryUsage& usage) const;
  /// Returns the retries that this host may have unconfirmed at the moment.
  /// `local` is its usage without the unconfirmed retries.
  [[nodiscard]] double Available(const RetryUsage& local, TimePoint now) const;
  void AddRetries(const ServiceId& service, unsigned count, TimePoint now);
  /// Removes the unconfirmed retries that every reachable host must know of.
  void DropPropagated(LocalUsage& usage, TimePoint now) const;

  RetryLimits limits_;
  std::uint32_t host_count_ = 1;
  std::map<ServiceId, LocalUsage> services_;
  std::map<HostId, Peer> peers_;
  std::uint64_t local_revision_ = 0;
  RetryCounts counts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_RETRY_BUDGET_H_
