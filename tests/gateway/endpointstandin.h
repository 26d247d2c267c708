#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <atomic>
#include <fcntl.h>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mimosatally::test
{

/// \brief One step of an endpoint's answer.
struct AnswerStep {
    enum class Kind {
        Bytes,
        Pause,
        /// \brief Closes the connection normally.
        Close,
        /// \brief Resets the connection.
        Reset,
        /// \brief Waits until the gateway closes the connection.
        AwaitClose,
        /// \brief Closes all connections normally and stops accepting new ones, as the end of the process does.
        Crash,
        /// \brief Closes all connections normally as a process does that is being torn down: its listener accepts connections for `milliseconds` more, but
        /// nothing is answered.
        TearDown,
        /// \brief Closes all connections normally as a process does that ends and starts again at once at its address. Reports are answered with the bytes from
        /// then on.
        Restart,
        /// \brief Repeats the bytes until the gateway closes the connection, up to FLOOD_BYTES, and then waits for the close.
        Flood,
    };

    /// \brief Bounds what a gateway without limits would keep, so that a test that fails does not exhaust the machine.
    static constexpr std::size_t FLOOD_BYTES = std::size_t(24) * 1024 * 1024;

    Kind kind = Kind::Bytes;
    std::string bytes;
    int milliseconds = 0;
};

using AnswerSteps = std::vector<AnswerStep>;

/// \brief Request that an endpoint has received.
struct Arrival {
    HttpRequest request;
    int connection = 0;
};

/// \brief Endpoint that answers with scripted bytes, so that it can also send malformed answers.
class EndpointStandin
{
public:
    using Script = std::function<AnswerSteps(const HttpRequest &)>;
    /// \brief Script whose answers depend on the connection.
    using ArrivalScript = std::function<AnswerSteps(const Arrival &)>;

    /// \param host address of its machine.
    EndpointStandin(boost::asio::io_context &io, Script script, const std::string &host = "127.0.0.1")
        : EndpointStandin(io,
                          ArrivalScript([script = std::move(script)](const Arrival &arrival) {
                              return script(arrival.request);
                          }),
                          host)
    {
    }

    EndpointStandin(boost::asio::io_context &io, ArrivalScript script, const std::string &host = "127.0.0.1")
        : io_(io)
        , acceptor_(io, parseAddress(host + ":0"))
        , script_(std::move(script))
    {
        // Programs that the test starts later must not keep the listening socket open after a crash.
        fcntl(acceptor_.native_handle(), F_SETFD, FD_CLOEXEC);
        boost::asio::co_spawn(io_, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return toString(acceptor_.local_endpoint());
    }

    [[nodiscard]] std::vector<Arrival> arrivals() const
    {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

    /// \brief Sets the answer to reports that the gateway asks of this endpoint by its id, which the script does not get.
    void setReportAnswer(std::string answer)
    {
        const std::lock_guard lock(mutex_);
        reportAnswer_ = std::move(answer);
    }

    /// \brief Number of such reports.
    [[nodiscard]] int reports() const
    {
        return reports_;
    }

    /// \brief Resets the next \a count connections that are accepted, as an endpoint does that has too many.
    void resetNext(int count)
    {
        toReset_ = count;
    }

    /// \brief Accepts the next \a count connections and reads nothing from them, as if their packets were lost.
    void ignoreNext(int count)
    {
        toIgnore_ = count;
    }

    /// \brief Number of requests whose connection the gateway closed before the answer was complete.
    [[nodiscard]] int abandoned() const
    {
        return abandoned_;
    }

    /// \brief Closes all connections normally. Must be called on the thread of the stand-ins.
    void closeConnections()
    {
        boost::system::error_code ignored;
        for (boost::asio::ip::tcp::socket *socket : *sockets_) {
            socket->close(ignored);
        }
    }

    /// \brief Closes all connections normally and stops accepting new ones, as the end of the process does. Must be called on the thread of the stand-ins.
    void crash()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        closeConnections();
    }

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            boost::asio::ip::tcp::socket socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            if (toReset_ > 0) {
                --toReset_;
                socket.set_option(boost::asio::socket_base::linger(true, 0));
                continue;
            }
            if (toIgnore_ > 0) {
                --toIgnore_;
                ignored_.push_back(std::move(socket));
                continue;
            }
            // Otherwise a step of some bytes waits for the acknowledgement of the step before, and pauses between steps have no effect.
            socket.set_option(boost::asio::ip::tcp::no_delay(true));
            const int number = ++connections_;
            boost::asio::co_spawn(io_, serve(std::move(socket), number), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, int number)
    {
        const OpenSocket registration(sockets_, socket);
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        bool open = true;
        while (open) {
            HttpRequest request;
            co_await boost::beast::http::async_read(socket, buffer, request, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (error) {
                co_return;
            }
            if (isReportRequest(request)) {
                ++reports_;
                const AnswerStep answer = {AnswerStep::Kind::Bytes, reportAnswer(), 0};
                open = co_await perform(socket, answer);
                continue;
            }
            const Arrival arrival {request, number};
            {
                const std::lock_guard lock(mutex_);
                arrivals_.push_back(arrival);
            }
            const AnswerSteps steps = script_(arrival);
            for (const AnswerStep &step : steps) {
                open = co_await perform(socket, step);
                if (!open) {
                    co_return;
                }
            }
        }
    }

    /// \brief Returns whether \a request asks for the report of this endpoint by its id. Reports before orders do not name it and go to the script.
    static bool isReportRequest(const HttpRequest &request)
    {
        return request.target() == "/-/report" && !headerValue(request, "X-Mimosatally-Target-Instance").empty();
    }

    std::string reportAnswer() const
    {
        const std::lock_guard lock(mutex_);
        return reportAnswer_;
    }

    boost::asio::awaitable<bool> perform(boost::asio::ip::tcp::socket &socket, const AnswerStep &step)
    {
        boost::system::error_code error;
        if (step.kind == AnswerStep::Kind::Bytes) {
            co_await boost::asio::async_write(socket, boost::asio::buffer(step.bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            abandoned_ += error ? 1 : 0;
            co_return !error;
        }
        if (step.kind == AnswerStep::Kind::Pause) {
            boost::asio::steady_timer timer(io_, std::chrono::milliseconds(step.milliseconds));
            co_await timer.async_wait(boost::asio::use_awaitable);
            co_return true;
        }
        if (step.kind == AnswerStep::Kind::Flood) {
            for (std::size_t sent = 0; sent < AnswerStep::FLOOD_BYTES && !error; sent += step.bytes.size()) {
                co_await boost::asio::async_write(socket, boost::asio::buffer(step.bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            }
        }
        if (step.kind == AnswerStep::Kind::AwaitClose || step.kind == AnswerStep::Kind::Flood) {
            char byte = 0;
            co_await socket.async_read_some(boost::asio::buffer(&byte, 1), boost::asio::redirect_error(boost::asio::use_awaitable, error));
            ++abandoned_;
            co_return false;
        }
        if (step.kind == AnswerStep::Kind::Crash) {
            crash();
            co_return false;
        }
        if (step.kind == AnswerStep::Kind::TearDown) {
            acceptor_.cancel(error);
            closeConnections();
            boost::asio::steady_timer timer(io_, std::chrono::milliseconds(step.milliseconds));
            co_await timer.async_wait(boost::asio::use_awaitable);
            acceptor_.close(error);
            co_return false;
        }
        if (step.kind == AnswerStep::Kind::Restart) {
            setReportAnswer(step.bytes);
            closeConnections();
            co_return false;
        }
        if (step.kind == AnswerStep::Kind::Reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        }
        socket.close(error);
        co_return false;
    }

    using OpenSockets = std::set<boost::asio::ip::tcp::socket *>;

    /// \brief Keeps a socket in the set of those that a crash closes. A connection can outlive its stand-in, so they share the set.
    class OpenSocket
    {
    public:
        OpenSocket(std::shared_ptr<OpenSockets> sockets, boost::asio::ip::tcp::socket &socket)
            : sockets_(std::move(sockets))
            , socket_(socket)
        {
            sockets_->insert(&socket_);
        }

        ~OpenSocket()
        {
            sockets_->erase(&socket_);
        }

        OpenSocket(const OpenSocket &) = delete;
        OpenSocket &operator=(const OpenSocket &) = delete;

    private:
        std::shared_ptr<OpenSockets> sockets_;
        boost::asio::ip::tcp::socket &socket_;
    };

    boost::asio::io_context &io_;
    std::shared_ptr<OpenSockets> sockets_ = std::make_shared<OpenSockets>();
    boost::asio::ip::tcp::acceptor acceptor_;
    ArrivalScript script_;
    mutable std::mutex mutex_;
    std::vector<Arrival> arrivals_;
    std::string reportAnswer_ = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    std::atomic<int> reports_ = 0;
    std::atomic<int> toReset_ = 0;
    std::atomic<int> toIgnore_ = 0;
    std::vector<boost::asio::ip::tcp::socket> ignored_;
    std::atomic<int> abandoned_ = 0;
    int connections_ = 0;
};

/// \brief Returns the value of the request id header.
inline std::string requestIdOf(const HttpRequest &request)
{
    return headerValue(request, "X-Mimosatally-Request-Id");
}

/// \brief Complete answer of an endpoint to a request. \param extraHeaders further header lines with their line ends.
inline std::string wholeAnswer(const std::string &requestId, const std::string &body, unsigned status = 200, const std::string &extraHeaders = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: seal-" + requestId + "\r\n"
           + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// \brief Answer that states that the endpoint has not executed the request.
inline std::string rejection(unsigned status = 503)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Mimosatally-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/// \brief Response head of a chunked event stream.
inline std::string streamHead(const std::string &requestId, const std::string &seal = "seal")
{
    return "HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: " + seal
           + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// \brief Response head of an event stream with neither a length nor chunks, which ends with its connection.
inline std::string unframedStreamHead(const std::string &requestId, const std::string &seal = "seal")
{
    return "HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + requestId + "\r\nX-Mimosatally-Response-Seal: " + seal
           + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

inline std::string chunk(const std::string &data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

inline std::string lastChunk()
{
    return "0\r\n\r\n";
}

inline AnswerStep bytes(const std::string &text)
{
    return {AnswerStep::Kind::Bytes, text, 0};
}

/// \brief Sends \a unit without end.
inline AnswerStep flooding(const std::string &unit)
{
    constexpr std::size_t writeBytes = std::size_t(32) * 1024;
    std::string block;
    while (block.size() < writeBytes) {
        block += unit;
    }
    return {AnswerStep::Kind::Flood, block, 0};
}

inline AnswerStep pauseFor(int milliseconds)
{
    return {AnswerStep::Kind::Pause, {}, milliseconds};
}

inline AnswerStep closing()
{
    return {AnswerStep::Kind::Close, {}, 0};
}

inline AnswerStep resetting()
{
    return {AnswerStep::Kind::Reset, {}, 0};
}

inline AnswerStep crashing()
{
    return {AnswerStep::Kind::Crash, {}, 0};
}

/// \brief \param acceptsForMs time for which the listener still accepts connections that nobody answers.
inline AnswerStep tearingDown(int acceptsForMs)
{
    return {AnswerStep::Kind::TearDown, {}, acceptsForMs};
}

/// \brief \param reportAnswer answer of the new process to reports.
inline AnswerStep restarting(const std::string &reportAnswer)
{
    return {AnswerStep::Kind::Restart, reportAnswer, 0};
}

inline AnswerStep untilClosed()
{
    return {AnswerStep::Kind::AwaitClose, {}, 0};
}

} // namespace mimosatally::test
