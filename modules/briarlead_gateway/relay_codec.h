#ifndef BRIARLEAD_GATEWAY_RELAY_CODEC_H_
#define BRIARLEAD_GATEWAY_RELAY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarlead_accounts/key_digest.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_forward/relay_hosts.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_wire/http_head.h"

namespace briarlead {

/// The client account of a relayed request and the digest of its key.
struct RelayedAccount {
  CustomerId id;
  KeyDigest key;
};

/// What one entry host asks of another: to pass a request on to `server`.
struct RelayOrder {
  ServerIncarnation server;
  /// As in SendToServer.
  bool needs_fresh_connection = false;
  /// Unset if the request needs no key.
  std::optional<RelayedAccount> account;
};

/// Signs and reads the HTTP messages that entry hosts pass on for each other: a
/// request as the server gets it, with fields that name the server, and the
/// server's response, or a refusal, with a field that proves from whom it
/// comes. Whoever doesn't hold the key of the hosts can neither have a request
/// passed on nor state that one wasn't.
class RelayCodec {
 public:
  explicit RelayCodec(const FrameKey& key);

  /// Adds the fields of `order` and a tag of the whole request to `head`;
  /// returns the tag, by which the response is known.
  std::string SignRequest(RequestHead& head,
                          std::string_view body,
                          const RelayOrder& order) const;
  /// Removes those fields from `head`; nullopt if the tag isn't right. Sets
  /// `tag` to the one that the response must prove to know.
  std::optional<RelayOrder> ReadRequest(RequestHead& head,
                                        std::string_view body,
                                        std::string& tag) const;

  /// Makes `fields` those of a server's response to the request of `tag`.
  void SignResponse(HeaderFields& fields, std::string_view tag) const;
  /// Returns the fields of a refusal of the request of `tag`.
  [[nodiscard]] HeaderFields WriteRefusal(RelayRefusal why,
                                          std::string_view tag) const;
  /// Returns whether `head` is of the response to the request of `tag`.
  [[nodiscard]] bool IsResponseTo(const ResponseHead& head,
                                  std::string_view tag) const;
  /// Returns why the request wasn't passed on; nullopt if `head` is of the
  /// server's response, which it then is without the fields of hosts. Only for
  /// a head that IsResponseTo() accepts.
  static std::optional<RelayRefusal> ReadResponse(ResponseHead& head);

 private:
  [[nodiscard]] std::string ResponseTag(std::string_view request_tag) const;

  FrameKey request_key_;
  FrameKey response_key_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_RELAY_CODEC_H_
