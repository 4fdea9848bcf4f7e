#include "briarlead_wire/upstream_pool.h"

#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Share of a server's stated idle time after which a connection is closed
/// here, so that a request doesn't cross the server's close.
constexpr double kIdleTimeShare = 0.6;

}  // namespace

UpstreamCall::UpstreamCall(UpstreamPool& pool,
                           Endpoint server,
                           std::unique_ptr<UpstreamConnection> connection)
    : pool_(pool),
      server_(std::move(server)),
      connection_(std::move(connection)) {}

UpstreamCall::~UpstreamCall() {
  if (connection_ && connection_->reusable())
    pool_.Return(server_, std::move(connection_));
}

void UpstreamCall::Withdraw(
    std::function<void(const ResponseHead& head)> on_dropped) {
  if (pool_.withdrawn_.size() < UpstreamPool::kMaxWithdrawn &&
      connection_->Withdraw(std::move(on_dropped))) {
    pool_.withdrawn_.push_back(
        {std::move(connection_), LoopNow() + UpstreamPool::kWithdrawnTime});
    return;
  }
  connection_->Abandon();
}

Duration UpstreamPool::IdleTimeOf(const UpstreamConnection& connection) const {
  const Duration stated = connection.stated_idle_time();
  return stated == Duration::zero()
             ? unstated_idle_time_
             : FromSeconds(ToSeconds(stated) * kIdleTimeShare);
}

std::unique_ptr<UpstreamCall> UpstreamPool::Start(
    const Endpoint& server,
    std::string_view request,
    const UpstreamCallOptions& options,
    UpstreamHandlers handlers,
    TimePoint now,
    std::shared_ptr<const std::string> body) {
  std::unique_ptr<UpstreamConnection> connection;
  if (!options.new_connection)
    connection = TakeIdle(server, options, now);
  if (!connection) {
    ++opened_;
    connection =
        std::make_unique<UpstreamConnection>(server, options.connect_timeout);
  }
  connection->Start(request, std::move(body), options.name,
                    std::move(handlers));
  return std::unique_ptr<UpstreamCall>(
      new UpstreamCall(*this, server, std::move(connection)));
}

std::unique_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    const Endpoint& server,
    const UpstreamCallOptions& options,
    TimePoint now) {
  const auto found = idle_.find(server);
  if (found == idle_.end())
    return nullptr;
  std::deque<IdleConnection>& idle = found->second;
  std::unique_ptr<UpstreamConnection> taken;
  // The one used last is the least likely to have been closed.
  for (std::size_t i = idle.size(); i > 0 && !taken; --i) {
    const auto it = idle.begin() + static_cast<std::ptrdiff_t>(i - 1);
    const bool usable = it->connection->IsIntact() && now < it->until &&
                        now - it->since <= options.max_idle;
    if (usable && it->connection->HasCarried(options.name))
      continue;
    if (usable)
      taken = std::move(it->connection);
    idle.erase(it);
  }
  if (idle.empty())
    idle_.erase(found);
  return taken;
}

void UpstreamPool::Return(const Endpoint& server,
                          std::unique_ptr<UpstreamConnection> connection) {
  const TimePoint now = LoopNow();
  const TimePoint until = now + IdleTimeOf(*connection);
  idle_[server].push_back({std::move(connection), now, until});
}

void UpstreamPool::Sweep(TimePoint now) {
  std::erase_if(withdrawn_, [now](const WithdrawnConnection& it) {
    return it.connection->withdrawal_ended() || now >= it.until;
  });
  for (auto& [server, idle] : idle_) {
    std::erase_if(idle, [now](const IdleConnection& it) {
      return !it.connection->reusable() || now >= it.until;
    });
  }
  std::erase_if(idle_, [](const auto& it) { return it.second.empty(); });
}

}  // namespace briarlead
