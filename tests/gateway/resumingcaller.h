#pragma once

#include "gatewayfixture.h"
#include "versionedengine.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mimosatally::test
{

/// \brief What a caller received in one attempt.
struct StreamAttempt {
    enum class End {
        Complete,
        /// \brief A status other than 200, as a whole answer.
        Refused,
        /// \brief The connection was lost, or the answer ended without its end.
        Broken,
    };

    End end = End::Broken;
    /// \brief 0 if no response head was received.
    unsigned status = 0;
    std::chrono::milliseconds duration {};
    std::chrono::milliseconds retryAfter {};
    /// \brief Events that this attempt brought.
    int events = 0;
};

/// \brief What a caller received of one stream, over all attempts.
struct StreamOutcome {
    std::vector<StreamAttempt> attempts;
    std::set<std::string> versions;
    /// \brief Version of the first event.
    std::string firstVersion;
    int lastEvent = 0;
    /// \brief Each event's id was one more than that of the event before.
    bool contiguous = true;
    bool complete = false;
    /// \brief The caller had received an event, and sent a further attempt.
    bool takenUp = false;
    /// \brief A further attempt brought an event or the end of the stream.
    bool wentOn = false;

    [[nodiscard]] bool began() const
    {
        return !attempts.empty() && attempts.front().events > 0;
    }

    [[nodiscard]] bool hasTwoVersions() const
    {
        return versions.size() > 1;
    }
};

/// \brief Caller that opens a stream and takes it up again after each broken connection. Each function may be called once, before run().
class ResumingCaller
{
public:
    /// \brief Returns the address of the gateway of an attempt; 0 is the first attempt.
    using AddressOf = std::function<std::string(int attempt)>;
    /// \brief Changes the request of a take-up before it is sent.
    using Change = std::function<void(HttpRequest &request)>;

    ResumingCaller(std::string id, AddressOf addressOf)
        : id_(std::move(id))
        , addressOf_(std::move(addressOf))
    {
    }

    ResumingCaller &breaks(StreamBreak how, int afterEvents)
    {
        break_ = how;
        breakAfter_ = afterEvents;
        return *this;
    }

    ResumingCaller &pause(int milliseconds)
    {
        pauseMs_ = milliseconds;
        return *this;
    }

    ResumingCaller &maxTakeUps(int count)
    {
        maxTakeUps_ = count;
        return *this;
    }

    /// \brief Is called before each take-up with what the caller has received.
    ResumingCaller &beforeTakeUp(std::function<void(const StreamOutcome &outcome)> function)
    {
        beforeTakeUp_ = std::move(function);
        return *this;
    }

    ResumingCaller &changeTakeUp(Change change)
    {
        change_ = std::move(change);
        return *this;
    }

    /// \brief Loses the connection of the first take-up too, after this many events of the stream.
    ResumingCaller &breaksAgain(int afterEvents)
    {
        breakAgainAfter_ = afterEvents;
        return *this;
    }

    /// \brief Keeps the connection of the first attempt open, unread, when StreamBreak::CallerConnection would close it.
    ResumingCaller &keepFirstOpen()
    {
        keepsFirst_ = true;
        return *this;
    }

    ResumingCaller &path(std::string prefix)
    {
        path_ = std::move(prefix);
        return *this;
    }

    StreamOutcome run()
    {
        attempt(0);
        for (int number = 1; number <= maxTakeUps_ && mayTakeUp(); ++number) {
            constexpr auto maxWait = std::chrono::milliseconds(500);
            std::this_thread::sleep_for(std::min(outcome_.attempts.back().retryAfter, maxWait));
            beforeTakeUp_(outcome_);
            outcome_.takenUp = true;
            attempt(number);
        }
        return outcome_;
    }

    /// \brief Sends a further attempt, whether the last one has ended or not.
    StreamOutcome takeUp()
    {
        outcome_.takenUp = true;
        attempt(static_cast<int>(outcome_.attempts.size()));
        return outcome_;
    }

private:
    struct Connection {
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket = boost::asio::ip::tcp::socket(io);
    };

    /// \brief A refusal of the first attempt is final here; that of a take-up is not.
    [[nodiscard]] bool mayTakeUp() const
    {
        return outcome_.lastEvent > 0 && !outcome_.complete;
    }

    [[nodiscard]] bool losesConnection(int number) const
    {
        return (number == 0 && break_ == StreamBreak::CallerConnection && outcome_.lastEvent >= breakAfter_)
               || (number == 1 && outcome_.lastEvent >= breakAgainAfter_);
    }

    HttpRequest requestOf(int number) const
    {
        constexpr int deadlineMs = 4000;
        HttpRequest request = GatewayFixture::request(http::verb::post, path_ + id_, id_ + "-" + std::to_string(number), deadlineMs);
        request.set(PAUSE_FIELD, std::to_string(pauseMs_));
        request.body() = "prompt of " + id_;
        request.set(http::field::host, "h");
        if (number == 0) {
            request.set(BREAK_FIELD, std::to_string(static_cast<int>(break_)));
            request.set(BREAK_AFTER_FIELD, std::to_string(breakAfter_));
        } else {
            request.set("Last-Event-Id", std::to_string(outcome_.lastEvent));
            request.set("Resumes", id_ + "-0");
            change_(request);
        }
        request.prepare_payload();
        return request;
    }

    void attempt(int number)
    {
        const auto started = std::chrono::steady_clock::now();
        StreamAttempt result;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        // An eager parser waits for the end of the answer when a read ends between two chunks.
        parser.eager(false);
        read(number, parser, result);
        result.duration = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
        if (parser.is_header_done()) {
            result.status = parser.get().result_int();
            const auto field = parser.get().find(http::field::retry_after);
            if (field != parser.get().end()) {
                constexpr double msPerSecond = 1000;
                result.retryAfter = std::chrono::milliseconds(static_cast<int>(std::stod(std::string(field->value())) * msPerSecond));
            }
        }
        constexpr unsigned success = 200;
        if (parser.is_done()) {
            result.end = result.status == success ? StreamAttempt::End::Complete : StreamAttempt::End::Refused;
        }
        outcome_.complete = outcome_.complete || result.end == StreamAttempt::End::Complete;
        outcome_.wentOn = outcome_.wentOn || (number > 0 && (result.events > 0 || result.end == StreamAttempt::End::Complete));
        outcome_.attempts.push_back(result);
    }

    void read(int number, http::response_parser<http::string_body> &parser, StreamAttempt &result)
    {
        auto connection = std::make_unique<Connection>();
        boost::asio::ip::tcp::socket &socket = connection->socket;
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        socket.connect(parseAddress(addressOf_(number)), error);
        if (!error) {
            http::write(socket, requestOf(number), error);
        }
        std::size_t position = 0;
        while (!error && !parser.is_done()) {
            http::read_some(socket, buffer, parser, error);
            result.events += takeEvents(parser.get().body(), position);
            if (losesConnection(number)) {
                first_ = keepsFirst_ ? std::move(connection) : nullptr;
                return;
            }
        }
    }

    /// \brief Notes the complete events of \a body from \a position on. \return their number.
    int takeEvents(const std::string &body, std::size_t &position)
    {
        int count = 0;
        for (std::size_t end = body.find("\n\n", position); end != std::string::npos; end = body.find("\n\n", position)) {
            std::istringstream event(body.substr(position, end - position));
            std::string label;
            std::string version;
            int id = 0;
            event >> label >> id >> label >> version;
            position = end + 2;
            outcome_.contiguous = outcome_.contiguous && id == outcome_.lastEvent + 1;
            outcome_.lastEvent = id;
            outcome_.firstVersion = outcome_.firstVersion.empty() ? version : outcome_.firstVersion;
            outcome_.versions.insert(version);
            ++count;
        }
        return count;
    }

    std::string id_;
    AddressOf addressOf_;
    StreamBreak break_ = StreamBreak::None;
    int breakAfter_ = 3;
    int breakAgainAfter_ = std::numeric_limits<int>::max();
    int pauseMs_ = 2;
    int maxTakeUps_ = 3;
    std::string path_ = "/resume/";
    std::function<void(const StreamOutcome &)> beforeTakeUp_ = [](const StreamOutcome &) {};
    Change change_ = [](HttpRequest &) {};
    bool keepsFirst_ = false;
    std::unique_ptr<Connection> first_;
    StreamOutcome outcome_;
};

/// \brief Numbers of streams and of take-ups over many callers.
struct StreamTotals {
    int streams = 0;
    int began = 0;
    int takenUp = 0;
    int wentOn = 0;
    int twoVersions = 0;
    int notContiguous = 0;

    void add(const StreamOutcome &outcome)
    {
        ++streams;
        began += outcome.began() ? 1 : 0;
        takenUp += outcome.takenUp ? 1 : 0;
        wentOn += outcome.takenUp && outcome.wentOn ? 1 : 0;
        twoVersions += outcome.hasTwoVersions() ? 1 : 0;
        notContiguous += outcome.contiguous ? 0 : 1;
    }

    [[nodiscard]] std::string text() const
    {
        return std::to_string(streams) + " streams, " + std::to_string(began) + " began, " + std::to_string(takenUp) + " taken up, " + std::to_string(wentOn)
               + " went on, " + std::to_string(twoVersions) + " with two versions";
    }
};

inline StreamTotals totalsOf(const std::vector<StreamOutcome> &outcomes)
{
    StreamTotals totals;
    for (const StreamOutcome &outcome : outcomes) {
        totals.add(outcome);
    }
    return totals;
}

/// \brief Runs the callers 0 to \a count - 1, \a concurrency of them at a time. \return their outcomes in this order.
inline std::vector<StreamOutcome> runCallers(int count, int concurrency, const std::function<StreamOutcome(int number)> &run)
{
    std::vector<StreamOutcome> outcomes(static_cast<std::size_t>(count));
    std::atomic<int> next = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < concurrency; ++i) {
        threads.emplace_back([&] {
            for (int number = next++; number < count; number = next++) {
                outcomes[static_cast<std::size_t>(number)] = run(number);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return outcomes;
}

} // namespace mimosatally::test
