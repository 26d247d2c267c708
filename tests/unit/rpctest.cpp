#include "coroutinerunner.h"

#include <catch2/catch.hpp>

#include "mimosatally.capnp.h"

#include <mimosatally/Core>
#include <mimosatally/Rpc>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace mimosatally;
using boost::asio::ip::tcp;
using mimosatally::test::runCoroutine;

namespace
{
constexpr std::size_t MAX_MESSAGE_BYTES = 1 << 20;

/// \brief Answers exchange and streams three chunks for each submit.
class ChunkingAgent final : public schema::Agent::Server
{
protected:
    kj::Promise<void> exchange(ExchangeContext context) override
    {
        context.getResults().initPeer().setProcess("agent-1");
        return kj::READY_NOW;
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        auto sink = context.getParams().getSink();
        kj::Promise<void> sent = kj::READY_NOW;
        for (int i = 0; i < 3; ++i) {
            auto request = sink.chunkRequest();
            request.setPosition(i * 2);
            request.setData(kj::StringPtr("ab").asBytes());
            sent = sent.then([request = kj::mv(request)]() mutable {
                return request.send();
            });
        }
        return sent.then([context]() mutable {
            context.getResults().initOutcome().setAnswerBytes(6);
        });
    }
};

class CollectingSink final : public schema::AnswerSink::Server
{
public:
    explicit CollectingSink(std::string &text)
        : text_(text)
    {
    }

protected:
    kj::Promise<void> chunk(ChunkContext context) override
    {
        const auto data = context.getParams().getData();
        text_.append(reinterpret_cast<const char *>(data.begin()), data.size());
        return kj::READY_NOW;
    }

private:
    std::string &text_;
};
} // namespace

TEST_CASE("An RPC over the Asio loop returns its results and its streamed chunks", "[rpc]")
{
    boost::asio::io_context io;
    RpcContext context(io);
    RpcServer server(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), kj::heap<ChunkingAgent>(), MAX_MESSAGE_BYTES);
    std::string text;
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        const auto connection = co_await RpcConnection::connect(context, server.address(), Duration(1000), MAX_MESSAGE_BYTES);
        auto agent = connection->bootstrap().castAs<schema::Agent>();
        const auto exchanged = co_await awaitPromise(io, kj::Promise<capnp::Response<schema::Agent::ExchangeResults>>(agent.exchangeRequest().send()));
        CHECK(std::string(exchanged.getPeer().getProcess().cStr()) == "agent-1");
        auto submit = agent.submitRequest();
        submit.setSink(kj::heap<CollectingSink>(text));
        const auto outcome = co_await awaitPromise(io, kj::Promise<capnp::Response<schema::Agent::SubmitResults>>(submit.send()));
        CHECK(outcome.getOutcome().getAnswerBytes() == 6);
    });
    CHECK(text == "ababab");
}

// Guards against a caller that waits forever when the agent is killed during a call.
TEST_CASE("A call on a closed connection fails as disconnected", "[rpc]")
{
    boost::asio::io_context io;
    RpcContext context(io);
    auto server =
        std::make_unique<RpcServer>(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), kj::heap<ChunkingAgent>(), MAX_MESSAGE_BYTES);
    runCoroutine(io, [&]() -> boost::asio::awaitable<void> {
        const auto connection = co_await RpcConnection::connect(context, server->address(), Duration(1000), MAX_MESSAGE_BYTES);
        auto agent = connection->bootstrap().castAs<schema::Agent>();
        co_await awaitPromise(io, kj::Promise<capnp::Response<schema::Agent::ExchangeResults>>(agent.exchangeRequest().send()));
        server.reset();
        CHECK_THROWS_AS(co_await awaitPromise(io, kj::Promise<capnp::Response<schema::Agent::ExchangeResults>>(agent.exchangeRequest().send())),
                        DisconnectedError);
        CHECK(connection->isDisconnected());
    });
}
