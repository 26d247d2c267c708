#include "answersink.h"

namespace mimosatally::internal
{

namespace
{
boost::asio::awaitable<void> relayChunk(std::shared_ptr<AnswerRelay> relay, int attempt, std::int64_t position, std::string data)
{
    co_await relay->chunk(attempt, position, std::move(data));
}
} // namespace

AnswerSink::AnswerSink(boost::asio::io_context &io, std::shared_ptr<AnswerRelay> relay, int attempt)
    : io_(io)
    , relay_(std::move(relay))
    , attempt_(attempt)
{
}

kj::Promise<void> AnswerSink::begin(BeginContext context)
{
    const auto params = context.getParams();
    relay_->begin(attempt_, params.getStatus(), params.getContentType().cStr());
    return kj::READY_NOW;
}

kj::Promise<void> AnswerSink::chunk(ChunkContext context)
{
    const auto params = context.getParams();
    const auto data = params.getData();
    std::string bytes(reinterpret_cast<const char *>(data.begin()), data.size());
    return toPromise(io_, relayChunk(relay_, attempt_, params.getPosition(), std::move(bytes)));
}

} // namespace mimosatally::internal
