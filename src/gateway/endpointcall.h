#pragma once

#include "callguard.h"
#include "connectionpool.h"
#include "livenessprobe.h"

#include <mimosatally/Http>

#include <platform/callcodec.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mimosatally::internal
{

/// \brief Progress of one attempt at an endpoint.
enum class CallProgress {
    /// \brief No connection was made, so the endpoint has received nothing.
    NotConnected,
    /// \brief The request was sent, at least in part, and no usable answer came; the call may have run.
    OutcomeUnknown,
    /// \brief The head of the answer was received.
    HeadReceived,
};

/// \brief Connection of a call, for the log: two attempts of one request over the same connection cannot be told apart by the ids of their answers.
struct ConnectionUse {
    boost::asio::ip::tcp::endpoint address;
    std::uint64_t connection = 0;
    /// \brief Requests that were sent over the connection before.
    std::size_t earlierRequests = 0;
    /// \brief Answers to other requests that were skipped before the answer to this one.
    int skippedAnswers = 0;
    /// \brief Age of the connection when the request was sent; an older one can outlive the process that the endpoint's entry names.
    Duration age = Duration(0);
};

/// \brief One call over one connection to an endpoint.
///
/// Call open(), then read() until the body has ended, then confirmWhole(). The guard closes the connection to cancel the call.
class EndpointCall
{
public:
    /// \param budget counts the bytes that this call holds; if they have to be freed, the call ends as one whose answer is over a limit.
    EndpointCall(ConnectionPool &pool, CallGuard &guard, ByteBudget &budget);
    ~EndpointCall();
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    /// \brief Sends \a request with the id \a id and reads the head of its answer. Answers to other requests are skipped; the connection has not carried this
    /// id before, so the id of an answer tells.
    boost::asio::awaitable<CallProgress> open(boost::asio::ip::tcp::endpoint address, platform::EndpointRequest request, RequestId id, Time attemptDeadline);

    /// \brief Reads the next piece of the body; the view is valid until the next call. It may be empty although the body has not
    /// ended.
    boost::asio::awaitable<std::string_view> read();

    /// \brief Reads the rest of the body. Ends the attempt if the body is larger than \a maxBytes; hasEnded() is then true and confirmWhole() fails.
    boost::asio::awaitable<std::string> readAll(std::size_t maxBytes);

    /// \brief Counts \a bytes of the body that the caller of read() keeps, and ends the attempt if they are more than \a maxBytes.
    void hold(std::size_t bytes, std::size_t maxBytes);

    /// \brief Ends the attempt; keeps the connection if the answer is complete.
    void release();

    /// \brief Returns whether reading of the body has ended, whether or not the answer is whole.
    [[nodiscard]] bool hasEnded() const;

    /// \brief Returns whether the answer is whole (see completenessOf()). An answer that is unproven is whole if the process that has sent it still answers:
    /// it has not ended the answer by its own end.
    /// \param endpoint and \param startedAt endpoint as registered when the request was sent.
    boost::asio::awaitable<bool> confirmWhole(ContentEnd content, LivenessProbe &probe, EndpointId endpoint, std::int64_t startedAt);

    [[nodiscard]] const EndpointAnswer &answer() const;
    [[nodiscard]] const boost::beast::http::response_header<> &header() const;

    /// \brief Returns whether the endpoint refuses a connection: its process has ended, not only the connection of this call.
    boost::asio::awaitable<bool> refusesConnection();

    /// \brief Returns whether open() found that nothing listens at the endpoint's address: its process has ended.
    [[nodiscard]] bool wasRefused() const;

    /// \brief Returns the connection that was used, also after release().
    [[nodiscard]] const ConnectionUse &connectionUse() const;

    /// \brief Returns how the answer states where its body ends; NoBody before its head was received.
    [[nodiscard]] BodyFraming framing() const;
    [[nodiscard]] BodyEnd bodyEnd() const;
    /// \brief Returns the number of bytes of the body that were read.
    [[nodiscard]] std::size_t bodyBytes() const;

    /// \brief Returns the time from the first byte of the body to the end of reading; empty if there was no byte or reading has not ended.
    [[nodiscard]] std::optional<Duration> bodyTime() const;

    /// \brief Returns what shows that the answer is whole or not, for the log; empty before confirmWhole().
    [[nodiscard]] std::string_view proof() const;

    /// \brief Returns the cause of a failed attempt, for the log.
    [[nodiscard]] const std::string &failure() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint address, const RequestId &id, Time attemptDeadline);
    boost::asio::awaitable<bool> readHead(const RequestId &id);
    boost::asio::awaitable<bool> readOneHead();
    boost::asio::awaitable<bool> skipBody();
    /// \brief Drops what an answer to another request says: nothing in it is about this call or the endpoint's present state.
    void forgetAnswer();
    /// \brief Finds out whether the process that has sent the answer is still there.
    boost::asio::awaitable<Liveness> probeProcess(LivenessProbe &probe, EndpointId endpoint, std::int64_t startedAt);
    /// \brief Opens another connection to the endpoint, which is kept for later calls.
    boost::asio::awaitable<boost::system::error_code> tryConnection();
    /// \brief Returns how a body ended that was read as far as it goes.
    [[nodiscard]] BodyEnd reachedEnd() const;
    void fail(const char *step, const boost::system::error_code &error);
    void failOverLimit(std::string failure);
    void updateReservation();
    /// \brief Frees the bytes of this call because all calls together hold too many.
    void revoke();

    ConnectionPool &pool_;
    CallGuard &guard_;
    ByteReservation reservation_;
    /// \brief Bytes of the body that the caller of read() keeps.
    std::size_t keptBytes_ = 0;
    std::unique_ptr<EndpointConnection> connection_;
    ConnectionUse connectionUse_;
    std::unique_ptr<Parser> parser_;
    EndpointAnswer answer_;
    std::string failure_;
    BodyFraming framing_ = BodyFraming::NoBody;
    BodyEnd bodyEnd_ = BodyEnd::NotReached;
    std::size_t bodyBytes_ = 0;
    /// \brief Bytes of the body with the framing of its chunks.
    std::size_t framedBytes_ = 0;
    int bodyReads_ = 0;
    std::optional<Time> bodyBegun_;
    std::optional<Time> bodyEnded_;
    std::string_view proof_;
    /// \brief The body was read as far as its framing or the end of the connection says.
    bool complete_ = false;
    bool broken_ = false;
    /// \brief Writing the request failed. The error has taken the reset of the connection, so reading ends as if the peer had closed it in an orderly way.
    bool writeFailed_ = false;
    bool refused_ = false;
    bool headRequest_ = false;
    static constexpr std::size_t READ_BYTES = std::size_t(8) * 1024;
    std::array<char, READ_BYTES> data_;
};

} // namespace mimosatally::internal
