#include "briarlead_dispatch/dispatch_messages.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <exception>
#include <istream>
#include <sstream>
#include <streambuf>
#include <type_traits>
#include <utility>
#include <vector>

namespace briarlead {
namespace {

/// These exceptions never leave the codec.
class LengthLimitExceeded : public std::exception {};
class InvalidValue : public std::exception {};

/// Stream buffer that reads from a view without copying it.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }
  [[nodiscard]] bool AtEnd() const { return gptr() == egptr(); }
};

class Writer {
 public:
  explicit Writer(std::ostream& out) : archive_(out) {}

  template <typename T>
  void Number(const T& value) {
    archive_(value);
  }
  void Text(const std::string& text) {
    if (text.size() > kMaxDispatchTextBytes)
      throw LengthLimitExceeded();
    archive_(static_cast<std::uint16_t>(text.size()));
    archive_(cereal::binary_data(text.data(), text.size()));
  }
  template <typename Tag>
  void Name(const Identifier<Tag>& name) {
    Text(name.value());
  }
  void Time(const Duration& duration) {
    archive_(static_cast<std::int64_t>(duration.count()));
  }
  template <typename E>
  void Enumerator(const E& value, E /*last*/) {
    archive_(static_cast<std::uint8_t>(value));
  }
  void Real(const double& value) { archive_(value); }
  void Hashes(const std::vector<std::uint64_t>& hashes) {
    if (hashes.size() > kMaxPrefixBlocks)
      throw LengthLimitExceeded();
    archive_(static_cast<std::uint16_t>(hashes.size()));
    for (const std::uint64_t it : hashes)
      archive_(it);
  }

 private:
  cereal::PortableBinaryOutputArchive archive_;
};

class Reader {
 public:
  explicit Reader(std::istream& in) : archive_(in) {}

  template <typename T>
  void Number(T& value) {
    archive_(value);
  }
  void Text(std::string& text) {
    std::uint16_t size = 0;
    archive_(size);
    if (size > kMaxDispatchTextBytes)
      throw LengthLimitExceeded();
    text.resize(size);
    archive_(cereal::binary_data(text.data(), text.size()));
  }
  template <typename Tag>
  void Name(Identifier<Tag>& name) {
    std::string text;
    Text(text);
    name = Identifier<Tag>(std::move(text));
  }
  void Time(Duration& duration) {
    std::int64_t count = 0;
    archive_(count);
    duration = Duration(count);
  }
  template <typename E>
  void Enumerator(E& value, E last) {
    std::uint8_t number = 0;
    archive_(number);
    if (number > static_cast<std::uint8_t>(last))
      throw InvalidValue();
    value = static_cast<E>(number);
  }
  void Real(double& value) {
    archive_(value);
    if (!std::isfinite(value))
      throw InvalidValue();
  }
  void Hashes(std::vector<std::uint64_t>& hashes) {
    std::uint16_t size = 0;
    archive_(size);
    if (size > kMaxPrefixBlocks)
      throw LengthLimitExceeded();
    hashes.resize(size);
    for (std::uint64_t& it : hashes)
      archive_(it);
  }

 private:
  cereal::PortableBinaryInputArchive archive_;
};

// Each Visit function lists the fields of a message once, for Writer and Reader
// alike: `M` is const for Writer and mutable for Reader.
template <typename A, typename M>
void VisitId(A& archive, M& id) {
  archive.Name(id.host);
  archive.Number(id.incarnation);
  archive.Number(id.sequence);
}

template <typename A, typename M>
void VisitPlacement(A& archive, M& message) {
  VisitId(archive, message.request);
  archive.Name(message.customer);
  archive.Real(message.weight);
  archive.Enumerator(message.rank, Rank::kPatient);
  archive.Name(message.model);
  archive.Number(message.prompt_tokens);
  archive.Number(message.max_output_tokens);
  archive.Number(message.delivered_tokens);
  archive.Time(message.first_token_target);
  archive.Time(message.token_gap_target);
  archive.Time(message.waited);
  archive.Number(message.last_attempt);
  archive.Hashes(message.prefix_blocks);
}

template <typename A, typename M>
void VisitGrant(A& archive, M& grant) {
  VisitId(archive, grant.request);
  archive.Number(grant.attempt);
  archive.Name(grant.prefill_server);
  archive.Name(grant.decode_server);
  archive.Text(grant.reason);
}

template <typename A, typename M>
void VisitEndpoint(A& archive, M& endpoint) {
  archive.Text(endpoint.address);
  archive.Number(endpoint.port);
}

template <typename A, typename M>
void VisitSummary(A& archive, M& summary) {
  archive.Name(summary.data_centre);
  archive.Name(summary.model);
  archive.Number(summary.queued_urgent);
  archive.Number(summary.queued_patient);
  archive.Number(summary.decode_slots);
  archive.Number(summary.free_decode_slots);
  archive.Time(summary.expected_urgent_wait);
  archive.Time(summary.expected_patient_wait);
}

template <typename A, typename M>
void VisitMessage(A& archive, M& message) {
  using T = std::remove_const_t<M>;
  if constexpr (std::is_same_v<T, PlacementRequest>) {
    VisitPlacement(archive, message);
  } else if constexpr (std::is_same_v<T, ReRegisterMessage>) {
    auto& in_flight = message.in_flight;
    VisitPlacement(archive, in_flight.placement);
    archive.Enumerator(in_flight.stage, PlacementStage::kDecode);
    archive.Number(in_flight.attempt);
    archive.Name(in_flight.prefill_server);
    archive.Name(in_flight.decode_server);
  } else if constexpr (std::is_same_v<T, PlacementGrant>) {
    VisitGrant(archive, message);
  } else if constexpr (std::is_same_v<T, RemoteGrantMessage>) {
    VisitGrant(archive, message.grant);
    VisitEndpoint(archive, message.prefill_address);
    VisitEndpoint(archive, message.decode_address);
  } else if constexpr (std::is_same_v<T, ShardSummaryMessage>) {
    VisitSummary(archive, message.summary);
  } else {
    VisitId(archive, message.request);
  }
  if constexpr (std::is_same_v<T, PlacementRefusal>) {
    archive.Time(message.retry_after);
    archive.Text(message.reason);
  } else if constexpr (std::is_same_v<T, PrefillDoneMessage>) {
    archive.Number(message.attempt);
    archive.Number(message.kv_bytes);
  } else if constexpr (std::is_same_v<T, FirstTokenMessage>) {
    archive.Number(message.attempt);
  } else if constexpr (std::is_same_v<T, ProgressMessage>) {
    archive.Number(message.attempt);
    archive.Number(message.tokens);
  } else if constexpr (std::is_same_v<T, FinishedMessage>) {
    archive.Number(message.attempt);
    archive.Number(message.output_tokens);
  } else if constexpr (std::is_same_v<T, AttemptFailedMessage>) {
    archive.Number(message.attempt);
    archive.Enumerator(message.stage, FailedStage::kDecode);
    archive.Name(message.server);
  }
}

/// Returns the default-constructed alternative with index `kind`.
template <std::size_t... I>
DispatchMessage MakeAlternative(std::size_t kind,
                                std::index_sequence<I...> /*all*/) {
  DispatchMessage message;
  const bool known =
      ((kind == I ? (message.emplace<I>(), true) : false) || ...);
  if (!known)
    throw InvalidValue();
  return message;
}

}  // namespace

Result<std::string> EncodeDispatchMessage(const DispatchMessage& message) {
  try {
    std::ostringstream out(std::ios::binary);
    {
      Writer writer(out);
      writer.Number(static_cast<std::uint8_t>(message.index()));
      std::visit([&writer](const auto& it) { VisitMessage(writer, it); },
                 message);
    }
    return std::move(out).str();
  } catch (const LengthLimitExceeded&) {
    return Fail(ErrorCode::kTooLarge, "a part of the message is too long");
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what());
  }
}

Result<DispatchMessage> DecodeDispatchMessage(std::string_view bytes) {
  if (bytes.size() > kMaxDispatchMessageBytes)
    return Fail(ErrorCode::kTooLarge, "the message is too long");
  try {
    ViewBuffer buffer(bytes);
    std::istream in(&buffer);
    Reader reader(in);
    std::uint8_t kind = 0;
    reader.Number(kind);
    DispatchMessage message = MakeAlternative(
        kind, std::make_index_sequence<std::variant_size_v<DispatchMessage>>());
    std::visit([&reader](auto& it) { VisitMessage(reader, it); }, message);
    if (!buffer.AtEnd())
      return Fail(ErrorCode::kCorrupt, "bytes follow the message");
    return message;
  } catch (const LengthLimitExceeded&) {
    return Fail(ErrorCode::kTooLarge, "a part of the message is too long");
  } catch (const std::exception&) {
    return Fail(ErrorCode::kCorrupt, "not a dispatch message");
  }
}

}  // namespace briarlead
