#ifndef BRIARLEAD_FORWARD_ENGINE_BOOK_H_
#define BRIARLEAD_FORWARD_ENGINE_BOOK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_load.h"

namespace briarlead {

/// Names one request of this host in the book.
using BookKey = std::uint64_t;

/// Time to a first token beside the reading of the prompt.
inline constexpr Duration kFirstTokenOverhead = std::chrono::milliseconds(40);
/// Prompt tokens that an engine is counted on to read in a second.
inline constexpr double kPromptTokensPerSecond = 45'000;

/// Returns the time from a placement to the first token of a prompt, where
/// nothing else is in the way.
inline Duration FirstTokenTime(std::uint32_t prompt_tokens) {
  return kFirstTokenOverhead +
         FromSeconds(prompt_tokens / kPromptTokensPerSecond);
}

/// Returns what orders waiting requests: those that can still meet their target
/// first, then by rank, then by target. A request that would be just too late
/// must not make the next ones too late as well.
inline std::tuple<bool, std::uint32_t, Duration> ServingOrder(
    const WaitingLoad& it) {
  const bool late = it.target_left < FirstTokenTime(it.prompt_tokens);
  return {late, it.rank, it.target_left};
}

/// What all entry hosts have on the engines and have waiting, as far as this
/// one knows: its own part exactly, the others' as they told it last.
class EngineBook {
 public:
  /// The word of a host that is silent for this long doesn't count any more.
  static constexpr Duration kHostLife = std::chrono::milliseconds(1500);

  /// A waiting request of any host.
  struct Waiting {
    WaitingLoad load;
    bool own = false;
    BookKey key = 0;   ///< Of own requests.
    std::string host;  ///< Of others' requests; orders equal ones.
  };

  void SetStream(BookKey key, const StreamLoad& load, TimePoint now);
  /// Notes that a stream has produced tokens.
  void AddTokens(BookKey key, std::uint32_t tokens, TimePoint now);
  void RemoveStream(BookKey key, TimePoint now);
  void SetPrefill(BookKey key, const PrefillLoad& load, TimePoint now);
  void RemovePrefill(BookKey key, TimePoint now);
  /// `target` is the time of the request's target latency.
  void SetWaiting(BookKey key,
                  const WaitingLoad& load,
                  TimePoint target,
                  TimePoint now);
  void RemoveWaiting(BookKey key, TimePoint now);

  /// Takes what another host tells; older messages than its last are dropped.
  void OnHostLoad(const HostId& host, const HostLoad& load, TimePoint now);
  void Expire(TimePoint now);

  /// Returns what this host tells the others.
  HostLoad Own(TimePoint now);

  [[nodiscard]] std::vector<StreamLoad> StreamsOn(
      const BackendServerId& engine) const;
  /// Returns the prompt tokens that the engine has to read.
  [[nodiscard]] std::uint64_t PrefillBacklog(
      const BackendServerId& engine) const;
  [[nodiscard]] std::size_t stream_count() const;
  /// Returns the requests that wait for engines of `service`, in the order in
  /// which they are served.
  [[nodiscard]] std::vector<Waiting> WaitingInOrder(const ServiceId& service,
                                                    TimePoint now) const;

  /// Grows with each change of this host's own part.
  [[nodiscard]] std::uint64_t own_revision() const { return own_revision_; }
  /// Grows with each change of any part.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  struct OwnWaiting {
    WaitingLoad load;
    TimePoint target;
  };
  struct OtherHost {
    HostLoad load;
    TimePoint heard;
  };

  void NoteOwnChange();

  std::map<BookKey, StreamLoad> streams_;
  std::map<BookKey, PrefillLoad> prefills_;
  std::map<BookKey, OwnWaiting> waiting_;
  std::map<HostId, OtherHost> others_;
  std::uint64_t own_revision_ = 0;
  std::uint64_t revision_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_ENGINE_BOOK_H_
