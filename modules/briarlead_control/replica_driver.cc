#include "briarlead_control/replica_driver.h"

#include <utility>
#include <variant>

#include "briarlead_core/random_source.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

ReplicaDriver::ReplicaDriver(consensus::FileStore& store,
                             PeerTransport& transport,
                             EndpointLookup lookup_endpoint,
                             Handlers handlers)
    : store_(store),
      transport_(transport),
      lookup_endpoint_(std::move(lookup_endpoint)),
      handlers_(std::move(handlers)) {}

void ReplicaDriver::Start(const consensus::ReplicaSettings& settings,
                          consensus::RecoveredState recovered,
                          std::uint64_t seed,
                          TimePoint now) {
  replica_.emplace(settings, std::move(recovered), RandomSource(seed), now);
  Pump();
}

Result<std::uint64_t> ReplicaDriver::Propose(std::string_view payload,
                                             TimePoint now) {
  return replica_->Propose(payload, now);
}

Result<std::uint64_t> ReplicaDriver::ProposeMembershipChange(
    const consensus::MembershipChange& change,
    TimePoint now) {
  Result<consensus::LogIndex> index =
      replica_->ProposeMembershipChange(change, now);
  Pump();
  return index;
}

Result<consensus::ReadToken> ReplicaDriver::ReadBarrier(TimePoint now) {
  if (!started())
    return Fail(ErrorCode::kUnavailable, "the replica has not started");
  return replica_->ReadBarrier(now);
}

void ReplicaDriver::SetSeedHosts(std::vector<HostId> hosts) {
  if (started())
    replica_->SetSeedHosts(std::move(hosts));
}

void ReplicaDriver::TransferLeadership(TimePoint now) {
  if (!started() || replica_->role() != consensus::Role::kLeader)
    return;
  std::optional<consensus::MemberStatus> successor;
  for (const consensus::MemberStatus& it : replica_->MemberStatuses()) {
    const bool eligible =
        it.voter && it.replica != replica_->identity().replica;
    if (eligible && (!successor || it.synced_index > successor->synced_index))
      successor = it;
  }
  if (successor.has_value())
    static_cast<void>(replica_->TransferLeadership(successor->replica, now));
  Pump();
}

void ReplicaDriver::OnFrame(std::string_view payload, TimePoint now) {
  const Result<consensus::Message> message = consensus::DecodeMessage(payload);
  if (message.has_error() || !started())
    return;
  replica_->OnMessage(message.value(), now);
  Pump();
}

void ReplicaDriver::Compact(consensus::LogIndex index,
                            std::string data,
                            TimePoint now) {
  static_cast<void>(replica_->Compact(index, std::move(data), now));
  Pump();
}

void ReplicaDriver::Tick(TimePoint now) {
  if (!started())
    return;
  replica_->Tick(now);
  Pump();
}

void ReplicaDriver::Pump() {
  // A handler may propose an entry and so call Pump() again. The outer call
  // carries out the commands that this adds.
  if (pumping_ || !started())
    return;
  pumping_ = true;
  for (auto commands = replica_->TakeCommands(); !commands.empty();
       commands = replica_->TakeCommands()) {
    for (const consensus::Command& it : commands)
      std::visit([this](const auto& command) { Run(command); }, it);
  }
  pumping_ = false;
}

void ReplicaDriver::Run(const consensus::SendMessage& command) {
  const std::optional<Endpoint> peer =
      lookup_endpoint_(command.message.to.host);
  if (!peer.has_value())
    return;
  transport_.Send(*peer, Channel::kConsensus,
                  consensus::EncodeMessage(command.message));
}

void ReplicaDriver::Run(const consensus::Persist& command) {
  const Result<void> written = store_.Write(command);
  if (written.has_error()) {
    handlers_.on_disk_failure(written.error());
    return;
  }
  replica_->OnPersisted(command.token, LoopNow());
}

void ReplicaDriver::Run(const consensus::Apply& command) {
  handlers_.on_apply(command);
}

void ReplicaDriver::Run(const consensus::InstallSnapshot& command) {
  handlers_.on_snapshot(*command.snapshot);
}

void ReplicaDriver::Run(const consensus::RoleChanged& command) {
  handlers_.on_role(command);
}

void ReplicaDriver::Run(const consensus::ReadBarrierDone& command) {
  if (handlers_.on_read)
    handlers_.on_read(command);
}

void ReplicaDriver::Run(const consensus::JoinRequested& command) {
  handlers_.on_join(command.replica);
}

}  // namespace briarlead
