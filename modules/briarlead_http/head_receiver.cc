#include "briarlead_http/head_receiver.h"

#include <libsoup/soup.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace briarlead {

namespace {

// libsoup has no name for it (RFC 6585).
constexpr int kHeaderFieldsTooLarge = 431;

/// Returns the length of the head without its blank line, or npos while the
/// blank line is missing.
std::size_t FindHeadEnd(std::string_view bytes) {
  const std::size_t strict = bytes.find("\n\r\n");
  const std::size_t lenient = bytes.find("\n\n");
  const std::size_t end = std::min(strict, lenient);
  return end == std::string_view::npos ? end : end + 1;
}

struct HeadersUnref {
  void operator()(SoupMessageHeaders* headers) const {
    soup_message_headers_unref(headers);
  }
};

struct CharFree {
  void operator()(char* text) const { g_free(text); }
};

struct UriUnref {
  void operator()(GUri* uri) const { g_uri_unref(uri); }
};

/// Returns whether libsoup can make a URI of `path` and the Host field.
bool HasUri(SoupMessageHeaders* headers, const char* path) {
  const char* host = soup_message_headers_get_one(headers, "Host");
  const std::string_view name = host == nullptr ? "" : host;
  if (name.empty() || name.find('/') != std::string_view::npos || *path != '/')
    return false;
  const std::string text = "http://" + std::string(name) + path;
  const std::unique_ptr<GUri, UriUnref> uri(g_uri_parse(
      text.c_str(), static_cast<GUriFlags>(SOUP_HTTP_URI_FLAGS), nullptr));
  return uri != nullptr && g_uri_get_host(uri.get()) != nullptr;
}

/// Returns SOUP_STATUS_OK when libsoup can make a request of `head`.
int CheckHead(std::string_view head) {
  const std::unique_ptr<SoupMessageHeaders, HeadersUnref> headers(
      soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST));
  char* method = nullptr;
  char* path = nullptr;
  SoupHTTPVersion version = SOUP_HTTP_1_1;
  const guint status =
      soup_headers_parse_request(head.data(), static_cast<int>(head.size()),
                                 headers.get(), &method, &path, &version);
  const std::unique_ptr<char, CharFree> method_holder(method);
  const std::unique_ptr<char, CharFree> path_holder(path);
  if (status != SOUP_STATUS_OK)
    return static_cast<int>(status);
  if (!HasUri(headers.get(), path))
    return SOUP_STATUS_BAD_REQUEST;
  return soup_message_headers_get_encoding(headers.get()) ==
                 SOUP_ENCODING_UNRECOGNIZED
             ? SOUP_STATUS_NOT_IMPLEMENTED
             : SOUP_STATUS_OK;
}

}  // namespace

HeadReceiver::HeadReceiver(HeadReceiverOwner* owner,
                           SocketWatcher* watcher,
                           GSocketConnection* connection,
                           std::size_t max_bytes)
    : owner_(owner),
      watcher_(watcher),
      connection_(RefGObject(connection)),
      max_bytes_(max_bytes),
      fd_(g_socket_get_fd(socket())) {
  // Edge-triggered: the bytes stay in the socket until the head is whole.
  watcher_->Add(fd_, EPOLLIN | EPOLLRDHUP | EPOLLET, this);
}

HeadReceiver::~HeadReceiver() {
  watcher_->Remove(fd_);
}

void HeadReceiver::OnSocketEvents(std::uint32_t events) {
  std::string bytes(max_bytes_ + 1, '\0');
  const ssize_t n =
      recv(fd_, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    return owner_->OnHeadRefused(*this, 0);
  bytes.resize(static_cast<std::size_t>(n));
  const std::size_t end = FindHeadEnd(bytes);
  if (end == std::string::npos) {
    if (bytes.size() > max_bytes_)
      return owner_->OnHeadRefused(*this, kHeaderFieldsTooLarge);
    if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0)
      return owner_->OnHeadRefused(*this, 0);
    return;
  }
  const int status = CheckHead(std::string_view(bytes).substr(0, end));
  if (status != SOUP_STATUS_OK)
    return owner_->OnHeadRefused(*this, status);
  owner_->OnHeadReceived(*this);
}

}  // namespace briarlead
