#ifndef BRIARLEAD_HTTP_SOUP_EXCHANGE_H_
#define BRIARLEAD_HTTP_SOUP_EXCHANGE_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_http/gobject_ptr.h"
#include "briarlead_http/http_exchange.h"
#include "briarlead_http/socket_watcher.h"

namespace briarlead {

class SoupExchange;

/// What an exchange needs of the server that it belongs to.
class SoupExchangeOwner {
 public:
  virtual ~SoupExchangeOwner() = default;

  virtual SocketWatcher& watcher() = 0;

  /// Calls the exchange's Flush() at the next turn of the loop.
  virtual void FlushLater(SoupExchange& exchange) = 0;

  /// Is told that libsoup is done with the exchange's message.
  virtual void OnExchangeFinished(SoupExchange& exchange) = 0;
};

/// HttpExchange over one SoupServerMessage.
class SoupExchange : public HttpExchange,
                     public SocketListener,
                     public std::enable_shared_from_this<SoupExchange> {
 public:
  SoupExchange(SoupExchangeOwner* owner, SoupServerMessage* message);
  ~SoupExchange() override;

  /// Pauses the message, watches its socket and returns the pointer to give to
  /// the handler. When its last copy goes unanswered, the caller gets a 500.
  std::shared_ptr<HttpExchange> BeginHandling();

  /// Cuts the exchange off from its server, which is closing.
  void Detach();

  [[nodiscard]] SoupServerMessage* message() const { return message_.get(); }

  /// Returns since when a write has been waiting for the caller, in
  /// microseconds of the monotonic clock; nullopt when none is.
  [[nodiscard]] std::optional<std::int64_t> writing_since() const;

  /// Hands libsoup what Write() has taken.
  void Flush();

  /// Treats the caller as gone.
  void Drop();

  // HttpExchange:
  [[nodiscard]] std::string_view method() const override;
  [[nodiscard]] std::string_view path() const override;
  [[nodiscard]] std::string_view query() const override;
  [[nodiscard]] std::optional<std::string_view> Header(
      std::string_view name) const override;
  [[nodiscard]] HttpHeaders headers() const override;
  [[nodiscard]] std::string_view body() const override;
  void Respond(HttpResponse response) override;
  void StartStream(int status,
                   HttpHeaders headers,
                   std::string_view content_type) override;
  void Write(std::string_view data) override;
  void FinishStream() override;
  void Abort() override;
  [[nodiscard]] std::size_t pending_bytes() const override;
  void SetGoneHandler(std::function<void()> handler) override;
  void SetDrainedHandler(std::function<void()> handler) override;
  [[nodiscard]] bool gone() const override { return gone_; }
  [[nodiscard]] bool responded() const override {
    return state_ != State::kWaiting;
  }

  // SocketListener:
  void OnSocketEvents(std::uint32_t events) override;

 private:
  enum class State {
    kWaiting,    ///< No response yet.
    kStreaming,  ///< A streamed response has begun.
    kEnding,     ///< All of the response is with libsoup.
    kOver,       ///< Complete, gone or aborted.
  };

  void ConnectSignals();
  void DisconnectSignals();
  void OnWroteChunk();
  void OnWroteBody();
  void OnFinished();

  void SetHead(int status,
               const HttpHeaders& headers,
               std::string_view content_type);
  void AppendChunk(std::string_view data);
  void BeginWriting();
  void Unwatch();
  void ReportGone();
  void CloseConnection();
  void OnHandlerReleased();

  SoupExchangeOwner* owner_;
  GObjectPtr<SoupServerMessage> message_;
  GBytesPtr body_;
  std::function<void()> gone_handler_;
  std::function<void()> drained_handler_;
  State state_ = State::kWaiting;
  bool gone_ = false;
  bool finished_ = false;
  bool write_in_progress_ = false;
  bool flush_pending_ = false;
  std::int64_t writing_since_ = 0;
  std::size_t bytes_in_progress_ = 0;
  std::string buffer_;
  int watched_fd_ = -1;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SOUP_EXCHANGE_H_
