#include "fakes/announcer.h"

#include <string>

namespace briarlead {

namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(500);

}  // namespace

Announcer::Announcer(const BackendOptions& options, const FakeBackend& backend)
    : options_(options),
      backend_(backend),
      incarnation_(static_cast<std::uint64_t>(g_get_real_time())),
      calls_(options.announce_to.size()) {
  Announce();
  timer_.StartEvery(kPeriod, [this] { Announce(); });
}

void Announcer::Leave() {
  state_ = BackendServerState::kLeaving;
  Announce();
}

void Announcer::Announce() {
  Announcement announcement;
  BackendServerRecord& record = announcement.record;
  record.id = BackendServerId(options_.id);
  record.data_centre = DataCentreId(options_.data_centre);
  record.role = options_.role;
  record.model = ModelId(options_.name);
  record.service = ServiceId(options_.name);
  record.address = options_.listen;
  record.incarnation = incarnation_;
  announcement.sequence = ++sequence_;
  record.state = state_;
  record.slots = options_.slots;
  record.kv_capacity_bytes = options_.kv_capacity_bytes;
  record.link_bytes_per_second = options_.link_bytes_per_second;
  record.checks_fencing = !options_.ignore_fencing;
  record.load = backend_.load();
  announcement.held = backend_.held();
  const std::string body = WriteAnnouncement(announcement);
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    calls_[i] =
        client_.Send({.endpoint = options_.announce_to[i],
                      .method = "POST",
                      .path = "/v1/announce",
                      .headers = {{"Authorization", "Bearer " + options_.key},
                                  {"Content-Type", "application/json"}},
                      .body = body},
                     {});
  }
}

}  // namespace briarlead
