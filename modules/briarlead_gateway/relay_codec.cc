#include "briarlead_gateway/relay_codec.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace briarlead {

namespace {

constexpr std::string_view kServerField = "Briarlead-Relay-Server";
constexpr std::string_view kBornField = "Briarlead-Relay-Born";
constexpr std::string_view kFreshField = "Briarlead-Relay-Fresh";
/// The digest of the account's key, a space and the account's name.
constexpr std::string_view kAccountField = "Briarlead-Relay-Account";
constexpr std::string_view kRefusalField = "Briarlead-Relay-Refusal";
constexpr std::string_view kTagField = "Briarlead-Relay-Tag";
constexpr std::array<std::string_view, 6> kRelayFields = {
    kServerField,  kBornField,    kFreshField,
    kAccountField, kRefusalField, kTagField};

/// Contexts from which the keys of requests and responses are derived.
constexpr std::string_view kRequestContext = "relayed request";
constexpr std::string_view kResponseContext = "relayed response";

void RemoveRelayFields(HeaderFields& fields) {
  for (const std::string_view it : kRelayFields)
    fields.Remove(it);
}

std::string ToHex(const FrameTag& tag) {
  std::string text;
  for (const std::uint8_t it : tag)
    text += fmt::format("{:02x}", it);
  return text;
}

/// Returns the bytes of a request that its tag covers.
std::string SignedText(const RequestHead& head, std::string_view body) {
  std::string text = head.method + " " + head.target + "\n";
  for (const HeaderField& it : head.fields.items())
    text += it.name + ":" + it.value + "\n";
  text += "\n";
  text += body;
  return text;
}

std::optional<RelayedAccount> ReadAccount(std::string_view text) {
  const std::size_t space = text.find(' ');
  const std::optional<KeyDigest> key = ReadKeyDigest(text.substr(0, space));
  if (!key.has_value() || space == std::string_view::npos)
    return std::nullopt;
  return RelayedAccount{CustomerId(std::string(text.substr(space + 1))), *key};
}

std::optional<RelayOrder> ReadOrder(const HeaderFields& fields) {
  const auto server = fields.Find(kServerField);
  const auto born = fields.Find(kBornField);
  if (!server.has_value() || !born.has_value())
    return std::nullopt;
  RelayOrder order;
  order.server.id = BackendServerId(std::string(*server));
  const char* end = born->data() + born->size();
  const auto read = std::from_chars(born->data(), end, order.server.born_ms);
  if (read.ec != std::errc() || read.ptr != end)
    return std::nullopt;
  order.needs_fresh_connection = fields.Find(kFreshField).has_value();
  const auto account = fields.Find(kAccountField);
  if (!account.has_value())
    return order;
  order.account = ReadAccount(*account);
  return order.account.has_value() ? std::optional(order) : std::nullopt;
}

}  // namespace

RelayCodec::RelayCodec(const FrameKey& key)
    : request_key_(key.Derive(kRequestContext)),
      response_key_(key.Derive(kResponseContext)) {}

std::string RelayCodec::SignRequest(RequestHead& head,
                                    std::string_view body,
                                    const RelayOrder& order) const {
  RemoveHopByHopFields(head.fields);
  RemoveRelayFields(head.fields);
  head.fields.Add(kServerField, order.server.id.value());
  head.fields.Add(kBornField, std::to_string(order.server.born_ms));
  if (order.needs_fresh_connection)
    head.fields.Add(kFreshField, "1");
  if (order.account.has_value()) {
    head.fields.Add(kAccountField, ToHex(order.account->key) + " " +
                                       order.account->id.value());
  }
  std::string tag = ToHex(request_key_.Sign(SignedText(head, body)));
  head.fields.Add(kTagField, tag);
  return tag;
}

std::optional<RelayOrder> RelayCodec::ReadRequest(RequestHead& head,
                                                  std::string_view body,
                                                  std::string& tag) const {
  tag = head.fields.Find(kTagField).value_or("");
  RemoveHopByHopFields(head.fields);
  head.fields.Remove(kTagField);
  if (tag != ToHex(request_key_.Sign(SignedText(head, body))))
    return std::nullopt;
  std::optional<RelayOrder> order = ReadOrder(head.fields);
  RemoveRelayFields(head.fields);
  return order;
}

std::string RelayCodec::ResponseTag(std::string_view request_tag) const {
  return ToHex(response_key_.Sign(request_tag));
}

void RelayCodec::SignResponse(HeaderFields& fields,
                              std::string_view tag) const {
  RemoveHopByHopFields(fields);
  RemoveRelayFields(fields);
  fields.Add(kTagField, ResponseTag(tag));
}

HeaderFields RelayCodec::WriteRefusal(RelayRefusal why,
                                      std::string_view tag) const {
  HeaderFields fields;
  fields.Add(kRefusalField, ToString(why));
  fields.Add(kTagField, ResponseTag(tag));
  return fields;
}

bool RelayCodec::IsResponseTo(const ResponseHead& head,
                              std::string_view tag) const {
  return head.fields.Find(kTagField).value_or("") == ResponseTag(tag);
}

std::optional<RelayRefusal> RelayCodec::ReadResponse(ResponseHead& head) {
  const auto refusal = head.fields.Find(kRefusalField);
  if (refusal.has_value())
    return ReadRelayRefusal(*refusal).value_or(RelayRefusal::kNoServer);
  RemoveRelayFields(head.fields);
  return std::nullopt;
}

}  // namespace briarlead
