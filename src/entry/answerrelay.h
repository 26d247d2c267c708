#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Incremental SHA-256 of an answer's bytes.
class AnswerHash
{
public:
    AnswerHash();

    void add(std::string_view data);

    /// \brief Returns the hash in hexadecimal; call once, after the last add().
    std::string finish();

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
};

/// \brief Relays one answer from an agent to the caller.
///
/// Event streams are relayed as they arrive. Other answers are buffered until they are complete, so that an incomplete one
/// can be replaced by a refusal. Above MAX_BUFFERED_BYTES they are relayed as they arrive too; if such an answer breaks
/// off, the connection is closed without terminating the body.
class AnswerRelay
{
public:
    /// \brief Bounds the memory that buffers one answer.
    static constexpr std::size_t MAX_BUFFERED_BYTES = std::size_t(1024) * 1024;

    /// \brief Sets the headers that all answers have.
    using HeaderSetter = std::function<void(HttpResponse &)>;

    AnswerRelay(boost::asio::io_context &io, HttpExchange &exchange, HeaderSetter setHeaders);
    AnswerRelay(const AnswerRelay &) = delete;
    AnswerRelay &operator=(const AnswerRelay &) = delete;

    /// \brief Prepares for the answer of a new attempt and discards that of the previous one, none of which may have been relayed.
    /// \return number of the attempt, by which late chunks of earlier attempts are recognised.
    int startAttempt();

    /// \brief Accepts the whole answer even if the caller disconnects, so that the agent is not interrupted.
    void ignoreCallerDisconnect();

    /// \brief Sets status and content type of the answer. \throws MalformedInputError if the status is invalid or the answer is not expected.
    void begin(int attempt, unsigned status, std::string contentType);

    /// \brief Accepts the chunk at byte offset \a position; returns when it has been buffered or written to the caller's connection.
    /// \throws MalformedInputError if the chunk does not follow the last one or the attempt has ended, boost::system::system_error if the
    /// caller has disconnected.
    boost::asio::awaitable<void> chunk(int attempt, std::int64_t position, std::string data);

    /// \brief Rejects further chunks and waits until none is being written.
    boost::asio::awaitable<void> close();

    /// \brief Waits until \a total bytes have arrived. \return false if nothing arrived for \a idleTimeout or the answer failed.
    boost::asio::awaitable<bool> awaitBytes(std::int64_t total, Duration idleTimeout);

    /// \brief Sends the buffered answer, or ends the stream.
    boost::asio::awaitable<void> finish();

    /// \brief Ends a partly relayed answer: an event stream with an error event after its last complete event unless its chunks failed, any other by
    /// closing the connection.
    boost::asio::awaitable<void> fail(std::string_view errorBody);

    /// \brief Returns true if part of an answer has been sent to the caller.
    [[nodiscard]] bool hasRelayed() const;
    [[nodiscard]] bool hasBegun() const;

    /// \brief Returns true if a write to the caller failed.
    [[nodiscard]] bool isCallerDisconnected() const;
    [[nodiscard]] bool isEventStream() const;
    [[nodiscard]] unsigned status() const;
    [[nodiscard]] const std::string &contentType() const;
    [[nodiscard]] std::int64_t bytes() const;

    /// \brief Arrival time of the first chunk; for an event stream, that of the first token.
    [[nodiscard]] Time firstChunkAt() const;

    /// \brief SHA-256 of the answer in hexadecimal; call once, after the last chunk.
    std::string answerHash();

private:
    boost::asio::awaitable<void> acceptData(std::string data);
    boost::asio::awaitable<void> relay(std::string_view data);
    HttpResponse makeHeader() const;

    HttpExchange &exchange_;
    HeaderSetter setHeaders_;
    boost::asio::steady_timer changed_;
    AnswerHash hash_;
    unsigned status_ = 0;
    std::string contentType_;
    std::string buffered_;
    /// \brief Holds back the partial event of a stream.
    EventFramer framer_;
    std::int64_t bytes_ = 0;
    Time firstChunkAt_;
    int attempt_ = 0;
    bool eventStream_ = false;
    bool relayed_ = false;
    bool closed_ = true;
    bool writing_ = false;
    bool failed_ = false;
    bool callerDisconnected_ = false;
    bool ignoresCallerDisconnect_ = false;
};

} // namespace mimosatally::internal
