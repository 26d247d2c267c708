#include "agent/dispatch.h"
#include "agentfixture.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

using namespace mimosatally;
using namespace mimosatally::internal;
using boost::asio::awaitable;
using mimosatally::testing::AgentFixture;

namespace
{
/// \brief Endpoint whose requests end only when the test allows it.
struct GatedEndpoint {
    HttpServer::Handler handler()
    {
        return [this](HttpExchange &exchange) {
            return handle(exchange);
        };
    }

    awaitable<void> handle(HttpExchange &exchange)
    {
        const std::string body = exchange.request().body();
        if (exchange.request().target() == "/cancel") {
            ++cancels;
            co_await exchange.respond(makeHttpResponse(200, "application/json", "{}"));
            co_return;
        }
        ++runs[body];
        while (closed) {
            boost::asio::steady_timer timer(*io, std::chrono::milliseconds(1));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        if (abortsAnswers) {
            co_await exchange.beginStream(makeHttpResponse(200, "text/plain", {}));
            co_await exchange.writeChunk("half");
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(makeHttpResponse(200, "text/plain", "answer to " + body));
    }

    boost::asio::io_context *io = nullptr;
    bool closed = false;
    bool abortsAnswers = false;
    int cancels = 0;
    std::map<std::string, int> runs;
};

struct GatedAgent : GatedEndpoint, AgentFixture {
    explicit GatedAgent(int maxConcurrentRequests = 2)
        : AgentFixture(handler(), maxConcurrentRequests)
    {
        GatedEndpoint::io = &(AgentFixture::io);
    }
};
} // namespace

TEST_CASE("A submit is queued, run and answered completely", "[agent]")
{
    GatedAgent agent;
    const RequestOutcome outcome = agent.runToEnd(agent.request("r1"));
    CHECK(outcome.kind == OutcomeKind::Answered);
    CHECK(outcome.status == 200);
    CHECK(agent.answers["r1"] == "answer to r1");
    CHECK(outcome.answerBytes == Bytes(12));
    CHECK(agent.queue.isEmpty());
}

// Guards against work that reaches the endpoint although it is reported to its caller as not run.
TEST_CASE("Refused submits are not run and return a reason", "[agent]")
{
    GatedAgent agent;
    auto other = agent.request("r1");
    other->targetIncarnation = IncarnationId("incarnation-0");
    CHECK(agent.runToEnd(other).reason == "other-incarnation");
    auto unknown = agent.request("r2");
    unknown->customer = CustomerId("nobody");
    CHECK(agent.runToEnd(unknown).reason == "unknown-customer");
    auto late = agent.request("r3");
    late->startDeadline = late->receivedAt - Duration(1);
    const RequestOutcome refused = agent.runToEnd(late);
    CHECK(refused.kind == OutcomeKind::NotRun);
    CHECK(agent.runToEnd(agent.claimedRequest("r4", -1)).reason == "claim-missing");
    agent.service.setRefusal("leaving");
    const RequestOutcome leaving = agent.runToEnd(agent.request("r5"));
    CHECK(leaving.kind == OutcomeKind::NotRun);
    CHECK(leaving.reason == "leaving");
    CHECK(leaving.retryAfter.has_value());
    CHECK(agent.runs.empty());
}

// Guards against a false "never started": it must stay true regardless of what arrives later.
TEST_CASE("The reported progress of a cancelled request matches what happens to it", "[agent]")
{
    GatedAgent agent(1);
    agent.closed = true;
    const Time now = MilliClock::now();
    const auto first = agent.submit(agent.request("running"));
    const auto second = agent.submit(agent.request("waiting"));
    agent.runUntil([&] {
        return agent.runs.contains("running");
    });
    CHECK(agent.service.cancel(RequestId("waiting"), agent.incarnation, now) == CancelWord::NeverStarted);
    CHECK(agent.service.cancel(RequestId("early"), agent.incarnation, now) == CancelWord::NeverStarted);
    CHECK(agent.service.cancel(RequestId("running"), agent.incarnation, now) == CancelWord::Started);
    CHECK_THROWS_AS(agent.service.cancel(RequestId("other"), IncarnationId("incarnation-0"), now), MalformedInputError);
    agent.closed = false;
    agent.runUntil([&] {
        return first->has_value() && second->has_value();
    });
    CHECK((*first)->kind == OutcomeKind::Unknown);
    CHECK((*second)->kind == OutcomeKind::NotRun);
    CHECK(agent.runToEnd(agent.request("early")).kind == OutcomeKind::NotRun);
    CHECK(agent.runToEnd(agent.request("waiting")).kind == OutcomeKind::NotRun);
    CHECK(agent.service.cancel(RequestId("running"), agent.incarnation, now) == CancelWord::Finished);
    CHECK(agent.runs.size() == 1);
    // The cancellation is sent to the endpoint on a connection of its own, and nothing above waits for its arrival.
    agent.runUntil([&] {
        return agent.cancels > 0;
    });
    CHECK(agent.cancels == 1);
}

// Guards against a second run of a call that bills a customer.
TEST_CASE("A claim runs once, and a second submit of it is not reported as not run", "[agent]")
{
    GatedAgent agent;
    agent.closed = true;
    const auto first = agent.submit(agent.claimedRequest("c1", 5));
    const RequestOutcome second = agent.runToEnd(agent.claimedRequest("c2", 5));
    CHECK(second.kind == OutcomeKind::Unknown);
    CHECK(second.reason == "claim-already-run");
    agent.closed = false;
    agent.runUntil([&] {
        return first->has_value();
    });
    CHECK((*first)->kind == OutcomeKind::Answered);
    CHECK(agent.answers["c1"] == "answer to c1");
    CHECK(agent.runs == std::map<std::string, int> {{"c1", 1}});
    CHECK(agent.outcomes.pending() == 1);
}

// Guards against the outcome "not run" after the request was sent to the endpoint.
TEST_CASE("After an aborted answer the outcome is unknown; with an unreachable endpoint the request has not run", "[agent]")
{
    GatedAgent agent;
    agent.abortsAnswers = true;
    CHECK(agent.runToEnd(agent.request("r1")).kind == OutcomeKind::Unknown);
    CHECK(agent.answers["r1"] == "half");
    CHECK(agent.runToEnd(agent.claimedRequest("c1", 1)).kind == OutcomeKind::Unknown);
    agent.server.shutDownGracefully();
    const RequestOutcome unreachable = agent.runToEnd(agent.claimedRequest("c2", 2));
    CHECK(unreachable.kind == OutcomeKind::NotRun);
    CHECK(unreachable.reason == "endpoint-unreachable");
    CHECK(agent.service.cancel(RequestId("c2"), agent.incarnation, MilliClock::now()) == CancelWord::NeverStarted);
    CHECK(agent.service.cancel(RequestId("c1"), agent.incarnation, MilliClock::now()) == CancelWord::Finished);
}

// Guards against claimed work that is lost with its entry, and against repeatable work for disconnected callers.
TEST_CASE("After the entry disconnects, waiting repeatable requests end and claimed ones run on", "[agent]")
{
    GatedAgent agent(1);
    agent.closed = true;
    const auto running = agent.claimedRequest("c1", 1);
    const auto first = agent.submit(running);
    const auto waiting = agent.request("r1");
    const auto second = agent.submit(waiting);
    agent.runUntil([&] {
        return agent.runs.contains("c1");
    });
    agent.service.handleDisconnect(running, MilliClock::now());
    agent.service.handleDisconnect(waiting, MilliClock::now());
    agent.closed = false;
    agent.runUntil([&] {
        return first->has_value() && second->has_value();
    });
    CHECK((*first)->kind == OutcomeKind::Answered);
    CHECK((*second)->kind == OutcomeKind::NotRun);
    CHECK(agent.runs == std::map<std::string, int> {{"c1", 1}});
}

// Guards against records from which the order of service cannot be recomputed.
TEST_CASE("The recorded decisions replay without findings", "[agent]")
{
    GatedAgent agent(2);
    agent.closed = true;
    std::vector<std::shared_ptr<std::optional<RequestOutcome>>> outcomes;
    for (int i = 0; i < 8; ++i) {
        outcomes.push_back(agent.submit(agent.request("r" + std::to_string(i))));
    }
    auto expiring = agent.request("expiring");
    expiring->startDeadline = expiring->receivedAt + Duration(1500);
    outcomes.push_back(agent.submit(expiring));
    agent.runUntil([&] {
        return agent.runs.size() == 2;
    });
    agent.service.cancel(RequestId("r7"), agent.incarnation, MilliClock::now());
    agent.queue.setRemoteService({{CustomerId("parkland"), 1000}}, MilliClock::now());
    agent.runUntil([&] {
        agent.queue.advance(MilliClock::now());
        return outcomes.back()->has_value();
    });
    agent.closed = false;
    agent.runUntil([&] {
        return agent.queue.isEmpty();
    });
    auto unknown = agent.request("unknown");
    unknown->customer = CustomerId("nobody");
    agent.runToEnd(unknown);
    const AuditReport report = agent.audit();
    for (const Finding &finding : report.findings) {
        UNSCOPED_INFO(toString(finding));
    }
    CHECK(report.findings.empty());
    CHECK(report.openEnds.empty());
    CHECK(report.dispatchesReplayed == 7);
}

namespace
{
/// \brief What becomes of an endpoint after its answer.
enum class AfterAnswer {
    Serves,
    /// \brief Its listener is closed before the answer.
    Ended,
    /// \brief Its listener accepts connections, and nothing is answered.
    TornDown,
};

/// \brief Endpoint that sends fixed bytes as its answer and then closes the connection; it answers later requests only if it still serves.
class UnframedEndpoint
{
public:
    UnframedEndpoint(boost::asio::io_context &io, std::string body, AfterAnswer afterAnswer)
        : acceptor_(io, parseAddress("127.0.0.1:0"))
        , answer_("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + std::move(body))
        , afterAnswer_(afterAnswer)
    {
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    awaitable<void> accept()
    {
        co_await serveOne(answer_);
        if (afterAnswer_ == AfterAnswer::Serves) {
            co_await serveOne("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n");
        }
    }

    awaitable<void> serveOne(std::string answer)
    {
        boost::asio::ip::tcp::socket socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        HttpRequest request;
        co_await boost::beast::http::async_read(socket, buffer, request, boost::asio::use_awaitable);
        if (afterAnswer_ == AfterAnswer::Ended) {
            acceptor_.close();
        }
        co_await boost::asio::async_write(socket, boost::asio::buffer(answer), boost::asio::use_awaitable);
        socket.close();
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string answer_;
    AfterAnswer afterAnswer_;
};
} // namespace

// Guards against an outcome "answered" for an answer that broke off: with neither a length nor chunks, the end of the connection was taken for the
// end of the answer, also for one that is recorded and returned to later requests with the same key.
TEST_CASE("An unframed answer counts as answered only if it is shown to be whole", "[agent]")
{
    GatedAgent agent;
    const auto outcomeOf = [&agent](const std::string &id, const std::string &body, AfterAnswer afterAnswer) {
        UnframedEndpoint endpoint(agent.AgentFixture::io, body, afterAnswer);
        EndpointClient client(agent.AgentFixture::io, endpoint.address());
        auto writer = std::make_shared<AnswerWriter>(agent.AgentFixture::io, kj::heap<mimosatally::testing::RecordingSink>(agent.answers[id]));
        std::optional<RequestOutcome> outcome;
        Dispatch dispatch(client, agent.request(id), std::move(writer));
        boost::asio::co_spawn(agent.AgentFixture::io, dispatch.run(), [&outcome](std::exception_ptr error, RequestOutcome result) {
            REQUIRE_FALSE(error);
            outcome = std::move(result);
        });
        agent.runUntil([&outcome] {
            return outcome.has_value();
        });
        return outcome->kind;
    };
    CHECK(outcomeOf("within", "data: a\n\ndata: b", AfterAnswer::Serves) == OutcomeKind::Unknown);
    CHECK(outcomeOf("ended", "data: a\n\n", AfterAnswer::Ended) == OutcomeKind::Unknown);
    CHECK(outcomeOf("torn-down", "data: a\n\n", AfterAnswer::TornDown) == OutcomeKind::Unknown);
    CHECK(outcomeOf("alive", "data: a\n\n", AfterAnswer::Serves) == OutcomeKind::Answered);
    CHECK(outcomeOf("mark", "data: a\n\ndata: [DONE]\n\n", AfterAnswer::Ended) == OutcomeKind::Answered);
    // An event without end would otherwise be kept until the memory is exhausted.
    constexpr std::size_t longEvent = std::size_t(8) * 1024 * 1024;
    CHECK(outcomeOf("long", "data: " + std::string(longEvent, 'x') + "\n\ndata: [DONE]\n\n", AfterAnswer::Serves) == OutcomeKind::Unknown);
}
