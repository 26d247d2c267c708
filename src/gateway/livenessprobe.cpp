#include "livenessprobe.h"

#include "callguard.h"
#include "http/answerstatus.h"

#include <platform/callcodec.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;

namespace
{
/// \brief Largest report, a JSON object of some hundred bytes.
constexpr std::size_t MAX_REPORT_BYTES = std::size_t(64) * 1024;
/// \brief Longest wait for one answer before the request is repeated; TCP sends a lost packet of a new connection again only after a second.
constexpr Duration ATTEMPT_TIMEOUT = Duration(300);
} // namespace

std::string_view proofName(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "endpoint-answers";
    case Liveness::Replaced:
        return "endpoint-replaced";
    case Liveness::Ended:
        return "endpoint-ended";
    case Liveness::Silent:
        return "endpoint-silent";
    case Liveness::NotAsked:
        break;
    }
    return "endpoint-not-asked";
}

LivenessProbe::LivenessProbe(boost::asio::io_context &io, ConnectionPool &connections, PhaseRouter &router, Metrics &metrics)
    : io_(io)
    , connections_(connections)
    , router_(router)
    , metrics_(metrics)
{
}

awaitable<Liveness> LivenessProbe::probe(AnsweringProcess process, Time deadline)
{
    Target &target = targets_[{process.address, process.endpoint}];
    if (!target.next) {
        target.next = std::make_shared<Round>();
    }
    const std::shared_ptr<Round> round = target.next;
    if (!target.running) {
        target.running = true;
        boost::asio::co_spawn(io_, runRounds(process), boost::asio::detached);
    }
    boost::asio::steady_timer timer(io_, std::max(deadline - MilliClock::now(), Duration(0)));
    round->waiting.push_back(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(redirect_error(use_awaitable, ignored));
    std::erase(round->waiting, &timer);
    Liveness liveness = round->ended ? round->reply.liveness : Liveness::Silent;
    if (liveness == Liveness::Alive && hasRestarted(process, round->reply.startedAt)) {
        liveness = Liveness::Replaced;
    }
    metrics_.increment("mimosatally_liveness_probes_total", "result=\"" + std::string(proofName(liveness)) + '"');
    co_return liveness;
}

bool LivenessProbe::hasRestarted(const AnsweringProcess &process, std::optional<std::int64_t> statedStart) const
{
    if (process.startedAt == 0) {
        return false;
    }
    const EndpointRecord *registered = router_.record(process.endpoint);
    return statedStart.value_or(process.startedAt) != process.startedAt || (registered != nullptr && registered->startedAt != process.startedAt);
}

awaitable<void> LivenessProbe::runRounds(AnsweringProcess process)
{
    const TargetKey key = {process.address, process.endpoint};
    while (const std::shared_ptr<Round> round = std::exchange(targets_[key].next, nullptr)) {
        round->reply = co_await ask(process);
        round->ended = true;
        for (boost::asio::steady_timer *timer : round->waiting) {
            timer->cancel();
        }
    }
    targets_.erase(key);
}

awaitable<LivenessProbe::Reply> LivenessProbe::ask(const AnsweringProcess &process)
{
    const Time end = MilliClock::now() + MAX_REQUEST_TIME;
    for (Duration interval = FIRST_REPEAT_INTERVAL;; interval *= 2) {
        const Time now = MilliClock::now();
        if (!router_.acceptsRequest(process.endpoint, now)) {
            co_return Reply {Liveness::NotAsked, std::nullopt};
        }
        router_.reserveRequest(process.endpoint, now);
        metrics_.increment("mimosatally_liveness_requests_total", {});
        const Reply reply = co_await askOnce(process, std::min(end, now + ATTEMPT_TIMEOUT));
        if (reply.liveness != Liveness::Silent || MilliClock::now() + interval >= end) {
            co_return reply;
        }
        boost::asio::steady_timer timer(io_, interval);
        co_await timer.async_wait(use_awaitable);
    }
}

awaitable<LivenessProbe::Reply> LivenessProbe::askOnce(const AnsweringProcess &process, Time end)
{
    // Nothing in an answer ties it to this request, so the connection is new: what comes over it was sent after the probe began (docs/answers.md).
    std::unique_ptr<EndpointConnection> connection = connections_.make(process.address);
    const auto guard = std::make_shared<CallGuard>(io_, end);
    boost::system::error_code error;
    connection->socket.open(process.address.protocol(), error);
    connection->socket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    guard->beginAttempt(connection->socket, end);
    co_await connection->socket.async_connect(process.address, redirect_error(use_awaitable, error));
    if (error) {
        const bool refused = error == boost::asio::error::connection_refused;
        co_return Reply {refused ? Liveness::Ended : Liveness::Silent, std::nullopt};
    }
    const Reply reply = co_await exchange(std::move(connection), process);
    guard->endAttempt();
    co_return reply;
}

awaitable<LivenessProbe::Reply> LivenessProbe::exchange(std::unique_ptr<EndpointConnection> connection, const AnsweringProcess &process)
{
    HttpRequest request = platform::reportRequest(process.endpoint);
    request.set(http::field::host, toString(process.address));
    request.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(connection->socket, request, redirect_error(use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.header_limit(MAX_ANSWER_HEADER_BYTES);
    parser.body_limit(MAX_REPORT_BYTES);
    co_await http::async_read(connection->socket, connection->buffer, parser, redirect_error(use_awaitable, error));
    if (error || !isAnswerStatus(parser.get().result_int())) {
        co_return Reply();
    }
    const EndpointAnswer answer = platform::decodeAnswer(parser.get().base());
    const bool interim = http::to_status_class(parser.get().result_int()) == http::status_class::informational;
    const bool reusable = !interim && parser.get().keep_alive() && !parser.need_eof() && connection->buffer.size() == 0;
    const platform::ProcessEvidence evidence = platform::decodeProcessEvidence(parser.get(), process.endpoint);
    if (answer.retryAfter) {
        router_.pause(process.endpoint, *answer.retryAfter, MilliClock::now());
    }
    if (reusable) {
        connections_.put(std::move(connection), answer.keepAlive, MilliClock::now());
    }
    co_return Reply {evidence.isOther ? Liveness::Replaced : Liveness::Alive, evidence.startedAt};
}

} // namespace mimosatally::internal
