#include "briarlead_entry/membership_adapter.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_entry/state_names.h"

namespace briarlead {

namespace {

MembershipSettings MakeSettings(const EntrySettings& settings) {
  MembershipSettings membership;
  membership.seeds = settings.peers_seeds;
  return membership;
}

HostEntry MakeSelf(const EntrySettings& settings, std::uint64_t incarnation) {
  HostEntry self;
  self.id = settings.host;
  self.data_centre = settings.data_centre;
  self.callers = settings.callers;
  self.peers = settings.peers;
  self.incarnation = incarnation;
  return self;
}

}  // namespace

MembershipAdapter::MembershipAdapter(const EntryContext& context,
                                     PeerTransport& transport,
                                     Handlers handlers)
    : context_(context),
      transport_(transport),
      handlers_(std::move(handlers)),
      controller_(MakeSettings(context.settings),
                  MakeSelf(context.settings, transport.self().incarnation),
                  transport.self().incarnation,
                  context.blackboard) {}

void MembershipAdapter::OnAnnouncement(const BackendServerRecord& server,
                                       std::uint64_t sequence,
                                       TimePoint now) {
  controller_.OnAnnouncement(server, sequence, now);
  RunCommands(now);
}

void MembershipAdapter::OnDatagram(std::string_view payload, TimePoint now) {
  const Result<void> taken = controller_.OnGossip(payload, now);
  if (taken.has_error()) {
    context_.logger.Warning(now, "gossip_unreadable",
                            {{"error", taken.error().message}});
  }
  RunCommands(now);
}

void MembershipAdapter::Tick(TimePoint now) {
  controller_.Tick(now);
  RunCommands(now);
}

void MembershipAdapter::StartLeaving(TimePoint now) {
  controller_.StartLeaving(now);
  hosts_changed_ = true;
  RunCommands(now);
}

void MembershipAdapter::SetListsRevision(std::uint64_t revision) {
  controller_.SetListsRevision(revision);
}

void MembershipAdapter::SetSummaries(std::span<const ShardSummary> shards) {
  std::vector<ModelSummary> models;
  for (const ShardSummary& it : shards) {
    ModelSummary summary;
    summary.model = it.model;
    summary.free_slots = it.free_decode_slots;
    summary.queue_length = it.queued_urgent + it.queued_patient;
    models.push_back(std::move(summary));
  }
  controller_.SetModelSummaries(std::move(models));
}

void MembershipAdapter::RunCommands(TimePoint now) {
  for (const MembershipCommand& it : controller_.TakeCommands())
    std::visit([&](const auto& command) { Run(command, now); }, it);
  if (std::exchange(hosts_changed_, false))
    handlers_.on_hosts_changed(now);
  if (std::exchange(servers_changed_, false))
    handlers_.on_servers_changed(now);
}

void MembershipAdapter::Run(const SendGossip& command, TimePoint) {
  transport_.SendDatagram(command.to, Channel::kMembership, command.bytes);
}

void MembershipAdapter::Run(const HostStateChanged& command, TimePoint now) {
  context_.logger.Info(now, "host_state",
                       {{"host", command.id.value()},
                        {"incarnation", command.incarnation},
                        {"state", StateName(command.state)}});
  hosts_changed_ = true;
  if (command.state == HostState::kDead) {
    handlers_.on_host_dead(command.id, command.incarnation, now);
    return;
  }
  // A restarted process holds nothing of the processes before it.
  std::uint64_t& latest = incarnations_[command.id];
  if (command.incarnation > latest)
    handlers_.on_host_dead(command.id, command.incarnation - 1, now);
  latest = std::max(latest, command.incarnation);
}

void MembershipAdapter::Run(const BackendServerStateChanged& command,
                            TimePoint now) {
  context_.logger.Info(now, "server_state",
                       {{"server", command.id.value()},
                        {"incarnation", command.incarnation},
                        {"state", StateName(command.state)}});
  servers_changed_ = true;
}

void MembershipAdapter::Run(const OwnIncarnationChanged& command,
                            TimePoint now) {
  context_.logger.Warning(now, "self_called_dead",
                          {{"incarnation", command.incarnation}});
  handlers_.on_self_declared_dead(now);
}

}  // namespace briarlead
