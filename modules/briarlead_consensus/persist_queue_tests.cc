#include "briarlead_consensus/persist_queue.h"

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

TEST_GROUP(PersistQueue) {
  LogBuffer log_{nullptr, {}};
  PersistQueue queue_{0};

  void Append(LogIndex index, Term term) {
    log_.Append({index, term, EntryKind::kCommand, "x", {}});
    queue_.OnAppended(index);
  }

  static Message Response(Term term) {
    Message message;
    message.term = term;
    message.body = AppendResponse{};
    return message;
  }
};

TEST(PersistQueue, ResponseWaitsForTheSyncThatCoversIt) {
  Append(1, 1);
  CHECK_TRUE(queue_.TakePersist({1, {}}, log_).has_value());
  Append(2, 1);
  queue_.HoldUntilSynced(Response(1));
  CHECK_FALSE(queue_.TakePersist({1, {}}, log_).has_value());
  queue_.OnPersisted(1);
  LONGS_EQUAL(1, queue_.synced_index());
  CHECK_TRUE(queue_.TakeReleasedMessages().empty());
  LONGS_EQUAL(2, queue_.TakePersist({1, {}}, log_)->token);
  queue_.OnPersisted(2);
  LONGS_EQUAL(2, queue_.synced_index());
  LONGS_EQUAL(1, queue_.TakeReleasedMessages().size());
}

TEST(PersistQueue, ResponseOfAnOlderTermIsDropped) {
  Append(1, 1);
  queue_.HoldUntilSynced(Response(1));
  queue_.OnHardStateChanged(2);
  queue_.HoldUntilSynced(Response(2));
  (void)queue_.TakePersist({2, {}}, log_);
  queue_.OnPersisted(1);
  const std::vector<Message> released = queue_.TakeReleasedMessages();
  LONGS_EQUAL(1, released.size());
  LONGS_EQUAL(2, released.front().term);
}

TEST(PersistQueue, EntriesReplacedDuringTheirSyncDoNotCountAsSynced) {
  Append(1, 1);
  Append(2, 1);
  (void)queue_.TakePersist({1, {}}, log_);
  log_.TruncateFrom(2);
  queue_.OnTruncated(2);
  Append(2, 2);
  queue_.OnPersisted(1);
  LONGS_EQUAL(1, queue_.synced_index());
  const auto persist = queue_.TakePersist({2, {}}, log_);
  LONGS_EQUAL(2, persist->truncate_from);
  LONGS_EQUAL(2, persist->entries.front().term);
  queue_.OnPersisted(2);
  LONGS_EQUAL(2, queue_.synced_index());
}

}  // namespace briarlead::consensus
