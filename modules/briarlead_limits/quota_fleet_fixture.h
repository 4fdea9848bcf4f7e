#ifndef BRIARLEAD_LIMITS_QUOTA_FLEET_FIXTURE_H_
#define BRIARLEAD_LIMITS_QUOTA_FLEET_FIXTURE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_limits/briarlead_limits.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// A fleet of entry hosts and control hosts in virtual time: their messages
/// take some time and may be lost, hosts may freeze, restart or be cut off.
/// Counts what arrives at the servers.
class QuotaFleet {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(1);
  /// How long a request waits for an engine at most.
  static constexpr Duration kMaxEngineWait = std::chrono::seconds(6);
  static constexpr Duration kTarget = std::chrono::milliseconds(800);

  struct Options {
    std::size_t hosts = 9;
    std::size_t data_centres = 3;
    std::size_t control_hosts = 3;
    QuotaBounds bounds{std::chrono::seconds(8), 0.1, 120'000};
    std::vector<ClientAccount> accounts;
    double loss = 0;
    Duration max_delay = std::chrono::milliseconds(4);
  };

  /// What happened to the requests of one account.
  struct Tally {
    std::uint64_t asked = 0;  ///< Requests.
    std::uint64_t refused_beyond = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t served = 0;  ///< Amount.
    /// Arrivals at servers, in order of time.
    std::deque<std::pair<TimePoint, std::uint64_t>> arrivals;
    double in_window = 0;
    double worst_window = 0;
  };

  QuotaFleet(Options options, std::uint64_t seed)
      : options_(std::move(options)), random_(seed), wake_at_(options_.hosts) {
    for (std::size_t i = 0; i < options_.hosts; ++i) {
      entry_list_.push_back({{"10.0." + std::to_string(i / 200) + "." +
                                  std::to_string(i % 200 + 1),
                              7001},
                             CentreOf(i)});
    }
    for (std::size_t i = 0; i < options_.hosts; ++i) {
      index_of_host_[entry_list_[i].peers] = i;
      hosts_.emplace_back();
      StartHost(i);
    }
    for (std::size_t i = 0; i < options_.control_hosts; ++i)
      controls_.push_back(
          {Control(i), std::make_unique<QuotaLedger>(options_.bounds)});
    Elect(0);
  }

  /// Restarts the entry host's process.
  void StartHost(std::size_t host) {
    const Endpoint& self = entry_list_[host].peers;
    Host& it = hosts_[host];
    it.issuer = std::make_unique<QuotaIssuer>(self, CentreOf(host),
                                              options_.bounds, RandomNumber());
    it.client = std::make_unique<QuotaClient>(self, CentreOf(host),
                                              options_.bounds, RandomNumber());
    it.issuer->SetAccounts(options_.accounts, now_);
    it.issuer->SetHosts(entry_list_, now_);
    it.client->SetHosts(entry_list_);
    it.frozen_until = now_;
    it.callers.clear();
    it.unsent.clear();
    wake_at_[host] = now_;
  }
  /// Nothing of the host runs until `duration` from now.
  void FreezeHost(std::size_t host, Duration duration) {
    hosts_[host].frozen_until = now_ + duration;
  }
  void FreezeControl(std::size_t host, Duration duration) {
    controls_[host].frozen_until = now_ + duration;
  }
  /// Makes `leader` lead; nullopt: none leads. The one before has lost its
  /// lease.
  void Elect(std::optional<std::size_t> leader) {
    leader_ = leader;
    if (!leader.has_value())
      return;
    controls_[*leader].ledger->SetAccounts(options_.accounts, now_);
    controls_[*leader].ledger->Start(now_);
  }
  /// Cuts the data centre off from all others, until it is set back.
  void SetCutOff(std::optional<std::size_t> data_centre) {
    cut_off_ = data_centre;
  }
  /// No engine takes a request until `duration` from now.
  void FillEngines(Duration duration) { engines_full_until_ = now_ + duration; }
  void SetLoss(double loss) { options_.loss = loss; }

  void Ask(std::size_t host, std::size_t account, std::uint64_t amount) {
    Tally& tally = tallies_[options_.accounts[account].id];
    ++tally.asked;
    const std::uint64_t key = ++last_key_;
    const ClientAccount& it = options_.accounts[account];
    hosts_[host].callers.push_back(
        {key, it.id, it.quota, amount, now_ + kTarget / 4});
    index_of_[it.id] = account;
    wake_at_[host] = now_;
  }

  /// Takes one step of time.
  void Step() {
    now_ += kStep;
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      Message message = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      Deliver(std::move(message));
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      if (wake_at_[i] <= now_ && hosts_[i].frozen_until <= now_)
        RunHost(i);
    }
    for (auto& [account, tally] : tallies_)
      ExpireWindow(tally);
  }

  [[nodiscard]] const Tally& TallyOf(std::size_t account) {
    return tallies_[options_.accounts[account].id];
  }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] const Options& options() const { return options_; }
  RandomSource& random() { return random_; }
  [[nodiscard]] std::uint64_t messages() const { return message_count_; }
  [[nodiscard]] std::uint64_t bytes() const { return byte_count_; }
  /// Returns what may arrive in any window.
  [[nodiscard]] double BoundOf(std::size_t account) const {
    const AccountQuota& quota = options_.accounts[account].quota;
    const QuotaBounds& bounds = options_.bounds;
    return (quota.rate_per_second * ToSeconds(bounds.window) + quota.burst) *
               (1 + bounds.excess) +
           bounds.slack;
  }

 private:
  /// A request that has its amount and waits for an engine.
  struct Granted {
    QuotaAnswer answer;
    TimePoint at;
  };
  struct Host {
    std::unique_ptr<QuotaIssuer> issuer;
    std::unique_ptr<QuotaClient> client;
    TimePoint frozen_until;
    std::vector<QuotaNeed> callers;  ///< Requests that wait in the sockets.
    std::vector<Granted> unsent;
  };
  struct ControlHost {
    Endpoint peers;
    std::unique_ptr<QuotaLedger> ledger;
    TimePoint frozen_until;
  };
  struct Message {
    Endpoint from;
    Endpoint to;
    RoutingMessage body;
  };

  [[nodiscard]] DataCentreId CentreOf(std::size_t host) const {
    return DataCentreId("dc" + std::to_string(host % options_.data_centres));
  }
  static Endpoint Control(std::size_t i) {
    return {"10.9.0." + std::to_string(i + 1), 7000};
  }
  std::uint32_t RandomNumber() {
    return static_cast<std::uint32_t>(random_.Below(std::uint64_t{1} << 32));
  }
  /// Returns the data centre of a host, entry or control.
  std::size_t CentreOf(const Endpoint& peers) const {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      if (controls_[i].peers == peers)
        return i % options_.data_centres;
    }
    return IndexOf(peers) % options_.data_centres;
  }
  [[nodiscard]] std::size_t IndexOf(const Endpoint& peers) const {
    return index_of_host_.at(peers);
  }

  void Send(const Endpoint& from, const Endpoint& to, RoutingMessage body) {
    if (from != to) {
      ++message_count_;
      byte_count_ += EncodeRoutingMessage(body).size();
      if (random_.Chance(options_.loss))
        return;
      const bool is_cut =
          cut_off_.has_value() &&
          (CentreOf(from) == *cut_off_) != (CentreOf(to) == *cut_off_);
      if (is_cut)
        return;
    }
    const Duration delay = from == to
                               ? Duration::zero()
                               : random_.Between(kStep, options_.max_delay);
    messages_.emplace(now_ + delay, Message{from, to, std::move(body)});
  }

  void Deliver(Message message) {
    for (std::size_t i = 0; i < controls_.size(); ++i) {
      ControlHost& it = controls_[i];
      if (it.peers != message.to)
        continue;
      // A frozen host reads its messages when it runs again.
      if (it.frozen_until > now_) {
        messages_.emplace(it.frozen_until, std::move(message));
        return;
      }
      const auto* request = std::get_if<QuotaGrantRequest>(&message.body);
      if (leader_ == i && request != nullptr)
        Send(it.peers, message.from,
             it.ledger->OnRequest(message.from, *request, now_));
      return;
    }
    Host& host = hosts_[IndexOf(message.to)];
    if (host.frozen_until > now_) {
      messages_.emplace(host.frozen_until, std::move(message));
      return;
    }
    wake_at_[IndexOf(message.to)] = now_;
    if (const auto* it = std::get_if<QuotaRequest>(&message.body))
      host.issuer->OnRequest(message.from, *it, now_);
    else if (const auto* reply = std::get_if<QuotaReply>(&message.body))
      host.client->OnReply(message.from, *reply, now_);
    else if (const auto* grant = std::get_if<QuotaGrantReply>(&message.body))
      host.issuer->OnGrantReply(message.from, *grant, now_);
  }

  void RunHost(std::size_t index) {
    Host& host = hosts_[index];
    for (const Granted& it : std::exchange(host.unsent, {}))
      Use(host, it);
    for (QuotaNeed& it : std::exchange(host.callers, {})) {
      // What a frozen host reads later arrives then.
      it.latest = std::max(it.latest, now_ + kTarget / 8);
      host.client->Ask(it, now_);
    }
    if (host.client->NextWake() <= now_)
      host.client->OnWake(now_);
    if (host.issuer->NextWake() <= now_)
      host.issuer->OnWake(now_);
    const Endpoint& self = entry_list_[index].peers;
    for (const QuotaClientCommand& command : host.client->TakeCommands()) {
      if (const auto* ask = std::get_if<SendQuotaRequest>(&command))
        Send(self, ask->issuer, ask->request);
      else if (const auto* answer = std::get_if<QuotaAnswer>(&command))
        OnAnswer(host, *answer);
    }
    for (const QuotaIssuerCommand& command : host.issuer->TakeCommands()) {
      if (const auto* reply = std::get_if<SendQuotaReply>(&command)) {
        Send(self, reply->host, reply->reply);
        continue;
      }
      const auto& ask = std::get<SendGrantRequest>(command);
      for (const ControlHost& it : controls_) {
        if (!ask.control_host.has_value() || *ask.control_host == it.peers)
          Send(self, it.peers, ask.request);
      }
    }
    wake_at_[index] = host.unsent.empty() ? std::min(host.client->NextWake(),
                                                     host.issuer->NextWake())
                                          : now_;
  }

  void OnAnswer(Host& host, const QuotaAnswer& answer) {
    Tally& tally = tallies_[answer.account];
    if (answer.refusal == QuotaRefusal::kBeyondQuota)
      ++tally.refused_beyond;
    else if (answer.refusal == QuotaRefusal::kUnknown)
      ++tally.refused_unknown;
    else
      host.unsent.push_back({answer, now_});
  }

  /// Sends the request to a server once the engines take requests. If its
  /// amount has lapsed by then, it asks again, as ForwardFlow does.
  void Use(Host& host, const Granted& it) {
    if (now_ < engines_full_until_) {
      if (now_ - it.at < kMaxEngineWait)
        host.unsent.push_back(it);
      return;
    }
    const QuotaAnswer& answer = it.answer;
    if (now_ >= answer.lapses_at) {
      host.callers.push_back(
          {answer.key, answer.account,
           options_.accounts[index_of_.at(answer.account)].quota, answer.amount,
           now_ + kTarget / 4});
      return;
    }
    Tally& tally = tallies_[answer.account];
    tally.served += answer.amount;
    tally.arrivals.emplace_back(now_, answer.amount);
    tally.in_window += static_cast<double>(answer.amount);
    ExpireWindow(tally);
    tally.worst_window = std::max(tally.worst_window, tally.in_window);
  }

  void ExpireWindow(Tally& tally) const {
    while (!tally.arrivals.empty() &&
           now_ - tally.arrivals.front().first >= options_.bounds.window) {
      tally.in_window -= static_cast<double>(tally.arrivals.front().second);
      tally.arrivals.pop_front();
    }
  }

  Options options_;
  RandomSource random_;
  std::vector<TimePoint> wake_at_;  ///< By entry host.
  TimePoint now_{std::chrono::seconds(100)};
  std::vector<EntryHost> entry_list_;
  std::vector<Host> hosts_;
  std::vector<ControlHost> controls_;
  std::optional<std::size_t> leader_;
  std::optional<std::size_t> cut_off_;
  std::multimap<TimePoint, Message> messages_;
  std::map<CustomerId, Tally> tallies_;
  std::uint64_t last_key_ = 0;
  std::uint64_t message_count_ = 0;
  std::uint64_t byte_count_ = 0;
  TimePoint engines_full_until_;
  std::map<Endpoint, std::size_t> index_of_host_;
  std::map<CustomerId, std::size_t> index_of_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_FLEET_FIXTURE_H_
