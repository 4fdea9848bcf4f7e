#include "briarlead_consensus/batch_format.h"

#include <algorithm>
#include <array>
#include <bit>
#include <boost/crc.hpp>
#include <cstring>
#include <optional>

namespace briarlead::consensus {

namespace {

static_assert(std::endian::native == std::endian::little,
              "the file format is little-endian");

constexpr std::uint32_t kMagic = 0x424c4231;  // "1BLB" in the file.
constexpr std::size_t kHeaderCrcOffset = 20;

using Crc32C =
    boost::crc_optimal<32, 0x1edc6f41, 0xffffffff, 0xffffffff, true, true>;

std::uint32_t CrcOf(std::string_view bytes) {
  Crc32C crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

template <typename T>
void Put(std::string& out, T value) {
  std::array<char, sizeof(T)> buf;
  std::memcpy(buf.data(), &value, sizeof(T));
  out.append(buf.data(), buf.size());
}

template <typename T>
T Get(std::string_view bytes, std::size_t offset) {
  T value;
  std::memcpy(&value, bytes.data() + offset, sizeof(T));
  return value;
}

struct BatchHeader {
  std::uint32_t payload_bytes = 0;
  std::uint64_t sequence = 0;
  std::uint32_t payload_crc = 0;
};

std::optional<BatchHeader> ReadHeader(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderBytes ||
      Get<std::uint32_t>(bytes, 0) != kMagic) {
    return std::nullopt;
  }
  if (Get<std::uint32_t>(bytes, kHeaderCrcOffset) !=
      CrcOf(bytes.substr(0, kHeaderCrcOffset))) {
    return std::nullopt;
  }
  return BatchHeader{Get<std::uint32_t>(bytes, 4), Get<std::uint64_t>(bytes, 8),
                     Get<std::uint32_t>(bytes, 16)};
}

/// Returns whether the header of a batch after `sequence` occurs in `rest`.
bool ContainsLaterBatch(std::string_view rest, std::uint64_t sequence) {
  std::string magic;
  Put(magic, kMagic);
  for (std::size_t at = rest.find(magic, 1); at != std::string_view::npos;
       at = rest.find(magic, at + 1)) {
    const std::optional<BatchHeader> header = ReadHeader(rest.substr(at));
    if (header && header->sequence > sequence)
      return true;
  }
  return false;
}

/// Returns whether, from `begin` on, all bytes that lie in one sector are zero.
bool ContainsZeroSector(std::string_view bytes, std::size_t begin) {
  while (begin < bytes.size()) {
    const std::size_t sector_end = (begin / kSectorBytes + 1) * kSectorBytes;
    const std::size_t end = std::min(sector_end, bytes.size());
    const std::string_view part = bytes.substr(begin, end - begin);
    if (std::all_of(part.begin(), part.end(), [](char it) { return it == 0; }))
      return true;
    begin = end;
  }
  return false;
}

/// Returns whether the bytes from `begin` on can be the result of an
/// interrupted write of the batch `sequence` that was never synced.
bool IsTornTail(std::string_view bytes,
                std::size_t begin,
                std::uint64_t sequence) {
  const std::string_view rest = bytes.substr(begin);
  if (ContainsLaterBatch(rest, sequence))
    return false;
  if (rest.size() < kBatchHeaderBytes)
    return true;
  const std::optional<BatchHeader> header = ReadHeader(rest);
  if (header && header->sequence == sequence &&
      rest.size() < kBatchHeaderBytes + header->payload_bytes) {
    return true;
  }
  return ContainsZeroSector(bytes, begin);
}

}  // namespace

std::string FrameBatch(std::uint64_t sequence, std::string_view payload) {
  std::string out;
  out.reserve(kBatchHeaderBytes + payload.size());
  Put(out, kMagic);
  Put(out, static_cast<std::uint32_t>(payload.size()));
  Put(out, sequence);
  Put(out, CrcOf(payload));
  Put(out, CrcOf(out));
  out += payload;
  return out;
}

std::optional<std::string_view> ReadBatch(std::string_view bytes,
                                          std::uint64_t sequence) {
  const std::optional<BatchHeader> header = ReadHeader(bytes);
  if (!header || header->sequence != sequence)
    return std::nullopt;
  bytes.remove_prefix(kBatchHeaderBytes);
  if (bytes.size() < header->payload_bytes)
    return std::nullopt;
  const std::string_view payload = bytes.substr(0, header->payload_bytes);
  if (CrcOf(payload) != header->payload_crc)
    return std::nullopt;
  return payload;
}

Result<BatchScan> ScanBatches(std::string_view bytes,
                              std::uint64_t first_sequence,
                              bool tail_may_be_torn) {
  BatchScan scan;
  std::uint64_t sequence = first_sequence;
  while (scan.valid_bytes < bytes.size()) {
    const std::optional<std::string_view> payload =
        ReadBatch(bytes.substr(scan.valid_bytes), sequence);
    if (!payload) {
      if (tail_may_be_torn && IsTornTail(bytes, scan.valid_bytes, sequence))
        return scan;
      return Fail(ErrorCode::kCorrupt,
                  "damaged at byte " + std::to_string(scan.valid_bytes));
    }
    scan.payloads.push_back(*payload);
    scan.valid_bytes += kBatchHeaderBytes + payload->size();
    ++sequence;
  }
  return scan;
}

}  // namespace briarlead::consensus
