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

/// What one host came to believe, and when.
struct ObservedHostState {
  TimePoint at;
  std::size_t observer = 0;
  HostStateChanged change;
};
struct ObservedServerState {
  TimePoint at;
  std::size_t observer = 0;
  BackendServerStateChanged change;
};

/// Some entry hosts and backend servers in virtual time over a network that
/// loses, delays and cuts, for tests.
class MembershipTestNetwork {
 public:
  explicit MembershipTestNetwork(std::uint64_t seed) : random_(seed) {}

  /// Adds a host that knows the first host as its only seed.
  std::size_t AddHost(const std::string& data_centre);
  void AddHosts(std::size_t count, const std::string& data_centre);

  /// Adds a decode engine of model "summary" that announces itself every
  /// 500 ms to any host of its data centre, like a balancer would have it.
  std::size_t AddServer(const std::string& data_centre);

  void Run(Duration duration);

  void set_loss(double loss) { loss_ = loss; }
  /// Hosts on different sides don't reach each other.
  void SetSide(std::size_t host, int side) { hosts_[host].side = side; }
  void Heal();
  /// A frozen host does nothing and finds its datagrams when it goes on.
  void Freeze(std::size_t host) { hosts_[host].is_frozen = true; }
  void Thaw(std::size_t host);
  /// As Thaw(), but its socket has overflowed: the datagrams are lost.
  void ThawWithoutDatagrams(std::size_t host) {
    hosts_[host].held_back.clear();
    Thaw(host);
  }
  void Kill(std::size_t host) { hosts_[host].controller.reset(); }
  /// Starts a killed host again with the next incarnation.
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
  /// Returns what `observer` believes of `subject`.
  [[nodiscard]] std::optional<HostState> StateOf(std::size_t observer,
                                                 std::size_t subject) const;
  /// Returns how many running hosts would give `server` new work.
  [[nodiscard]] std::size_t HostsOffering(std::size_t server) const;
  [[nodiscard]] std::size_t HostsBelieving(std::size_t subject,
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
  /// Bytes that `host` has sent since ResetObservations(), with the headers of
  /// IP, UDP and the frame.
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
    int side = 0;
    bool is_frozen = false;
    std::vector<std::string> held_back;
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

  void At(TimePoint at, std::function<void()> action);
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
