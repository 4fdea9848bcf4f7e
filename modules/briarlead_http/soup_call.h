#ifndef BRIARLEAD_HTTP_SOUP_CALL_H_
#define BRIARLEAD_HTTP_SOUP_CALL_H_

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_set>

#include "briarlead_http/deadline_queue.h"
#include "briarlead_http/gobject_ptr.h"
#include "briarlead_http/http_client.h"
#include "briarlead_http/socket_watcher.h"

namespace briarlead {

class SoupCall;

/// What the calls of one HttpClient share.
struct SoupClientContext {
  static constexpr std::size_t kReadBufferBytes = 64 << 10;

  GObjectPtr<SoupSession> session;
  SocketWatcher watcher;
  DeadlineQueue deadlines;
  std::unordered_set<SoupCall*> calls;  ///< Those in progress.
  std::array<char, kReadBufferBytes> read_buffer;
};

/// One call over one SoupMessage.
class SoupCall : public SocketListener,
                 public DeadlineListener,
                 public std::enable_shared_from_this<SoupCall> {
 public:
  SoupCall(std::shared_ptr<SoupClientContext> context,
           HttpRequest request,
           HttpCallHandler handler);
  ~SoupCall() override;

  /// Begins the call.
  void Start();

  /// Ends the call without a report and closes its connection.
  void Abort();

  void PauseReading();
  void ResumeReading();

  [[nodiscard]] bool request_may_have_left() const { return may_have_left_; }

  // SocketListener:
  void OnSocketEvents(std::uint32_t events) override;

  // DeadlineListener:
  void OnDeadline() override;

 private:
  static void OnSent(GObject* session, GAsyncResult* result, gpointer data);

  bool MakeMessage();
  void OnStarting();
  void OnRestarted();
  void OnHead(GInputStream* stream);
  void Read();
  void ReadLater();
  /// Returns the error of a chunked body that ended without its last chunk.
  std::optional<Error> CheckWhole();
  void Watch();
  void Unwatch();
  void DropConnection();
  void Release();
  void End(std::optional<Error> error);
  void EndLater(Error error);
  Error Describe(const GError& error) const;

  std::shared_ptr<SoupClientContext> context_;
  HttpRequest request_;
  HttpCallHandler handler_;
  GObjectPtr<SoupMessage> message_;
  GObjectPtr<GCancellable> cancellable_;
  GObjectPtr<GInputStream> stream_;
  GObjectPtr<GInputStream> body_stream_;
  GObjectPtr<GSocket> socket_;
  DeadlineQueue::Ticket deadline_;
  std::optional<Error> failure_;
  int fd_ = -1;
  bool watching_ = false;
  bool reading_ = false;
  bool paused_ = false;
  bool may_have_left_ = false;
  bool ended_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SOUP_CALL_H_
