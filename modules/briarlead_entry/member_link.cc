#include "briarlead_entry/member_link.h"

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

MemberLink::MemberLink(const EntryContext& context,
                       PeerTransport& transport,
                       Handlers handlers)
    : context_(context),
      transport_(transport),
      handlers_(std::move(handlers)),
      controller_(MakeSettings(context.settings),
                  MakeSelf(context.settings, transport.self().incarnation),
                  transport.self().incarnation,
                  context.blackboard) {}

void MemberLink::OnAnnouncement(const BackendServerRecord& server,
                                std::uint64_t sequence,
                                TimePoint now) {
  controller_.OnAnnouncement(server, sequence, now);
  Pump(now);
}

void MemberLink::OnDatagram(std::string_view payload, TimePoint now) {
  const Result<void> taken = controller_.OnGossip(payload, now);
  if (taken.has_error()) {
    context_.logger.Warning(now, "gossip_unreadable",
                            {{"error", taken.error().message}});
  }
  Pump(now);
}

void MemberLink::Tick(TimePoint now) {
  controller_.Tick(now);
  Pump(now);
}

void MemberLink::StartLeaving(TimePoint now) {
  controller_.StartLeaving(now);
  hosts_changed_ = true;
  Pump(now);
}

void MemberLink::SetListsRevision(std::uint64_t revision) {
  controller_.SetListsRevision(revision);
}

void MemberLink::SetSummaries(std::span<const ShardSummary> shards) {
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

void MemberLink::Pump(TimePoint now) {
  for (const MembershipCommand& it : controller_.TakeCommands())
    std::visit([&](const auto& command) { Run(command, now); }, it);
  if (std::exchange(hosts_changed_, false))
    handlers_.on_hosts_changed(now);
  if (std::exchange(servers_changed_, false))
    handlers_.on_servers_changed(now);
}

void MemberLink::Run(const SendGossip& command, TimePoint) {
  transport_.SendDatagram(command.to, Channel::kMembership, command.bytes);
}

void MemberLink::Run(const HostStateChanged& command, TimePoint now) {
  context_.logger.Info(now, "host_state",
                       {{"host", command.id.value()},
                        {"incarnation", command.incarnation},
                        {"state", StateName(command.state)}});
  hosts_changed_ = true;
  if (command.state == HostState::kDead) {
    handlers_.on_host_dead(command.id, command.incarnation, now);
    return;
  }
  // A process that started anew holds nothing of those before it.
  std::uint64_t& known = incarnations_[command.id];
  if (command.incarnation > known)
    handlers_.on_host_dead(command.id, command.incarnation - 1, now);
  known = std::max(known, command.incarnation);
}

void MemberLink::Run(const BackendServerStateChanged& command, TimePoint now) {
  context_.logger.Info(now, "server_state",
                       {{"server", command.id.value()},
                        {"incarnation", command.incarnation},
                        {"state", StateName(command.state)}});
  servers_changed_ = true;
}

void MemberLink::Run(const OwnIncarnationChanged& command, TimePoint now) {
  context_.logger.Warning(now, "self_called_dead",
                          {{"incarnation", command.incarnation}});
  handlers_.on_self_called_dead(now);
}

}  // namespace briarlead
