#ifndef BRIARLEAD_WIRE_CALL_FOR_TESTS_H_
#define BRIARLEAD_WIRE_CALL_FOR_TESTS_H_

#include <functional>
#include <string>
#include <utility>

#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/upstream_pool.h"
#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

/// What one call of a test got; status 0 for no response.
struct TestAnswer {
  int status = 0;
  std::string body;
  HeaderFields fields;
  bool is_whole = false;  ///< It came to its end.
};

/// Makes one call over a connection of its own and waits for its end, calling
/// `meanwhile` again and again. Redirections aren't followed.
inline TestAnswer CallOnce(const Endpoint& endpoint,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = "",
                           const HeaderFields& fields = {},
                           const std::function<void()>& meanwhile = {}) {
  TestAnswer answer;
  bool over = false;
  UpstreamHandlers handlers;
  handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
  handlers.on_head = [&](const ResponseHead& it) {
    answer.status = it.status;
    answer.fields = it.fields;
  };
  handlers.on_body = [&](std::string_view it) { answer.body += it; };
  handlers.on_complete = [&] {
    answer.is_whole = true;
    over = true;
  };
  handlers.on_failure = [&](UpstreamFailure) { over = true; };
  RequestHead head;
  head.method = method;
  head.target = path;
  head.fields.Add("Host", "h");
  for (const HeaderField& it : fields.items())
    head.fields.Add(it.name, it.value);
  UpstreamPool pool;
  const auto call =
      pool.Start(endpoint, WriteRequestHead(head, body.size()) + body, {},
                 std::move(handlers), LoopNow());
  CHECK_TRUE(RunUntil([&] {
    if (meanwhile)
      meanwhile();
    return over;
  }));
  return answer;
}

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_CALL_FOR_TESTS_H_
