#include "briarlead_wire/tcp_stream.h"

#include <optional>
#include <string>

#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

namespace {

/// More than the kernel takes while the peer reads nothing.
constexpr std::size_t kUnsentBytes = std::size_t{32} << 20;

}  // namespace

// How a stream tells its end, over real sockets.
TEST_GROUP(TcpStream) {
  RawPeer peer_;
  std::unique_ptr<TcpStream> stream_;
  std::string bytes_;
  std::optional<StreamEnd> first_end_;
  std::optional<StreamEnd> last_end_;

  void Connect() {
    TcpStream::Handlers handlers;
    handlers.on_bytes = [this](std::string_view it) { bytes_ += it; };
    handlers.on_end = [this](StreamEnd it) {
      if (!first_end_.has_value())
        first_end_ = it;
      last_end_ = it;
    };
    stream_ = TcpStream::Connect(peer_.endpoint(), std::chrono::seconds(5),
                                 std::move(handlers));
    CHECK(RunUntil([this] { return peer_.Accept(); }));
  }

  /// Writes more than the kernel takes.
  void FillConnection() {
    stream_->Write(std::string(kUnsentBytes, 'x'));
    CHECK(RunUntil([this] { return stream_->taken_bytes() > 0; }));
    CHECK_TRUE(stream_->waiting_bytes() > 0);
  }

  void CheckBrokenAfter(const std::string& bytes) {
    CHECK(RunUntil([this] { return first_end_.has_value(); }));
    CHECK_TRUE(first_end_ == StreamEnd::kBroken);
    CHECK_EQUAL(bytes.size(), bytes_.size());
    CHECK_TRUE(bytes == bytes_);
  }
};

// Guards against answers without a length that a reset cuts and that look
// whole: the failed send took the socket's error, and the read found an end.
TEST(TcpStream, ResetWithUnsentBytesIsNoOrderlyEnd) {
  Connect();
  FillConnection();
  peer_.Send("half");
  CHECK(RunUntil([this] { return bytes_ == "half"; }));
  peer_.Reset();
  CheckBrokenAfter("half");
}

TEST(TcpStream, BytesBeforeAResetAreReadThoughTheRestCannotBeSent) {
  Connect();
  FillConnection();
  const std::string whole(100000, 'w');
  peer_.Send(whole);
  peer_.Reset();
  CheckBrokenAfter(whole);
}

TEST(TcpStream, ResetThatAWriteMeetsFirstIsNoOrderlyEnd) {
  Connect();
  CHECK(RunUntil([this] { return stream_->IsQuiet(); }));
  peer_.Send("half");
  peer_.Reset();
  stream_->Write("more");
  CheckBrokenAfter("half");
}

TEST(TcpStream, ResetOfAQuietStreamIsNoOrderlyEnd) {
  Connect();
  CHECK(RunUntil([this] { return stream_->IsQuiet(); }));
  peer_.Send("half");
  peer_.Reset();
  CheckBrokenAfter("half");
}

TEST(TcpStream, ResetAfterOwnEndOfSendingIsNoOrderlyEnd) {
  Connect();
  FillConnection();
  stream_->CloseSending();
  peer_.Send("half");
  peer_.Reset();
  CheckBrokenAfter("half");
}

TEST(TcpStream, ResetWhileReadingIsPausedIsNoOrderlyEnd) {
  Connect();
  FillConnection();
  stream_->SetReading(false);
  peer_.Send("half");
  peer_.Reset();
  CHECK(RunUntil([this] { return first_end_.has_value(); }));
  CHECK_TRUE(first_end_ == StreamEnd::kBroken);
}

TEST(TcpStream, OrderlyEndIsToldThoughTheRestCannotBeSent) {
  Connect();
  FillConnection();
  const std::string whole(100000, 'w');
  peer_.Send(whole);
  peer_.CloseSending();
  CHECK(RunUntil([this] { return first_end_.has_value(); }));
  CHECK_TRUE(first_end_ == StreamEnd::kOrderly);
  CHECK_TRUE(whole == bytes_);
  peer_.Reset();
  CHECK(RunUntil([this] { return last_end_ == StreamEnd::kBroken; }));
}

TEST(TcpStream, EndThatAResetFollowsIsOrderly) {
  Connect();
  FillConnection();
  const std::string whole(100000, 'w');
  peer_.Send(whole);
  peer_.CloseSending();
  peer_.Reset();
  CHECK(RunUntil([this] { return first_end_.has_value(); }));
  CHECK_TRUE(first_end_ == StreamEnd::kOrderly);
  CHECK_TRUE(whole == bytes_);
}

}  // namespace briarlead
