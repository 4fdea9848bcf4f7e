// The part of RegistryProcess that keeps the known servers on disk.

#include <utility>
#include <variant>

#include "briarlead_net/loop_clock.h"
#include "briarlead_registry/registry_process.h"

namespace briarlead {

void RegistryProcess::LoadServers(TimePoint now) {
  const Result<std::vector<ServerRecord>> servers = server_file_.Load();
  if (!servers) {
    logger_.Info(now, "servers_not_loaded", {{"why", servers.error().message}});
    return;
  }
  for (const ServerRecord& it : servers.value())
    directory_.Merge(it, now);
  persistence_.OnLoaded();
  logger_.Info(now, "servers_loaded", {{"servers", servers.value().size()}});
}

void RegistryProcess::OnPersistLeavingRequest(
    const Endpoint& peer,
    const PersistLeavingRequest& request,
    TimePoint now) {
  for (const BackendServerId& it : persistence_.OnRequest(peer, request, now)) {
    logger_.Info(now, "server_departed",
                 {{"server", it.value()}, {"told_by", ToString(peer)}});
    push_.OnAnnounced(it, true);
    SchedulePush();
  }
  RunPersistence(now);
}

void RegistryProcess::OnPersistLeavingReply(const HostId& host,
                                            const PersistLeavingReply& reply,
                                            TimePoint now) {
  persistence_.OnReply(host, reply);
  RunPersistence(now);
}

void RegistryProcess::RunPersistence(TimePoint now) {
  persistence_.SetQuorum(
      DiskQuorum::MajorityOf(state_->VoterHosts(), settings_.min_voters));
  persistence_.Tick(now);
  for (auto commands = persistence_.TakeCommands(); !commands.empty();
       commands = persistence_.TakeCommands()) {
    for (PersistenceCommand& command : commands)
      std::visit([&](auto& it) { CarryOut(it, now); }, command);
  }
}

void RegistryProcess::CarryOut(const SaveDirectory&, TimePoint now) {
  const std::uint64_t revision = directory_.revision();
  const Result<void> saved = server_file_.Save(directory_.Records());
  if (!saved) {
    logger_.Warning(now, "servers_not_saved",
                    {{"error", saved.error().message}});
  }
  // Saving takes time.
  const TimePoint saved_at = LoopNow();
  persistence_.OnSaved(saved.has_value(), revision, saved_at);
  persistence_.Tick(saved_at);
}

void RegistryProcess::CarryOut(SendPersistRequest& command, TimePoint) {
  Send({command.host.value(), settings_.control_peer_port},
       std::move(command.request));
}

void RegistryProcess::CarryOut(SendPersistReply& command, TimePoint) {
  Send(command.peer, std::move(command.reply));
}

void RegistryProcess::CarryOut(const AnswerLeaving& command, TimePoint now) {
  logger_.Info(
      now, command.confirmed ? "leaving_confirmed" : "leaving_not_confirmed",
      {{"server", command.server.id.value()},
       {"born_ms", command.server.born_ms},
       {"state", ToString(command.server.state)},
       {"saved_on", command.saved_on}});
  metrics_.Increment(command.confirmed ? leavings_confirmed_
                                       : leavings_not_confirmed_);
  Answer(command.call, command.confirmed ? 200 : 503, "{}");
}

}  // namespace briarlead
