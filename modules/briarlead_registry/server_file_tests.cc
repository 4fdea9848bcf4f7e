#include "briarlead_registry/server_file.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ServerFile) {
  std::string folder_;

  void setup() override {
    char name[] = "/tmp/briarlead_servers_XXXXXX";
    folder_ = mkdtemp(name);
  }
  void teardown() override {
    std::filesystem::remove_all(folder_);
  }

  static std::vector<ServerRecord> Servers() {
    ServerRecord record;
    record.id = BackendServerId("i-1");
    record.service = ServiceId("desk");
    record.address = {"10.0.0.1", 80};
    record.state = ServerState::kLeaving;
    record.born_ms = 7;
    record.sequence = 3;
    return {record};
  }
};

TEST(ServerFile, LoadReturnsTheSavedServers) {
  CHECK(ServerFile(folder_).Save({}).has_value());
  CHECK(ServerFile(folder_).Save(Servers()).has_value());
  CHECK(ServerFile(folder_).Load().value() == Servers());
}

TEST(ServerFile, MissingAndDamagedFilesFailToLoad) {
  const ServerFile file(folder_);
  CHECK(file.Load().error().code == ErrorCode::kNotFound);
  CHECK(file.Save(Servers()).has_value());
  const std::string path = folder_ + "/servers";
  const auto size = std::filesystem::file_size(path);
  for (std::uintmax_t cut = 0; cut < size; cut += 5) {
    std::filesystem::resize_file(path, cut);
    CHECK_FALSE(file.Load().has_value());
    CHECK(file.Save(Servers()).has_value());
  }
}

}  // namespace briarlead
