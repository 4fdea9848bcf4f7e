#ifndef BRIARLEAD_MEMBERSHIP_MEMBERSHIP_TEST_NETWORK_H_
#define BRIARLEAD_MEMBERSHIP_MEMBERSHIP_TEST_NETWORK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "briarlead_blackboard/briarlead_blackboard.h"
#include "briarlead_core/random_source.h"
#include "briarlead_membership/briarlead_membership.h"

namespace briarlead {

/// A change of a host's state as `observer` reported it.
struct ObservedHostState {
  TimePoint at;
  std::size_t observer = 0;
  HostStateChanged change;
};
/// A change of a backend server's state as `observer` reported it.
struct ObservedServerState {
  TimePoint at;
  std::size_t observer = 0;
  BackendServerStateChanged change;
};

/// Simulates entry hosts and backend servers in virtual time, on a network with
/// packet loss, delays and partitions. Hosts and servers are numbered from 0 in
/// the order in which they are added.
class MembershipTestNetwork {
 public:
  explicit MembershipTestNetwork(std::uint64_t seed) : random_(seed) {}

  /// Adds a host whose only seed is the first host.
  std::size_t AddHost(const std::string& data_centre);
  void AddHosts(std::size_t count, const std::string& data_centre);

  /// Adds a decode engine of model "summary". Every 500 ms it announces itself
  /// to a random host of its data centre, as if through a load balancer.
  std::size_t AddServer(const std::string& data_centre);

  void Run(Duration duration);

  /// Sets the probability that a datagram is lost.
  void set_loss(double loss) { loss_ = loss; }
  /// Puts `host` into a partition; hosts in different ones can't reach each
  /// other. Every host starts in partition 0.
  void SetPartition(std::size_t host, int partition) {
    hosts_[host].partition = partition;
  }
  void HealPartition();
  /// Pauses a host: it does nothing, and its datagrams are buffered until it
  /// resumes.
  void Pause(std::size_t host) { hosts_[host].is_paused = true; }
  void Resume(std::size_t host);
  /// As Resume(), but the buffered datagrams are lost, as when the socket's
  /// buffer overflows.
  void ResumeAfterSocketOverflow(std::size_t host) {
    hosts_[host].buffered_datagrams.clear();
    Resume(host);
  }
  void Kill(std::size_t host) { hosts_[host].controller.reset(); }
  /// Starts a killed host again with an empty blackboard and the next
  /// incarnation.
  void Restart(std::size_t host);
  void StopServer(std::size_t server) { servers_[server].is_running = false; }
  void LeaveServer(std::size_t server) {
    servers_[server].record.state = BackendServerState::kLeaving;
  }
  void RestartServer(std::size_t server);

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] std::size_t size() const { return hosts_.size(); }
  MembershipController& controller(std::size_t host) {
    return *hosts_[host].controller;
  }
  Blackboard& blackboard(std::size_t host) { return *hosts_[host].blackboard; }
  [[nodiscard]] const HostId& id(std::size_t host) const {
    return hosts_[host].entry.id;
  }
  [[nodiscard]] const BackendServerId& server_id(std::size_t server) const {
    return servers_[server].record.id;
  }
  /// Returns the state of `subject` as `observer` sees it; nullopt when it does
  /// not know `subject`.
  [[nodiscard]] std::optional<HostState> StateOf(std::size_t observer,
                                                 std::size_t subject) const;
  /// Returns the number of running hosts that would give `server` new work.
  [[nodiscard]] std::size_t CountHostsOffering(std::size_t server) const;
  /// Returns the number of running hosts, other than `subject`, that see it in
  /// `state`.
  [[nodiscard]] std::size_t CountHostsSeeing(std::size_t subject,
                                             HostState state) const;

  [[nodiscard]] const std::vector<ObservedHostState>& host_changes() const {
    return host_changes_;
  }
  [[nodiscard]] const std::vector<ObservedServerState>& server_changes() const {
    return server_changes_;
  }
  [[nodiscard]] std::size_t own_incarnation_changes() const {
    return own_incarnation_changes_;
  }
  void ResetObservations();
  /// Returns the bytes that `host` has sent since ResetObservations(),
  /// including the IP and UDP headers and the frame.
  [[nodiscard]] std::uint64_t bytes_sent(std::size_t host) const {
    return hosts_[host].bytes_sent;
  }
  [[nodiscard]] std::uint64_t messages_sent(std::size_t host) const {
    return hosts_[host].messages_sent;
  }
  [[nodiscard]] std::size_t largest_message() const { return largest_message_; }

 private:
  struct Host {
    HostEntry entry;
    std::unique_ptr<Blackboard> blackboard;
    std::unique_ptr<MembershipController> controller;
    int partition = 0;
    bool is_paused = false;
    std::vector<std::string> buffered_datagrams;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_sent = 0;
  };
  struct Server {
    BackendServerRecord record;
    std::uint64_t version = 0;
    bool is_running = true;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Schedule(TimePoint at, std::function<void()> action);
  void Start(std::size_t host);
  void TickHost(std::size_t host);
  void Announce(std::size_t server);
  void Deliver(std::size_t host, const std::string& bytes);
  void TakeCommands(std::size_t host);
  void Transmit(std::size_t from, const SendGossip& send);

  RandomSource random_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  double loss_ = 0;
  std::size_t largest_message_ = 0;
  std::vector<ObservedHostState> host_changes_;
  std::vector<ObservedServerState> server_changes_;
  std::size_t own_incarnation_changes_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_TEST_NETWORK_H_
