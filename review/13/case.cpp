#include "../harness-3/bed.h"

using namespace bed;

namespace
{
constexpr int REQUESTS = 10;

const char *const CONFIGURATION = R"({"version":1,
"routes":[{"name":"note","host":"h.example","pathPrefix":"/note/","service":"app","kind":"safe","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":2,"priority":1},
{"name":"settle","host":"h.example","pathPrefix":"/settle/","service":"app","kind":"unsafe","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":1,"priority":1}],
"services":[{"name":"app","healthPath":"/health","maxConns":200}],
"limits":{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/// \brief Body that holds the text of another request.
std::string bodyWithRequest(int number)
{
    return requestText("POST", "/settle/pay", {{"Host", "h.example"}, {"X-Mimosatally-Request-Id", "inner-" + std::to_string(number)}}, "");
}

int run(Record &record)
{
    const bool trouble = troubleIsOn();
    Store store;
    store.put("keyed.op", "config", CONFIGURATION);
    std::mutex mutex;
    int outer = 0;
    int inner = 0;
    const auto answer = [&](Worker &, Channel &channel, const Message &request) {
        const std::string id = request.field("X-Mimosatally-Request-Id");
        {
            const std::lock_guard lock(mutex);
            (id.starts_with("inner-") ? inner : outer) += 1;
        }
        record.line("the worker runs " + request.first + " " + request.second + " with id " + id + " and " + std::to_string(request.body.size())
                    + " bytes of body");
        return channel.write(answerText(200, {{"X-Mimosatally-Request-Id", id}, {"X-Mimosatally-Response-Seal", "1.1.1"}}, "done"));
    };
    Worker worker(store, record, "i-app", "app", "127.0.0.1", "", answer);
    worker.start();
    const Folder folder;
    const std::vector<Gateway::Place> places = placesOf(1);
    const std::string address = store.openFor("127.0.0.1", freePort({"127.0.0.1"}));
    Gateway gateway(places[0], folder.path, settingsFor(places[0], places, address));
    if (!gateway.awaitReady(Ms(10'000))) {
        return EXIT_NOT_RUN;
    }
    for (int number = 0; number < REQUESTS; ++number) {
        const auto channel = connectTo(places[0].ip, places[0].front);
        if (!channel) {
            return EXIT_NOT_RUN;
        }
        const std::string body = bodyWithRequest(number);
        const std::string head = "POST /note/x HTTP/1.1\r\nHost: h.example\r\nX-Mimosatally-Request-Id: outer-" + std::to_string(number)
                                 + "\r\nX-Mimosatally-Request-Deadline: 2000\r\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
        // The same body: under a transfer coding that ends the request in no way, or in chunks.
        const std::string request =
            trouble ? head + "Transfer-Encoding: gzip\r\n\r\n" + body : head + "Transfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n0\r\n\r\n";
        channel->write(request);
        Message first;
        const bool answered = readMessage(*channel, first, Ms(3000));
        Message second;
        const bool answeredAgain = answered && readMessage(*channel, second, Ms(500));
        record.line("request outer-" + std::to_string(number) + " gets " + (answered ? first.second : "no answer")
                    + (answeredAgain ? ", and a second answer " + second.second + " for " + second.field("X-Mimosatally-Request-Id") : ""));
    }
    record.line(std::to_string(REQUESTS) + " requests sent; the worker ran " + std::to_string(outer) + " of them, and " + std::to_string(inner)
                + " that no consumer sent");
    return inner > 0 ? EXIT_BROKEN : EXIT_HELD;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
