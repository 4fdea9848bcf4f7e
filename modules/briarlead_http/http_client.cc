#include "briarlead_http/http_client.h"

#include <libsoup/soup.h>

#include <utility>

#include "briarlead_http/soup_call.h"

namespace briarlead {

namespace {

/// Aborts its call when the user lets go of it.
class CallHandle : public HttpCall {
 public:
  explicit CallHandle(std::shared_ptr<SoupCall> call)
      : call_(std::move(call)) {}
  ~CallHandle() override { call_->Abort(); }

  void PauseReading() override { call_->PauseReading(); }
  void ResumeReading() override { call_->ResumeReading(); }
  [[nodiscard]] bool request_may_have_left() const override {
    return call_->request_may_have_left();
  }

 private:
  std::shared_ptr<SoupCall> call_;
};

GObjectPtr<SoupSession> MakeSession(const HttpClientOptions& options) {
  const auto idle_s =
      std::chrono::duration_cast<std::chrono::seconds>(options.idle_timeout);
  GObjectPtr<SoupSession> session(soup_session_new_with_options(
      "max-conns", options.max_connections, "max-conns-per-host",
      options.max_connections, "idle-timeout",
      static_cast<guint>(idle_s.count()), "timeout", 0U, nullptr));
  soup_session_set_proxy_resolver(session.get(), nullptr);
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_AUTH_MANAGER);
  soup_session_remove_feature_by_type(session.get(), SOUP_TYPE_CONTENT_DECODER);
  return session;
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(const HttpClientOptions& options)
      : context(std::make_shared<SoupClientContext>()) {
    context->session = MakeSession(options);
  }

  std::shared_ptr<SoupClientContext> context;
};

HttpClient::HttpClient(const HttpClientOptions& options)
    : impl_(std::make_shared<Impl>(options)) {}

HttpClient::~HttpClient() {
  const auto calls = impl_->context->calls;
  for (SoupCall* it : calls)
    it->Abort();
  soup_session_abort(impl_->context->session.get());
}

std::unique_ptr<HttpCall> HttpClient::Send(HttpRequest request,
                                           HttpCallHandler handler) {
  auto call = std::make_shared<SoupCall>(impl_->context, std::move(request),
                                         std::move(handler));
  call->Start();
  return std::make_unique<CallHandle>(std::move(call));
}

std::size_t HttpClient::active_calls() const {
  return impl_->context->calls.size();
}

}  // namespace briarlead
