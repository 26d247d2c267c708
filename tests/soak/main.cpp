/// \file
/// \brief Randomised run of gateway processes between failing stand-ins: `soak SEED SECONDS`. Exit code 1 if a guarantee was violated.

#include "soakfixture.h"

#include <atomic>
#include <iostream>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int CALLERS = 6;

/// \brief Checks the events of a stream that ended normally.
void checkStream(const std::string &id, const std::string &body, Observations &observations)
{
    std::string expected;
    for (int event = 1; event <= SoakFixture::EVENTS; ++event) {
        expected += "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    }
    if (body != expected) {
        observations.addFinding("events of " + id + " are missing, repeated or from another call: " + body);
    }
}

void checkAnswer(const std::string &id, const HttpResponse &response, Observations &observations)
{
    if (response.result_int() == 503) {
        observations.recordRefusal(id);
        if (headerValue(response, "Retry-After").empty()) {
            observations.addFinding("refused without Retry-After: " + id);
        }
        return;
    }
    if (response.result_int() != 200) {
        return;
    }
    observations.recordAnswer();
    if (id.starts_with("stream-")) {
        checkStream(id, response.body(), observations);
    } else if (response.body() != "answer to " + id) {
        observations.addFinding("answer is incomplete or from another call: " + id + ": " + response.body());
    }
}

/// \brief Sends calls on keep-alive connections while \a running is true.
void callUntil(const std::atomic<bool> &running, const SoakFixture &fixture, std::size_t number, std::uint64_t seed, Observations &observations)
{
    std::mt19937_64 random(seed + number);
    std::unique_ptr<CallerConnection> connection;
    for (int i = 0; running; ++i) {
        const char *kinds[] = {"post", "safe", "stream"};
        const std::string kind = kinds[random() % 3];
        const std::string id = kind + "-" + std::to_string(number) + "-" + std::to_string(i);
        HttpRequest request = makeHttpRequest(boost::beast::http::verb::post, "/" + kind + "/x", "text/plain", "body");
        request.set("X-Mimosatally-Request-Id", id);
        request.set("X-Mimosatally-Request-Deadline", "2000");
        try {
            if (!connection) {
                connection = std::make_unique<CallerConnection>(fixture.callerAddress(random()));
            }
            connection->send(request);
            const HttpResponse response = connection->response();
            checkAnswer(id, response, observations);
            if (!response.keep_alive()) {
                connection.reset();
            }
        } catch (const boost::system::system_error &) {
            // A connection may be closed at any time; the call's outcome is then unknown.
            connection.reset();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: soak SEED SECONDS\n";
        return 2;
    }
    const std::uint64_t seed = std::stoull(argv[1]);
    Observations observations;
    {
        SoakFixture fixture(seed, observations);
        std::atomic<bool> running = true;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < CALLERS; ++i) {
            callers.emplace_back([&, i] {
                callUntil(running, fixture, i, seed, observations);
            });
        }
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(std::stoi(argv[2]));
        while (std::chrono::steady_clock::now() < end) {
            fixture.injectFault();
        }
        running = false;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    const std::vector<std::string> findings = observations.findings();
    for (const std::string &finding : findings) {
        std::cout << "seed " << seed << ": " << finding << '\n';
    }
    std::cout << "seed " << seed << ": " << observations.answerCount() << " answers, " << findings.size() << " findings\n";
    return findings.empty() ? 0 : 1;
}
