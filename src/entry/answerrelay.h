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

    /// \brief Hash in hexadecimal; ends the computation.
    std::string finish();

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
};

/// \brief Relays one answer from an agent to the caller.
///
/// Event streams are relayed as they arrive. Other answers are held until they are complete, so that a broken one can be
/// replaced by a refusal; above HELD_ANSWER_BYTES they are relayed as they arrive too, and a broken one ends the
/// connection without the end of its body.
class AnswerRelay
{
public:
    /// \brief Bound on the memory for one answer that is held back.
    static constexpr std::size_t HELD_ANSWER_BYTES = std::size_t(1024) * 1024;

    /// \brief Sets the headers of the answer that all answers have.
    using HeaderSetter = std::function<void(HttpResponse &)>;

    AnswerRelay(boost::asio::io_context &io, HttpExchange &exchange, HeaderSetter setHeaders);
    AnswerRelay(const AnswerRelay &) = delete;
    AnswerRelay &operator=(const AnswerRelay &) = delete;

    /// \brief Starts to take an answer; forgets one of an earlier attempt of which nothing was relayed.
    /// \return the number of the attempt, by which late pieces of earlier attempts are recognised.
    int startAttempt();

    /// \brief Takes the whole answer even if the caller goes away, so that the agent is not stopped.
    void ignoreLostCaller();

    /// \brief Status and content type of the answer. \throws MalformedInputError if it is out of order.
    void begin(int attempt, unsigned status, std::string contentType);

    /// \brief Takes the piece at \a position; returns when the caller's connection has taken it.
    /// \throws MalformedInputError if the position does not follow the last piece, boost::system::system_error if the caller is gone.
    boost::asio::awaitable<void> chunk(int attempt, std::int64_t position, std::string data);

    /// \brief Refuses further pieces and waits until none is being written.
    boost::asio::awaitable<void> close();

    /// \brief Waits until \a total bytes have arrived. \return false if none arrived for \a longestPause or the answer failed.
    boost::asio::awaitable<bool> awaitBytes(std::int64_t total, Duration longestPause);

    /// \brief Sends what is held back, or ends the stream.
    boost::asio::awaitable<void> finish();

    /// \brief Ends a stream of which a part was relayed with an error event, or another answer by closing the connection.
    boost::asio::awaitable<void> fail(std::string_view errorBody);

    /// \brief Whether the caller has been sent a part of an answer.
    [[nodiscard]] bool hasRelayed() const;
    [[nodiscard]] bool hasBegun() const;

    /// \brief Whether a write to the caller failed.
    [[nodiscard]] bool isCallerGone() const;
    [[nodiscard]] bool isEventStream() const;
    [[nodiscard]] unsigned status() const;
    [[nodiscard]] const std::string &contentType() const;
    [[nodiscard]] std::int64_t bytes() const;

    /// \brief Answer that was held back; empty if it was relayed as it arrived.
    [[nodiscard]] const std::string &heldBody() const;

    /// \brief Time of the first piece; the time of the first token for an event stream.
    [[nodiscard]] Time firstChunkAt() const;

    /// \brief SHA-256 of the answer; call once, after the last piece.
    std::string answerHash();

private:
    boost::asio::awaitable<void> take(std::string data);
    boost::asio::awaitable<void> relay(std::string_view data);
    HttpResponse makeHeader() const;

    HttpExchange &exchange_;
    HeaderSetter setHeaders_;
    boost::asio::steady_timer changed_;
    AnswerHash hash_;
    unsigned status_ = 0;
    std::string contentType_;
    std::string held_;
    std::int64_t bytes_ = 0;
    Time firstChunkAt_;
    int attempt_ = 0;
    bool eventStream_ = false;
    bool relayed_ = false;
    bool closed_ = true;
    bool writing_ = false;
    bool failed_ = false;
    bool callerGone_ = false;
    bool ignoresLostCaller_ = false;
};

} // namespace mimosatally::internal
