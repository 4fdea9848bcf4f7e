#include "briarlead_registry/directory_persistence.h"

#include <algorithm>

namespace briarlead {

namespace {

/// Returns whether a disk with `saved` never makes `server` ready again.
bool Covers(const SavedServerState& saved, const LeavingServer& server) {
  const ServerRecord& record = server.record;
  if (saved.server.id != record.id || saved.server.born_ms < record.born_ms)
    return false;
  const bool is_later_start = saved.server.born_ms > record.born_ms &&
                              saved.server.born_ms > server.left_by_ms;
  return is_later_start || saved.state >= record.state;
}

}  // namespace

DiskQuorum DiskQuorum::MajorityOf(std::set<HostId> voters,
                                  std::size_t min_voters) {
  const std::size_t size = std::max(voters.size(), min_voters);
  return {std::move(voters), size / 2 + 1};
}

void DirectoryPersistence::ConfirmLeaving(const CallerRequestId& call,
                                          const BackendServerId& id,
                                          TimePoint now) {
  const ServerDirectory::Entry* entry = directory_.Find(id);
  // With too few voters it can't be on enough disks in time.
  if (entry == nullptr || quorum_.voters.size() < quorum_.needed) {
    ServerRecord unknown;
    unknown.id = id;
    commands_.emplace_back(
        AnswerLeaving{call, entry == nullptr ? unknown : entry->record});
    return;
  }
  PendingCall pending{
      call, {entry->record, entry->left_by_ms}, now + kConfirmTimeout, now, {}};
  if (IsSaved())
    pending.saved_on.insert(self_);
  calls_.push_back(std::move(pending));
}

std::vector<BackendServerId> DirectoryPersistence::OnRequest(
    const Endpoint& peer,
    const PersistLeavingRequest& request,
    TimePoint now) {
  std::vector<BackendServerId> changed;
  std::set<BackendServerId>& unanswered = unanswered_[peer];
  for (const LeavingServer& it : request.servers) {
    const BackendServerId& id = it.record.id;
    directory_.Merge(it.record, now);
    if (it.left_by_ms != 0 && directory_.MarkLeftBy(id, it.left_by_ms, now))
      changed.push_back(id);
    unanswered.insert(id);
  }
  return changed;
}

void DirectoryPersistence::OnReply(const HostId& host,
                                   const PersistLeavingReply& reply) {
  for (PendingCall& call : calls_) {
    const auto covers = [&](const SavedServerState& it) {
      return Covers(it, call.server);
    };
    if (std::ranges::any_of(reply.servers, covers))
      call.saved_on.insert(host);
  }
}

void DirectoryPersistence::OnSaved(bool saved,
                                   std::uint64_t revision,
                                   TimePoint now) {
  save_pending_ = false;
  next_save_ = now + (saved ? kSaveInterval : kSaveRetryInterval);
  next_urgent_save_ = now + kUrgentSaveInterval;
  if (!saved) {
    // The peers ask again.
    unanswered_.clear();
    return;
  }
  saved_revision_ = revision;
  if (!IsSaved())
    return;
  for (PendingCall& it : calls_)
    it.saved_on.insert(self_);
}

void DirectoryPersistence::Tick(TimePoint now) {
  if (IsSaved())
    SendReplies();
  SendDueRequests(now);
  if (IsSaveDue(now)) {
    save_pending_ = true;
    commands_.emplace_back(SaveDirectory{});
  }
  AnswerCalls(now);
}

bool DirectoryPersistence::IsSaveDue(TimePoint now) const {
  if (IsSaved() || save_pending_)
    return false;
  const bool is_urgent = !unanswered_.empty() ||
                         std::ranges::any_of(calls_, [this](const auto& it) {
                           return !it.saved_on.contains(self_);
                         });
  return now >= (is_urgent ? next_urgent_save_ : next_save_);
}

std::size_t DirectoryPersistence::CountSaved(const PendingCall& pending) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      quorum_.voters,
      [&](const HostId& it) { return pending.saved_on.contains(it); }));
}

void DirectoryPersistence::SendDueRequests(TimePoint now) {
  std::map<HostId, PersistLeavingRequest> requests;
  for (PendingCall& call : calls_) {
    if (now < call.next_request)
      continue;
    call.next_request = now + kRepeatInterval;
    for (const HostId& it : quorum_.voters) {
      if (it != self_ && !call.saved_on.contains(it))
        requests[it].servers.push_back(call.server);
    }
  }
  for (auto& [host, request] : requests)
    commands_.emplace_back(SendPersistRequest{host, std::move(request)});
}

void DirectoryPersistence::AnswerCalls(TimePoint now) {
  std::erase_if(calls_, [&](const PendingCall& it) {
    const std::size_t saved_on = CountSaved(it);
    const bool confirmed = saved_on >= quorum_.needed;
    if (!confirmed && now < it.deadline)
      return false;
    commands_.emplace_back(
        AnswerLeaving{it.call, it.server.record, confirmed, saved_on});
    return true;
  });
}

void DirectoryPersistence::SendReplies() {
  for (const auto& [peer, servers] : std::exchange(unanswered_, {})) {
    PersistLeavingReply reply;
    for (const BackendServerId& it : servers) {
      const ServerDirectory::Entry* entry = directory_.Find(it);
      if (entry != nullptr) {
        reply.servers.push_back(
            {IncarnationOf(entry->record), entry->record.state});
      }
    }
    commands_.emplace_back(SendPersistReply{peer, std::move(reply)});
  }
}

}  // namespace briarlead
