#pragma once

#include "gatewaygroup.h"

#include <random>

namespace mimosatally::test
{

/// \brief One attempt of a caller.
struct CallerAttempt {
    std::string id;
    std::string target;
    std::size_t gateway = 0;
    Time sent = Time(Duration(0));
    Time ended = Time(Duration(0));
    /// \brief The connection had rested for so long that the gateway may have closed it before the request came.
    bool restedTooLong = false;
    /// \brief Status of the answer; 0 as long as there is none.
    unsigned status = 0;
    /// \brief The answer came to its end.
    bool complete = false;
};

/// \brief Returns whether \a status promises that the request has not run and never will.
inline bool isRefusal(unsigned status)
{
    return status == 408 || status == 429 || status == 503;
}

/// \brief Callers that send one request after another on kept connections, rest between them, and send what was refused or lost as a new
/// request.
///
/// They run on a thread of their own. Rests are up to four fifths of the idle timeout, so that a gateway may not close a connection that is used again.
class KeptCallers
{
public:
    /// \brief Idle timeout that the configuration must state.
    static constexpr Duration IDLE_TIMEOUT = Duration(500);

    struct Load {
        std::size_t callers = 0;
        unsigned seed = 0;
        std::vector<std::string> targets;
        std::vector<std::string> keys;
    };

    KeptCallers(const GatewayGroup &group, Load load)
        : load_(std::move(load))
    {
        for (std::size_t i = 0; i < group.size(); ++i) {
            addresses_.push_back(group.callerAddress(i));
        }
        for (std::size_t i = 0; i < load_.callers; ++i) {
            ++running_;
            boost::asio::co_spawn(io_, run(i), boost::asio::detached);
        }
        thread_ = std::thread([this] {
            io_.run();
        });
    }

    ~KeptCallers()
    {
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    KeptCallers(const KeptCallers &) = delete;
    KeptCallers &operator=(const KeptCallers &) = delete;

    /// \brief Lets each caller finish its request. \return all attempts; those without an end have none within HANG_TIMEOUT.
    const std::vector<CallerAttempt> &finish()
    {
        stopping_ = true;
        const Time deadline = MilliClock::now() + HANG_TIMEOUT;
        while (running_ > 0 && MilliClock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        io_.stop();
        thread_.join();
        return attempts_;
    }

    /// \brief Status of the last attempt of each request that has come to its end; 0 if that got no answer.
    [[nodiscard]] const std::vector<unsigned> &finalStatuses() const
    {
        return finalStatuses_;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    static constexpr Duration LONGEST_REST = IDLE_TIMEOUT * 4 / 5;
    /// \brief The writing thread may be held up between its last look at the connection and the end of the write.
    static constexpr Duration SAFE_REST = IDLE_TIMEOUT * 9 / 10;
    static constexpr Duration RETRY_PAUSE = Duration(50);
    static constexpr int MOST_ATTEMPTS = 100;

    /// \brief Connection of one caller, and when its last answer ended.
    struct Connection {
        explicit Connection(boost::asio::io_context &io)
            : socket(io)
        {
        }

        Socket socket;
        boost::beast::flat_buffer buffer;
        std::size_t gateway = 0;
        Time lastUse = Time(Duration(0));
    };

    boost::asio::awaitable<void> run(std::size_t number)
    {
        std::mt19937 random(load_.seed * 1000U + static_cast<unsigned>(number));
        Connection connection(io_);
        connection.gateway = number % addresses_.size();
        int sent = 0;
        while (!stopping_) {
            const Duration rest = chooseRest(random);
            co_await pause(rest);
            const std::string target = load_.targets[random() % load_.targets.size()];
            const std::string key = load_.keys[random() % load_.keys.size()];
            unsigned status = 0;
            for (int i = 0; i < MOST_ATTEMPTS && (status == 0 || isRefusal(status)); ++i) {
                if (i > 0) {
                    co_await pause(RETRY_PAUSE);
                }
                const std::string id = "c" + std::to_string(number) + "-" + std::to_string(++sent);
                status = co_await attempt(connection, target, id, key);
            }
            finalStatuses_.push_back(status);
        }
        --running_;
    }

    /// \brief Half of the rests are short; the others bring the next request close to the idle timeout.
    static Duration chooseRest(std::mt19937 &random)
    {
        const bool isLong = random() % 2 == 0;
        return isLong ? std::uniform_int_distribution(IDLE_TIMEOUT.count() * 3 / 5, LONGEST_REST.count())(random) * Duration(1)
                      : std::uniform_int_distribution(Duration::rep(5), Duration::rep(60))(random) * Duration(1);
    }

    boost::asio::awaitable<void> pause(Duration time)
    {
        boost::asio::steady_timer timer(io_, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    /// \return the status of the whole answer; 0 if there is none.
    boost::asio::awaitable<unsigned> attempt(Connection &connection, std::string target, std::string id, std::string key)
    {
        const std::size_t index = attempts_.size();
        attempts_.push_back({id, target});
        HttpRequest request = GatewayFixture::request(http::verb::post, target, id);
        request.set(http::field::host, "h");
        request.set(http::field::authorization, "Bearer " + key);
        request.prepare_payload();
        co_await send(connection, request);
        attempts_[index].gateway = connection.gateway;
        attempts_[index].sent = MilliClock::now();
        attempts_[index].restedTooLong = attempts_[index].sent - connection.lastUse > SAFE_REST;
        http::response_parser<http::string_body> parser;
        boost::system::error_code error;
        co_await http::async_read(connection.socket, connection.buffer, parser, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        CallerAttempt &result = attempts_[index];
        result.ended = MilliClock::now();
        result.status = parser.is_header_done() ? parser.get().result_int() : 0;
        result.complete = parser.is_done() && (result.status != 200 || parser.get().body().find("good") != std::string::npos);
        connection.lastUse = result.ended;
        if (error || !parser.keep_alive()) {
            close(connection);
        }
        co_return result.complete ? result.status : 0;
    }

    /// \brief Sends the whole of \a request, on a new connection if the gateway has closed the present one.
    boost::asio::awaitable<void> send(Connection &connection, const HttpRequest &request)
    {
        bool sent = false;
        while (!sent) {
            co_await connectIfClosed(connection);
            boost::system::error_code error;
            co_await http::async_write(connection.socket, request, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            sent = !error;
            if (error) {
                close(connection);
            }
        }
    }

    static void close(Connection &connection)
    {
        boost::system::error_code ignored;
        connection.socket.close(ignored);
        connection.buffer.clear();
    }

    /// \brief Returns whether the gateway has closed the connection.
    static bool isClosed(Connection &connection)
    {
        if (!connection.socket.is_open()) {
            return true;
        }
        char byte = 0;
        const auto count = recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN);
    }

    /// \brief Takes the next gateway that accepts connections if the present connection cannot be used.
    boost::asio::awaitable<void> connectIfClosed(Connection &connection)
    {
        bool closed = isClosed(connection);
        while (closed) {
            close(connection);
            boost::system::error_code error;
            const boost::asio::ip::tcp::endpoint address = parseAddress(addresses_[connection.gateway]);
            co_await connection.socket.async_connect(address, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            closed = static_cast<bool>(error);
            if (closed) {
                connection.gateway = (connection.gateway + 1) % addresses_.size();
                co_await pause(Duration(1));
            }
            connection.lastUse = MilliClock::now();
        }
    }

    Load load_;
    boost::asio::io_context io_;
    std::vector<std::string> addresses_;
    std::vector<CallerAttempt> attempts_;
    std::vector<unsigned> finalStatuses_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> running_ = 0;
    std::thread thread_;
};

} // namespace mimosatally::test
