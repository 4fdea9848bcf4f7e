#include "briarlead_entry/status_document.h"

#include "briarlead_entry/state_names.h"
#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

void WriteHosts(const HostTable& hosts, JsonWriter& writer) {
  writer.Key("hosts").BeginArray();
  for (const auto& [id, it] : hosts.items()) {
    writer.BeginObject()
        .Field("host", id.value())
        .Field("data_centre", it.data_centre.value())
        .Field("state", StateName(it.state))
        .Field("incarnation", it.incarnation)
        .Field("lists_revision", it.lists_revision)
        .EndObject();
  }
  writer.EndArray();
}

void WriteServers(const BackendServerTable& servers, JsonWriter& writer) {
  writer.Key("backend_servers").BeginArray();
  for (const auto& [id, it] : servers.items()) {
    const bool is_runner = it.role == BackendServerRole::kService;
    writer.BeginObject()
        .Field("server", id.value())
        .Field("data_centre", it.data_centre.value())
        .Field("serves", is_runner ? it.service.value() : it.model.value())
        .Field("state", StateName(it.state))
        .Field("slots", it.slots)
        .Field("running", it.load.running)
        .EndObject();
  }
  writer.EndArray();
}

void WriteShards(const std::vector<ShardSummary>& shards, JsonWriter& writer) {
  writer.Key("owned_shards").BeginArray();
  for (const ShardSummary& it : shards) {
    writer.BeginObject()
        .Field("model", it.model.value())
        .Field("queued_urgent", it.queued_urgent)
        .Field("queued_patient", it.queued_patient)
        .Field("decode_slots", it.decode_slots)
        .Field("free_decode_slots", it.free_decode_slots)
        .Field("expected_urgent_wait_ms",
               it.expected_urgent_wait.count() / 1000)
        .Field("expected_patient_wait_ms",
               it.expected_patient_wait.count() / 1000)
        .EndObject();
  }
  writer.EndArray();
}

}  // namespace

std::string WriteStatusDocument(const EntryContext& context,
                                const EntryStatus& status) {
  JsonWriter writer;
  writer.BeginObject()
      .Field("host", context.settings.host.value())
      .Field("data_centre", context.settings.data_centre.value())
      .Field("ready", status.ready)
      .Field("stopping", status.stopping)
      .Field("control_heard", status.control_heard)
      .Field("lists_revision", status.lists_revision)
      .Field("open_completions", status.open_completions)
      .Field("open_calls", status.open_calls);
  WriteHosts(context.blackboard.hosts, writer);
  WriteServers(context.blackboard.servers, writer);
  WriteShards(status.shards, writer);
  writer.EndObject();
  return writer.Take();
}

}  // namespace briarlead
