#include "briarlead_forward/request_names.h"

#include <cstdint>

#include "briarlead_claims/content_digest.h"

namespace briarlead {

namespace {

/// Returns the upper half of a name, made from a hash of the head.
SuspectId HeadName(const ContentDigest& digest) {
  return {SuspectId::kRequestBit | (digest.high & ~SuspectId::kBodyMask)};
}

}  // namespace

RequestNames HeadNamesOf(const RequestContent& content) {
  const auto& [method, host, path, query, address, credentials, body] = content;
  // The lists differ in length, so that no name of one kind is one of another.
  return {
      HeadName(DigestOf({method, host, path, query})),
      HeadName(DigestOf({method, host, path})),
      HeadName(DigestOf({method, host, path, address, credentials})),
  };
}

RequestNames NamesOf(const RequestContent& content) {
  RequestNames names = HeadNamesOf(content);
  const std::uint64_t body =
      DigestOf({content.body}).high & SuspectId::kBodyMask;
  for (SuspectId* it : {&names.by_target, &names.by_path, &names.by_caller})
    it->value |= body;
  return names;
}

}  // namespace briarlead
