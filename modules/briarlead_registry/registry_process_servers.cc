// The part of RegistryProcess that keeps the known servers on disk.

#include "briarlead_registry/registry_process.h"

namespace briarlead {

namespace {

/// Minimum time between two saves of the servers.
constexpr Duration kSaveInterval = std::chrono::milliseconds(1000);
/// Minimum time from a failed save to the next one.
constexpr Duration kSaveRetryInterval = std::chrono::seconds(5);

}  // namespace

void RegistryProcess::LoadServers(TimePoint now) {
  const Result<std::vector<ServerRecord>> servers = server_file_.Load();
  if (!servers) {
    logger_.Info(now, "servers_not_loaded", {{"why", servers.error().message}});
    return;
  }
  for (const ServerRecord& it : servers.value())
    directory_.Merge(it, now);
  saved_revision_ = directory_.revision();
  logger_.Info(now, "servers_loaded", {{"servers", servers.value().size()}});
}

void RegistryProcess::SaveServersWhenDue(TimePoint now) {
  if (directory_.revision() != saved_revision_ && now >= next_save_)
    SaveServers(now);
}

bool RegistryProcess::SaveServers(TimePoint now) {
  const Result<void> saved = server_file_.Save(directory_.Records());
  next_save_ = now + (saved ? kSaveInterval : kSaveRetryInterval);
  if (saved) {
    saved_revision_ = directory_.revision();
    return true;
  }
  logger_.Warning(now, "servers_not_saved", {{"error", saved.error().message}});
  return false;
}

}  // namespace briarlead
