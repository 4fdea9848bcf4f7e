#include "briarlead_net/peer_transport.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// The queues are added up once in this many bytes.
constexpr std::size_t kBytesPerCheck = 1U << 20;

}  // namespace

Result<std::unique_ptr<PeerTransport>> PeerTransport::Open(PeerName self,
                                                           const FrameKey& key,
                                                           Handlers handlers) {
  std::unique_ptr<PeerTransport> transport(
      new PeerTransport(std::move(self), key, std::move(handlers)));
  PeerTransport* raw = transport.get();
  BOOST_OUTCOME_TRY(
      raw->listener_,
      PeerListener::Listen(raw->self_.peers, key, [raw](const Frame& frame) {
        raw->handlers_.on_frame(frame);
      }));
  BOOST_OUTCOME_TRY(
      raw->datagram_socket_,
      DatagramSocket::Bind(raw->self_.peers, [raw](std::string_view bytes) {
        raw->OnDatagram(bytes);
      }));
  return transport;
}

PeerTransport::PeerTransport(PeerName self,
                             const FrameKey& key,
                             Handlers handlers)
    : self_(std::move(self)), key_(key), handlers_(std::move(handlers)) {}

void PeerTransport::Send(const Endpoint& peer,
                         Channel channel,
                         std::string payload) {
  std::unique_ptr<PeerLink>& link = links_[peer];
  if (!link) {
    link = std::make_unique<PeerLink>(
        self_, peer, key_,
        [this](const Endpoint& failed_peer, LinkFailure failure) {
          handlers_.on_link_failure(failed_peer, failure);
        });
  }
  CountSent(channel, payload.size());
  unchecked_bytes_ += payload.size();
  link->Send(channel, std::move(payload));
  if (unchecked_bytes_ >= kBytesPerCheck)
    BoundQueues();
}

std::size_t PeerTransport::QueuedBytes() const {
  std::size_t bytes = 0;
  for (const auto& [peer, link] : links_)
    bytes += link->queued_bytes();
  return bytes;
}

void PeerTransport::BoundQueues() {
  unchecked_bytes_ = 0;
  while (QueuedBytes() + kBytesPerCheck > kMaxQueuedBytes) {
    const auto longest = std::max_element(
        links_.begin(), links_.end(), [](const auto& left, const auto& right) {
          return left.second->queued_bytes() < right.second->queued_bytes();
        });
    longest->second->DropQueue();
  }
}

const SentTraffic& PeerTransport::sent(Channel channel) const {
  return sent_[static_cast<std::size_t>(channel)];
}

void PeerTransport::CountSent(Channel channel, std::size_t payload_bytes) {
  SentTraffic& traffic = sent_[static_cast<std::size_t>(channel)];
  ++traffic.messages;
  traffic.payload_bytes += payload_bytes;
}

void PeerTransport::SendDatagram(const Endpoint& peer,
                                 Channel channel,
                                 std::string payload) {
  CountSent(channel, payload.size());
  const Frame frame{self_, ++last_datagram_sequence_, channel,
                    std::move(payload)};
  datagram_socket_->Send(peer, EncodeFrame(frame, key_));
}

void PeerTransport::OnDatagram(std::string_view bytes) {
  const Result<Frame> frame = DecodeFrame(bytes, key_);
  if (frame.has_error())
    return;
  const PeerName& sender = frame.value().sender;
  if (!replay_window_.Admit(sender.host, sender.incarnation,
                            frame.value().sequence)) {
    return;
  }
  handlers_.on_frame(frame.value());
}

}  // namespace briarlead
