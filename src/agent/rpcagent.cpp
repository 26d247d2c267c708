#include "rpcagent.h"

#include "agentnode.h"

#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

namespace
{
constexpr std::size_t MAX_RECORDS = 4096;

schema::CancelWord toMessage(CancelWord progress)
{
    switch (progress) {
    case CancelWord::NeverStarted:
        return schema::CancelWord::NEVER_STARTED;
    case CancelWord::Started:
        return schema::CancelWord::STARTED;
    case CancelWord::Finished:
        return schema::CancelWord::FINISHED;
    }
    return schema::CancelWord::STARTED;
}

std::vector<ConfigurationRecord> readRecords(capnp::List<schema::StreamRecord>::Reader list)
{
    if (list.size() > MAX_RECORDS) {
        throw MalformedInputError("too many configuration records");
    }
    std::vector<ConfigurationRecord> records;
    records.reserve(list.size());
    for (const auto record : list) {
        records.push_back({Offset(record.getOffset()), std::string(record.getPayload().cStr(), record.getPayload().size())});
    }
    return records;
}

void writeRecords(const std::vector<ConfigurationRecord> &records, capnp::List<schema::StreamRecord>::Builder list)
{
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setOffset(records[i].offset.count());
        list[i].setPayload(records[i].payload);
    }
}

std::vector<CustomerService> readService(capnp::List<schema::CustomerServed>::Reader list)
{
    std::vector<CustomerService> served;
    served.reserve(list.size());
    for (const auto item : list) {
        served.push_back({CustomerId(item.getCustomer().cStr()), item.getWeightedTokens()});
    }
    return served;
}

/// \brief Runs the body of a call; an invariant violation ends the process, and other errors are returned to the caller.
template<class Body>
kj::Promise<void> guarded(AgentNode &node, Body body)
{
    try {
        return body();
    } catch (const InvariantViolation &violation) {
        node.escalate(violation);
        return internal::toKjException(std::current_exception());
    } catch (const Error &error) {
        logEvent(LogEvent::MessageRejected, {{"error", error.what()}});
        return internal::toKjException(std::current_exception());
    }
}
} // namespace

RpcAgent::RpcAgent(AgentNode &node)
    : node_(node)
{
}

kj::Promise<void> RpcAgent::exchange(ExchangeContext context)
{
    return guarded(node_, [&]() -> kj::Promise<void> {
        const auto params = context.getParams();
        const ConfigurationVersion peerVersion(params.getPeer().getConfigurationVersion());
        node_.applyPeerState(readRecords(params.getRecords()), peerVersion, readService(params.getServed()));
        const auto records = node_.recordsFor(peerVersion);
        auto results = context.getResults();
        node_.describe(results.initPeer());
        writeRecords(records, results.initRecords(static_cast<unsigned>(records.size())));
        node_.describe(results.initLoad());
        return kj::READY_NOW;
    });
}

kj::Promise<void> RpcAgent::submit(SubmitContext context)
{
    return guarded(node_, [&]() -> kj::Promise<void> {
        context.allowCancellation();
        const Time now = MilliClock::now();
        const auto request = readRequest(node_.io(), context.getParams().getRequest(), now);
        auto writer = std::make_shared<AnswerWriter>(node_.io(), context.getParams().getSink());
        context.releaseParams();
        const auto outcome = std::make_shared<RequestOutcome>();
        AgentNode *node = &node_;
        // The RPC library drops the promise if the entry disconnects; this is how the agent detects it.
        auto onDropped = kj::defer([node, request] {
            node->handleDisconnect(request);
        });
        return toPromise(node_.io(), node_.serve(request, std::move(writer), outcome))
            .then([node, outcome, context]() mutable {
                writeOutcome(*outcome, node->version(), context.getResults().initOutcome());
            })
            .attach(kj::mv(onDropped));
    });
}

kj::Promise<void> RpcAgent::cancel(CancelContext context)
{
    return guarded(node_, [&]() -> kj::Promise<void> {
        const auto params = context.getParams();
        const RequestId id(params.getRequestId().cStr());
        if (id.empty()) {
            throw MalformedInputError("id is empty");
        }
        const CancelWord progress = node_.cancel(id, IncarnationId(params.getAgentIncarnation().cStr()));
        context.getResults().setWord(toMessage(progress));
        return kj::READY_NOW;
    });
}

kj::Promise<void> RpcAgent::order(OrderContext context)
{
    return guarded(node_, [&]() -> kj::Promise<void> {
        const auto result = std::make_shared<OrderResult>();
        return toPromise(node_.io(), node_.execute(readOrder(context.getParams().getOrder()), result)).then([result, context]() mutable {
            auto verdict = context.getResults().initVerdict();
            verdict.setAccepted(result->accepted);
            verdict.setReason(result->reason);
            verdict.setHighestEpoch(result->highestEpoch.count());
        });
    });
}

} // namespace mimosatally::internal
