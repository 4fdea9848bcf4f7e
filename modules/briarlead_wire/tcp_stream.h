#ifndef BRIARLEAD_WIRE_TCP_STREAM_H_
#define BRIARLEAD_WIRE_TCP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/socket_watcher.h"

namespace briarlead {

/// How a stream came to its end.
enum class StreamEnd {
  kNotConnected,  ///< The connection timed out or failed.
  kNotStarted,    ///< This host could not begin to connect.
  kRefused,       ///< Nothing listens at the address.
  kOrderly,       ///< The peer closed its side; what was written still leaves.
  kBroken,        ///< The connection was reset or failed.
};

/// Time that sent data may stay without acknowledgement, and a peer may take
/// nothing, before the kernel drops a connection between hosts.
inline constexpr Duration kUnacknowledgedTimeout =
    std::chrono::milliseconds(2000);

/// A TCP connection on the GLib loop. Handlers may destroy the stream.
class TcpStream : public SocketEventHandler {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_bytes;
    /// The stream ended by itself. Nothing follows it, except that kOrderly may
    /// be followed by kBroken, when what was written can't leave, or by
    /// on_drained.
    std::function<void(StreamEnd end)> on_end;
    /// The kernel has taken the last of what it had not taken at once.
    std::function<void()> on_drained;
  };

  /// Takes over a connection that was accepted.
  static std::unique_ptr<TcpStream> Adopt(
      ObjectPtr<GSocket> socket,
      Handlers handlers,
      Duration unacknowledged_timeout = kUnacknowledgedTimeout);

  /// Connects to `peer`; ends with kNotConnected after `timeout`. A failure is
  /// reported from the loop, never from within this call.
  static std::unique_ptr<TcpStream> Connect(const Endpoint& peer,
                                            Duration timeout,
                                            Handlers handlers);

  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Sends `bytes` after what was written before.
  void Write(std::string_view bytes);

  /// As above, without a copy of `bytes`.
  void Write(std::shared_ptr<const std::string> bytes);

  /// Sends what was written, then closes; on_end is not called any more.
  void CloseWhenDrained();

  /// Drops what the kernel hasn't taken and closes the sending side; what
  /// comes is still told.
  void CloseSending();

  /// Stops or resumes reading.
  void SetReading(bool reading);

  /// From now on each close, also by the end of the process, resets the
  /// connection, so that the peer can't take it for an orderly end. Only
  /// CloseWhenDrained() ends it in order, once all is sent.
  void ResetOnClose();

  /// Returns the bytes written that the kernel hasn't taken yet.
  [[nodiscard]] std::size_t waiting_bytes() const {
    return outgoing_.size() + (shared_ ? shared_->size() : 0) + after_.size() -
           sent_;
  }
  /// Returns the memory that they take here, without what is shared.
  [[nodiscard]] std::size_t held_bytes() const {
    return outgoing_.capacity() + after_.capacity();
  }
  /// Returns the memory of what waits and is shared.
  [[nodiscard]] std::size_t shared_bytes() const {
    return shared_ ? shared_->capacity() : 0;
  }
  /// Returns how many bytes the kernel has taken so far.
  [[nodiscard]] std::uint64_t taken_bytes() const { return taken_bytes_; }

  /// Returns true while nothing has come that on_bytes or on_end will tell.
  [[nodiscard]] bool IsQuiet() const;

  /// Returns whether the peer hasn't acknowledged all that was written.
  [[nodiscard]] bool HasUnacknowledged() const;
  /// Returns whether the connection has failed, also behind an orderly end.
  [[nodiscard]] bool HasFailed() const;

  // SocketEventHandler:
  void OnSocketEvents(std::uint32_t events) override;

 private:
  explicit TcpStream(Handlers handlers);

  void Dial(const Endpoint& peer, Duration timeout);
  /// Watches for what is to be done next: to connect, to read, to write.
  void Watch();
  void Unwatch();
  void OnConnected();
  /// Reads once. Returns whether more may be there.
  bool ReadOnce();
  void OnPeerClosed();
  void OnWritable();
  /// Ends the stream after what can still be read.
  void OnWriteFailed();
  /// Writes what the kernel takes; a failure is reported from the loop.
  void Flush();
  /// What the kernel does with bytes that are handed to it.
  enum class Sent { kAll, kFull, kFailed };
  /// Sends from the start of `bytes`, and removes what the kernel has taken.
  Sent Send(std::string_view& bytes);
  void OnSendFailed();
  /// Returns what is to be sent next of what waits.
  [[nodiscard]] std::string_view NextWaiting() const;
  /// Notes that `n` bytes of what waits were taken.
  void RemoveSent(std::size_t n);
  void End(StreamEnd end);
  void SetResetOnClose(bool resets);
  /// Ends the sending side in order.
  void ShutDownSending();

  Handlers handlers_;
  ObjectPtr<GSocket> socket_;
  std::uint32_t watched_events_ = 0;
  SourceHandle timer_;
  /// What waits, in this order.
  std::string outgoing_;
  std::shared_ptr<const std::string> shared_;
  std::string after_;
  std::size_t sent_ = 0;  ///< Of the first of them that isn't empty.
  std::uint64_t taken_bytes_ = 0;
  bool connecting_ = false;
  bool connected_ = false;
  bool wants_to_write_ = false;
  bool write_failed_ = false;
  bool peer_closed_ = false;
  bool ended_ = false;
  bool reading_ = true;
  bool closing_ = false;
  bool resets_on_close_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_TCP_STREAM_H_
