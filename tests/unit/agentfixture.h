#pragma once

#include <catch2/catch.hpp>

#include "agent/requestservice.h"

#include <mimosatally/LogService>
#include <mimosatally/Rpc>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::testing
{

/// \brief Collects an answer and checks the positions of its chunks.
class RecordingSink final : public schema::AnswerSink::Server
{
public:
    explicit RecordingSink(std::string &answer)
        : answer_(answer)
    {
    }

protected:
    kj::Promise<void> begin(BeginContext) override
    {
        return kj::READY_NOW;
    }

    kj::Promise<void> chunk(ChunkContext context) override
    {
        const auto data = context.getParams().getData();
        CHECK(context.getParams().getPosition() == static_cast<std::int64_t>(answer_.size()));
        answer_.append(reinterpret_cast<const char *>(data.begin()), data.size());
        return kj::READY_NOW;
    }

private:
    std::string &answer_;
};

/// \brief The agent's request path with an endpoint in the test process and an unreachable log.
struct AgentFixture {
    explicit AgentFixture(HttpServer::Handler handler, int maxConcurrentRequests = 2)
        : rpc(io)
        , server(io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0), HttpLimits(), std::move(handler))
        , log(io, parseAddress("127.0.0.1:1"))
        , chain(ProcessId("agent-1"), incarnation, Bytes(1 << 20))
        , decisions(chain, [] {})
        , queue(EndpointId("engine-1"), decisions, internal::QueueLimits())
        , endpoint(io, server.address())
        , outcomes(io, log, 1)
        , service(io, incarnation, queue, endpoint, outcomes)
    {
        chain.start("agent", ConfigurationVersion(-1), MilliClock::now());
        Configuration configuration;
        Contract contract;
        contract.customer = CustomerId("parkland");
        contract.shareMillionths = 1'000'000;
        contract.longestWait = Duration(60000);
        configuration.contracts = {contract};
        queue.configure(configuration, {maxConcurrentRequests, 1000, 100}, MilliClock::now());
    }

    std::shared_ptr<internal::AgentRequest> request(const std::string &id)
    {
        auto newRequest = std::make_shared<internal::AgentRequest>(io);
        newRequest->id = RequestId(id);
        newRequest->customer = CustomerId("parkland");
        newRequest->method = "POST";
        newRequest->path = "/run";
        newRequest->body = id;
        newRequest->model = ModelId("model-a");
        newRequest->targetIncarnation = incarnation;
        newRequest->expected = {Tokens(10), Tokens(10)};
        newRequest->receivedAt = MilliClock::now();
        newRequest->startDeadline = newRequest->receivedAt + Duration(60000);
        return newRequest;
    }

    std::shared_ptr<internal::AgentRequest> claimedRequest(const std::string &id, std::int64_t claim)
    {
        auto newRequest = request(id);
        newRequest->model = ModelId();
        newRequest->service = ServiceId("tickets");
        newRequest->mayRepeat = false;
        newRequest->idempotencyKey = "key-" + id;
        newRequest->claimPartition = 0;
        newRequest->claim = Offset(claim);
        return newRequest;
    }

    /// \brief Starts a submit; the outcome is set when it ends.
    std::shared_ptr<std::optional<internal::RequestOutcome>> submit(std::shared_ptr<internal::AgentRequest> newRequest)
    {
        const auto outcome = std::make_shared<std::optional<internal::RequestOutcome>>();
        auto writer = std::make_shared<internal::AnswerWriter>(io, kj::heap<RecordingSink>(answers[newRequest->id.value()]));
        boost::asio::co_spawn(
            io, service.serve(std::move(newRequest), std::move(writer)), [outcome](std::exception_ptr error, internal::RequestOutcome result) {
                if (error) {
                    std::rethrow_exception(error);
                }
                *outcome = std::move(result);
            });
        return outcome;
    }

    /// \brief Runs the event loop until \a done returns true; the deadline only ends a test that hangs.
    template<class Done>
    void runUntil(Done done)
    {
        const Time deadline = MilliClock::now() + Duration(20000);
        while (!done() && MilliClock::now() < deadline) {
            io.run_one_for(std::chrono::milliseconds(20));
        }
        REQUIRE(done());
    }

    internal::RequestOutcome runToEnd(std::shared_ptr<internal::AgentRequest> newRequest)
    {
        const auto outcome = submit(std::move(newRequest));
        runUntil([&] {
            return outcome->has_value();
        });
        return **outcome;
    }

    /// \brief Closes the agent's audit chain and returns the findings of its verification.
    AuditReport audit()
    {
        chain.close(ConfigurationVersion(-1), MilliClock::now());
        AuditVerifier verifier;
        for (std::int64_t offset = 0; const auto batch = chain.nextBatch(Bytes(1 << 16)); ++offset) {
            verifier.add(Offset(offset), *batch);
            chain.confirmBatch();
        }
        return verifier.verify();
    }

    const IncarnationId incarnation {"incarnation-1"};
    boost::asio::io_context io;
    RpcContext rpc;
    std::map<std::string, std::string> answers;
    HttpServer server;
    LogClient log;
    DecisionChain chain;
    internal::AgentDecisions decisions;
    internal::RequestQueue queue;
    internal::EndpointClient endpoint;
    internal::OutcomeAppender outcomes;
    internal::RequestService service;
};

} // namespace mimosatally::testing
