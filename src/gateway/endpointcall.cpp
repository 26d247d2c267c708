#include "endpointcall.h"

#include "http/answerstatus.h"
#include "http/receivedchunks.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

namespace mimosatally::internal
{

namespace http = boost::beast::http;
using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace
{
/// \brief Connect timeout. A powered-off endpoint never answers; TCP retransmits a lost packet only after a second.
constexpr Duration CONNECT_TIMEOUT = Duration(500);
/// \brief Number of answers to other requests that are skipped before the attempt fails.
constexpr int MAX_SKIPPED_ANSWERS = 3;
/// \brief Size limit of an answer to another request, which is skipped to reach the right one; beyond it a new connection costs less.
constexpr std::size_t MAX_SKIPPED_BYTES = std::size_t(1024) * 1024;
/// \brief Limit on the reads of an answer to another request. An endpoint that sends each chunk by itself makes every one cost a read.
constexpr int MAX_SKIPPED_READS = 4096;
constexpr unsigned FIRST_SUCCESS_STATUS = 200;
constexpr unsigned FIRST_REDIRECT_STATUS = 300;

/// \brief Returns whether the head of another answer begins within \a header. If an answer is cut off within its head, what is written next continues its last
/// line: the status is then that of one answer and the fields are those of another.
bool holdsAnotherHead(const http::response_header<> &header)
{
    const auto holdsStatusLine = [](boost::beast::string_view text) {
        return text.find("HTTP/1.") != boost::beast::string_view::npos;
    };
    return holdsStatusLine(header.reason()) || std::ranges::any_of(header, [&](const auto &field) {
               return holdsStatusLine(field.value()) || holdsStatusLine(field.name_string());
           });
}
} // namespace

EndpointCall::EndpointCall(ConnectionPool &pool, CallGuard &guard, ByteBudget &budget)
    : pool_(pool)
    , guard_(guard)
    , reservation_(budget, [this] {
        revoke();
    })
{
}

EndpointCall::~EndpointCall()
{
    release();
}

awaitable<CallProgress> EndpointCall::open(tcp::endpoint address, platform::EndpointRequest request, RequestId id, Time attemptDeadline)
{
    const bool connected = co_await connect(address, id, attemptDeadline);
    if (!connected) {
        co_return CallProgress::NotConnected;
    }
    headRequest_ = request.method() == http::verb::head;
    boost::system::error_code error;
    co_await http::async_write(connection_->socket, request, redirect_error(use_awaitable, error));
    if (error) {
        // An endpoint may answer and close before it has read a long body; its answer can still be read.
        failure_ = "write: " + error.message();
        writeFailed_ = true;
    }
    const bool received = co_await readHead(id);
    co_return received ? CallProgress::HeadReceived : CallProgress::OutcomeUnknown;
}

awaitable<bool> EndpointCall::connect(tcp::endpoint address, const RequestId &id, Time attemptDeadline)
{
    const Time now = MilliClock::now();
    connection_ = pool_.take(address, id, now);
    connectionUse_ = {address, connection_->number, connection_->sent.count() - 1, 0, now - connection_->madeAt};
    connection_->buffer.onGrown([this] {
        updateReservation();
    });
    if (connection_->reused) {
        guard_.beginAttempt(connection_->socket, attemptDeadline);
        co_return guard_.stopReason() == StopReason::None;
    }
    boost::system::error_code error;
    connection_->socket.open(address.protocol(), error);
    connection_->socket.set_option(tcp::no_delay(true), error);
    guard_.beginAttempt(connection_->socket, std::min(attemptDeadline, now + CONNECT_TIMEOUT));
    co_await connection_->socket.async_connect(address, redirect_error(use_awaitable, error));
    if (error) {
        refused_ = error == boost::asio::error::connection_refused;
        fail("connect", error);
        co_return false;
    }
    guard_.extendAttempt(attemptDeadline);
    co_return true;
}

awaitable<bool> EndpointCall::readHead(const RequestId &id)
{
    for (int skipped = 0; skipped <= MAX_SKIPPED_ANSWERS; ++skipped) {
        const bool received = co_await readOneHead();
        if (!received) {
            co_return false;
        }
        if (holdsAnotherHead(parser_->get().base())) {
            failure_ = "head of an answer within another head";
            break;
        }
        answer_ = platform::decodeAnswer(parser_->get().base());
        if (!isAnswerStatus(answer_.status)) {
            failure_ = "status " + std::to_string(answer_.status) + " is no answer";
            forgetAnswer();
            break;
        }
        if (answer_.status < FIRST_SUCCESS_STATUS) {
            // An interim answer has no body; the final one follows on this connection.
            failure_ = "too many interim answers";
            forgetAnswer();
            continue;
        }
        const bool success = answer_.status >= FIRST_SUCCESS_STATUS && answer_.status < FIRST_REDIRECT_STATUS;
        // An answer without an id may belong to an earlier request, unless it is the first one on a new connection.
        const bool withoutId = answer_.request.empty() && !success && !connection_->reused && connectionUse_.skippedAnswers == 0;
        if (answer_.request == id || withoutId) {
            failure_.clear();
            co_return true;
        }
        failure_ = "answer to another request";
        ++connectionUse_.skippedAnswers;
        const bool skippedBody = co_await skipBody();
        forgetAnswer();
        if (!skippedBody) {
            break;
        }
    }
    broken_ = true;
    co_return false;
}

void EndpointCall::forgetAnswer()
{
    answer_ = EndpointAnswer();
    framing_ = BodyFraming::NoBody;
    bodyBytes_ = 0;
    bodyBegun_.reset();
    bodyEnded_.reset();
    complete_ = false;
}

awaitable<bool> EndpointCall::readOneHead()
{
    parser_ = std::make_unique<Parser>();
    parser_->header_limit(MAX_ANSWER_HEADER_BYTES);
    // The answer to HEAD has no body, whatever length it states.
    parser_->skip(headRequest_);
    // Without a body limit, Beast 1.74 rejects every Content-Length as too long.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code error;
    co_await http::async_read_header(connection_->socket, connection_->buffer, *parser_, redirect_error(use_awaitable, error));
    if (error) {
        fail("read", error);
        co_return false;
    }
    framing_ = bodyFraming(*parser_);
    bodyBytes_ = 0;
    framedBytes_ = 0;
    bodyReads_ = 0;
    bodyBegun_.reset();
    bodyEnded_.reset();
    complete_ = parser_->is_done();
    bodyEnd_ = complete_ ? BodyEnd::Framing : BodyEnd::NotReached;
    co_return true;
}

awaitable<bool> EndpointCall::skipBody()
{
    const bool endsWithConnection = parser_->need_eof();
    while (!endsWithConnection && !complete_ && !broken_) {
        co_await read();
        if (framedBytes_ > MAX_SKIPPED_BYTES || bodyReads_ > MAX_SKIPPED_READS) {
            failOverLimit("answer to another request is too large to skip");
        }
    }
    co_return complete_ && !broken_ && !endsWithConnection && connection_ != nullptr;
}

awaitable<std::string_view> EndpointCall::read()
{
    parser_->get().body().data = data_.data();
    parser_->get().body().size = data_.size();
    parser_->get().body().more = true;
    boost::system::error_code error;
    framedBytes_ += co_await http::async_read_some(connection_->socket, connection_->buffer, *parser_, redirect_error(use_awaitable, error));
    ++bodyReads_;
    if (!error) {
        framedBytes_ += parseReceivedChunks(*parser_, connection_->buffer);
    }
    const std::size_t count = data_.size() - parser_->get().body().size;
    if (count > 0 && !bodyBegun_) {
        bodyBegun_ = MilliClock::now();
    }
    bodyBytes_ += count;
    if (error && error != http::error::need_buffer) {
        fail("read", error);
    } else if (parser_->is_done()) {
        complete_ = true;
        bodyEnd_ = reachedEnd();
    }
    if (hasEnded()) {
        bodyEnded_ = MilliClock::now();
    }
    co_return std::string_view(data_.data(), count);
}

BodyEnd EndpointCall::reachedEnd() const
{
    if (framing_ != BodyFraming::ConnectionEnd) {
        return BodyEnd::Framing;
    }
    return writeFailed_ ? BodyEnd::ConnectionReset : BodyEnd::ConnectionClosed;
}

awaitable<std::string> EndpointCall::readAll(std::size_t maxBytes)
{
    std::string body;
    while (!hasEnded()) {
        const std::string_view data = co_await read();
        body.append(data);
        hold(body.size(), maxBytes);
    }
    co_return body;
}

void EndpointCall::hold(std::size_t bytes, std::size_t maxBytes)
{
    if (bytes > maxBytes) {
        failOverLimit("answer holds more than " + std::to_string(maxBytes) + " bytes");
        return;
    }
    keptBytes_ = bytes;
    updateReservation();
}

void EndpointCall::updateReservation()
{
    reservation_.hold(keptBytes_ + (connection_ ? connection_->buffer.capacity() : 0));
}

void EndpointCall::revoke()
{
    failOverLimit("all answers together hold too many bytes, and this one the most");
    if (connection_) {
        boost::system::error_code ignored;
        connection_->socket.close(ignored);
    }
}

bool EndpointCall::hasEnded() const
{
    return complete_ || broken_;
}

awaitable<bool> EndpointCall::confirmWhole(ContentEnd content, LivenessProbe &probe, EndpointId endpoint, std::int64_t startedAt)
{
    switch (completenessOf(framing_, bodyEnd_, content)) {
    case Completeness::Whole:
        reservation_.setRevocable(false);
        proof_ = framing_ == BodyFraming::ConnectionEnd ? "content" : "framing";
        co_return true;
    case Completeness::CutOff:
        proof_ = content == ContentEnd::Within ? "cut-within" : "cut";
        break;
    case Completeness::Unproven: {
        const Liveness liveness = co_await probeProcess(probe, std::move(endpoint), startedAt);
        proof_ = proofName(liveness);
        if (liveness == Liveness::Alive) {
            reservation_.setRevocable(false);
            co_return true;
        }
        break;
    }
    }
    if (failure_.empty()) {
        failure_ = std::string("answer cut off: ") + std::string(toString(content));
    }
    broken_ = true;
    co_return false;
}

awaitable<Liveness> EndpointCall::probeProcess(LivenessProbe &probe, EndpointId endpoint, std::int64_t startedAt)
{
    if (guard_.isCallStopped()) {
        co_return Liveness::NotAsked;
    }
    AnsweringProcess process = {std::move(endpoint), connectionUse_.address, startedAt};
    const Liveness liveness = co_await probe.probe(std::move(process), guard_.deadline());
    co_return liveness;
}

awaitable<bool> EndpointCall::refusesConnection()
{
    if (!connection_) {
        co_return false;
    }
    const boost::system::error_code error = co_await tryConnection();
    co_return error == boost::asio::error::connection_refused;
}

bool EndpointCall::wasRefused() const
{
    return refused_;
}

awaitable<boost::system::error_code> EndpointCall::tryConnection()
{
    if (guard_.isCallStopped()) {
        // The guard does not watch the connections of a call that has been stopped, so the wait would have no bound.
        co_return boost::asio::error::operation_aborted;
    }
    const Time now = MilliClock::now();
    std::unique_ptr<EndpointConnection> connection = pool_.make(connection_->address);
    boost::system::error_code error;
    connection->socket.open(connection->address.protocol(), error);
    connection->socket.set_option(tcp::no_delay(true), error);
    guard_.beginAttempt(connection->socket, now + CONNECT_TIMEOUT);
    co_await connection->socket.async_connect(connection->address, redirect_error(use_awaitable, error));
    guard_.endAttempt();
    if (!error) {
        pool_.put(std::move(connection), answer_.keepAlive, MilliClock::now());
    }
    co_return error;
}

const EndpointAnswer &EndpointCall::answer() const
{
    return answer_;
}

const http::response_header<> &EndpointCall::header() const
{
    return parser_->get().base();
}

const ConnectionUse &EndpointCall::connectionUse() const
{
    return connectionUse_;
}

BodyFraming EndpointCall::framing() const
{
    return framing_;
}

BodyEnd EndpointCall::bodyEnd() const
{
    return bodyEnd_;
}

std::size_t EndpointCall::bodyBytes() const
{
    return bodyBytes_;
}

std::optional<Duration> EndpointCall::bodyTime() const
{
    return bodyBegun_ && bodyEnded_ ? std::optional(*bodyEnded_ - *bodyBegun_) : std::nullopt;
}

std::string_view EndpointCall::proof() const
{
    return proof_;
}

const std::string &EndpointCall::failure() const
{
    return failure_;
}

void EndpointCall::fail(const char *step, const boost::system::error_code &error)
{
    broken_ = true;
    if (reservation_.isRevoked()) {
        // The read failed because revoke() closed the connection.
        return;
    }
    failure_ = std::string(step) + ": " + error.message();
    bodyEnd_ = bodyEndAfter(error);
}

void EndpointCall::failOverLimit(std::string failure)
{
    failure_ = std::move(failure);
    bodyEnd_ = BodyEnd::OverLimit;
    broken_ = true;
}

void EndpointCall::release()
{
    if (!connection_) {
        return;
    }
    guard_.endAttempt();
    connection_->buffer.onGrown({});
    // Bytes after a complete answer belong to no request, so such a connection is not reused.
    const bool reusable = complete_ && !broken_ && parser_->get().keep_alive() && !parser_->need_eof() && connection_->buffer.size() == 0;
    if (reusable) {
        pool_.put(std::move(connection_), answer_.keepAlive, MilliClock::now());
    }
    connection_.reset();
    updateReservation();
}

} // namespace mimosatally::internal
