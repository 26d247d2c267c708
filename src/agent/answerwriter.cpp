#include "answerwriter.h"

namespace mimosatally::internal
{

using boost::asio::awaitable;

AnswerWriter::AnswerWriter(boost::asio::io_context &io, schema::AnswerSink::Client sink)
    : io_(io)
    , sink_(kj::mv(sink))
{
}

awaitable<void> AnswerWriter::begin(unsigned status, std::string contentType)
{
    auto call = sink_.beginRequest();
    call.setStatus(static_cast<std::uint16_t>(status));
    call.setContentType(contentType.c_str());
    // The first chunk follows without waiting, which saves a round trip; RPC messages keep their order.
    pendingBegin_ = call.send().ignoreResult().eagerlyEvaluate(nullptr);
    co_return;
}

awaitable<void> AnswerWriter::write(std::string_view data)
{
    auto call = sink_.chunkRequest();
    call.setPosition(position_);
    call.setData(kj::arrayPtr(reinterpret_cast<const kj::byte *>(data.data()), data.size()));
    position_ += static_cast<std::int64_t>(data.size());
    kj::Promise<void> sent = call.send();
    if (pendingBegin_) {
        kj::Promise<void> beginning = kj::mv(*pendingBegin_);
        pendingBegin_.reset();
        co_await awaitPromise(io_, kj::mv(beginning));
    }
    co_await awaitPromise(io_, kj::mv(sent));
}

} // namespace mimosatally::internal
