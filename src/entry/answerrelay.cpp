#include "answerrelay.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosatally::internal
{

using boost::asio::awaitable;

AnswerHash::AnswerHash()
    : context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
{
    if (!context_ || EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr) != 1) {
        throw Error("cannot start a SHA-256 computation");
    }
}

void AnswerHash::add(std::string_view data)
{
    if (EVP_DigestUpdate(context_.get(), data.data(), data.size()) != 1) {
        throw Error("cannot continue a SHA-256 computation");
    }
}

std::string AnswerHash::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    if (EVP_DigestFinal_ex(context_.get(), digest.data(), &size) != 1) {
        throw Error("cannot finish a SHA-256 computation");
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < size; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xfU];
    }
    return text;
}

AnswerRelay::AnswerRelay(boost::asio::io_context &io, HttpExchange &exchange, HeaderSetter setHeaders)
    : exchange_(exchange)
    , setHeaders_(std::move(setHeaders))
    , changed_(io)
{
}

int AnswerRelay::startAttempt()
{
    invariant(!relayed_, "an answer of which a part was relayed is not started again");
    hash_ = AnswerHash();
    status_ = 0;
    contentType_.clear();
    buffered_.clear();
    framer_ = EventFramer();
    bytes_ = 0;
    eventStream_ = false;
    closed_ = false;
    failed_ = false;
    return ++attempt_;
}

void AnswerRelay::ignoreCallerDisconnect()
{
    ignoresCallerDisconnect_ = true;
}

void AnswerRelay::begin(int attempt, unsigned status, std::string contentType)
{
    constexpr unsigned minStatus = 200;
    constexpr unsigned maxStatus = 599;
    if (attempt != attempt_ || closed_ || status_ != 0 || status < minStatus || status > maxStatus) {
        throw MalformedInputError("the start of an answer is out of order");
    }
    status_ = status;
    contentType_ = std::move(contentType);
    eventStream_ = contentType_.starts_with("text/event-stream");
    changed_.cancel();
}

awaitable<void> AnswerRelay::chunk(int attempt, std::int64_t position, std::string data)
{
    if (attempt != attempt_ || closed_) {
        throw MalformedInputError("the answer is no longer taken");
    }
    if (failed_ || status_ == 0 || position != bytes_ || writing_) {
        failed_ = true;
        changed_.cancel();
        throw MalformedInputError("a piece of an answer is out of order");
    }
    writing_ = true;
    std::exception_ptr failure;
    try {
        co_await acceptData(std::move(data));
    } catch (const boost::system::system_error &) {
        callerDisconnected_ = true;
        if (!ignoresCallerDisconnect_) {
            failure = std::current_exception();
            failed_ = true;
        }
    }
    writing_ = false;
    changed_.cancel();
    if (failure) {
        std::rethrow_exception(failure);
    }
}

awaitable<void> AnswerRelay::acceptData(std::string data)
{
    if (bytes_ == 0) {
        firstChunkAt_ = MilliClock::now();
    }
    bytes_ += static_cast<std::int64_t>(data.size());
    hash_.add(data);
    if (eventStream_) {
        framer_.append(data);
        const std::string events = framer_.takeCompleteEvents();
        if (framer_.heldBytes() > MAX_BUFFERED_BYTES) {
            failed_ = true;
            throw MalformedInputError("an event of the answer is larger than " + std::to_string(MAX_BUFFERED_BYTES) + " bytes");
        }
        if (!events.empty()) {
            co_await relay(events);
        }
        co_return;
    }
    if (relayed_) {
        co_await relay(data);
        co_return;
    }
    buffered_ += data;
    if (buffered_.size() > MAX_BUFFERED_BYTES) {
        const std::string buffered = std::exchange(buffered_, {});
        co_await relay(buffered);
    }
}

awaitable<void> AnswerRelay::relay(std::string_view data)
{
    if (callerDisconnected_) {
        co_return;
    }
    if (!relayed_) {
        relayed_ = true;
        co_await exchange_.beginStream(makeHeader());
    }
    co_await exchange_.writeChunk(data);
}

HttpResponse AnswerRelay::makeHeader() const
{
    HttpResponse header = makeHttpResponse(status_, contentType_, {});
    if (eventStream_) {
        header.set(boost::beast::http::field::cache_control, "no-cache");
    }
    setHeaders_(header);
    return header;
}

awaitable<void> AnswerRelay::close()
{
    closed_ = true;
    while (writing_) {
        boost::system::error_code ignored;
        changed_.expires_at(boost::asio::steady_timer::time_point::max());
        co_await changed_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

awaitable<bool> AnswerRelay::awaitBytes(std::int64_t total, Duration idleTimeout)
{
    while (!failed_ && (bytes_ < total || writing_)) {
        boost::system::error_code error;
        changed_.expires_after(idleTimeout);
        co_await changed_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error) {
            co_return false;
        }
    }
    co_return !failed_ && status_ != 0 && bytes_ == total;
}

awaitable<void> AnswerRelay::finish()
{
    if (relayed_) {
        co_await exchange_.endStream();
        co_return;
    }
    relayed_ = true;
    HttpResponse response = makeHttpResponse(status_, contentType_, exchange_.request().method() == boost::beast::http::verb::head ? std::string() : buffered_);
    setHeaders_(response);
    co_await exchange_.respond(std::move(response));
}

awaitable<void> AnswerRelay::fail(std::string_view errorBody)
{
    if (!eventStream_ || failed_) {
        exchange_.abort();
        co_return;
    }
    const std::string event = "event: error\ndata: " + std::string(errorBody) + "\n\n";
    co_await exchange_.writeChunk(event);
    co_await exchange_.endStream();
}

bool AnswerRelay::hasRelayed() const
{
    return relayed_;
}

bool AnswerRelay::hasBegun() const
{
    return status_ != 0;
}

bool AnswerRelay::isCallerDisconnected() const
{
    return callerDisconnected_;
}

bool AnswerRelay::isEventStream() const
{
    return eventStream_;
}

unsigned AnswerRelay::status() const
{
    return status_;
}

const std::string &AnswerRelay::contentType() const
{
    return contentType_;
}

std::int64_t AnswerRelay::bytes() const
{
    return bytes_;
}

Time AnswerRelay::firstChunkAt() const
{
    return firstChunkAt_;
}

std::string AnswerRelay::answerHash()
{
    return hash_.finish();
}

} // namespace mimosatally::internal
