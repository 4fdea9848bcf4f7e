// The part of GatewayProcess that exchanges slots of plain services' servers
// with other entry hosts.

#include <algorithm>
#include <chrono>
#include <utility>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Time for which the usable servers of a service are remembered: finding them
/// costs a look at each server of the fleet.
constexpr Duration kUsableServersLife = std::chrono::milliseconds(20);

/// Returns what permit owners are chosen by for a service: the same hosts on
/// every host, and none that has to be configured.
BackendServerId SchedulerKey(const ServiceId& service) {
  return BackendServerId("slots of " + service.value());
}

}  // namespace

bool GatewayProcess::OnSlotFrame(const Endpoint& peer,
                                 const RoutingMessage& message,
                                 TimePoint now) {
  if (const auto* request = std::get_if<SlotRequest>(&message))
    OnSlotRequest(peer, *request, now);
  else if (const auto* release = std::get_if<SlotRelease>(&message))
    OnSlotRelease(peer, *release, now);
  else if (const auto* reply = std::get_if<SlotReply>(&message))
    OnSlotReply(*reply, peer, now);
  else
    return false;
  return true;
}

void GatewayProcess::UpdateScheduledServices() {
  std::map<ServiceId, std::size_t> slots;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (it.stage == EngineStage::kNone && it.state == ServerState::kReady)
      slots[it.service] += it.slots;
  }
  scheduled_services_.clear();
  for (const auto& [service, n] : slots) {
    if (n < entry_hosts_.size())
      scheduled_services_.insert(service);
  }
}

void GatewayProcess::RequestSlot(RequestKey key, const AskForSlot& ask) {
  slot_client_.Ask(key, ask.demand,
                   permit_owners_.Of(SchedulerKey(ask.demand.service)),
                   LoopNow());
  RunSlotClient();
}

void GatewayProcess::ReturnSlot(RequestKey key, const ReleaseSlot& release) {
  slot_client_.Release(key, release.outcome, LoopNow());
  RunSlotClient();
}

void GatewayProcess::ForgetSlot(RequestKey key) {
  slot_client_.Forget(key, LoopNow());
  RunSlotClient();
}

std::span<const ServerRecord> GatewayProcess::UsableServers(
    const ServiceId& service,
    TimePoint now) {
  UsableServerList& list = usable_servers_[service];
  if (now >= list.valid_until) {
    // The releases of all hosts tell which servers fail. What this one host has
    // met must not keep a server from the whole fleet.
    list.servers.clear();
    for (const auto& [id, entry] : directory_.entries()) {
      const ServerRecord& it = entry.record;
      if (it.service == service && it.stage == EngineStage::kNone &&
          pool_.Accepts(it, now) && !pool_.IsDown(IncarnationOf(it))) {
        list.servers.push_back(it);
      }
    }
    list.valid_until = now + kUsableServersLife;
  }
  return list.servers;
}

void GatewayProcess::OnSlotRequest(const Endpoint& host,
                                   const SlotRequest& request,
                                   TimePoint now) {
  slot_scheduler_.OnRequest(host, request, UsableServers(request.service, now),
                            now);
  SendSlotReplies();
}

void GatewayProcess::OnSlotRelease(const Endpoint& host,
                                   const SlotRelease& release,
                                   TimePoint now) {
  slot_scheduler_.OnRelease(host, release, now);
  PlaceWaitingForSlots(now);
}

void GatewayProcess::PlaceWaitingForSlots(TimePoint now) {
  for (const ServiceId& it : slot_scheduler_.WaitingServices())
    slot_scheduler_.PlaceWaiting(it, UsableServers(it, now), now);
  SendSlotReplies();
}

void GatewayProcess::SendSlotReplies() {
  for (const OutgoingSlotReply& it : slot_scheduler_.TakeReplies()) {
    transport_->SendDatagram(it.host, Channel::kRouting,
                             EncodeRoutingMessage(it.reply));
  }
}

void GatewayProcess::OnSlotReply(const SlotReply& reply,
                                 const Endpoint& scheduler,
                                 TimePoint now) {
  const bool is_answer = slot_client_.OnReply(scheduler, reply, now);
  ActiveRequest* request = is_answer ? FindRequest(reply.key) : nullptr;
  if (request != nullptr) {
    SlotAnswer answer{reply.verdict, std::nullopt, reply.next_in};
    const ServerDirectory::Entry* entry = directory_.Find(reply.server.id);
    if (reply.verdict == SlotVerdict::kGranted && entry != nullptr &&
        IncarnationOf(entry->record) == reply.server) {
      answer.server = entry->record;
    }
    request->OnSlot(answer);
  }
  RunSlotClient();
}

void GatewayProcess::RunSlotClient() {
  for (const SlotClientCommand& command : slot_client_.TakeCommands()) {
    if (const auto* ask = std::get_if<SendSlotRequest>(&command)) {
      transport_->SendDatagram(ask->scheduler, Channel::kRouting,
                               EncodeRoutingMessage(ask->request));
    } else if (const auto* back = std::get_if<SendSlotRelease>(&command)) {
      transport_->SendDatagram(back->scheduler, Channel::kRouting,
                               EncodeRoutingMessage(back->release));
    } else {
      ActiveRequest* request =
          FindRequest(std::get<NoSlotScheduler>(command).key);
      if (request != nullptr)
        request->OnNoSlotScheduler();
    }
  }
  const TimePoint due = slot_client_.NextWake();
  if (due == TimePoint::max()) {
    slot_timer_.Reset();
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(due - LoopNow(), Duration::zero()));
  slot_timer_.StartTimer(static_cast<guint>(wait.count()), [this] {
    slot_client_.OnWake(LoopNow());
    RunSlotClient();
  });
}

}  // namespace briarlead
