#pragma once

/// \file
/// \brief Streams whose gateway loses power, and which their consumers take up at other gateways.

#include "bed.h"

#include <algorithm>

namespace bed::takeup
{
constexpr int GATEWAYS = 6;
constexpr int WORKERS = 6;
constexpr int STREAMS = 24;
constexpr int NEW_STREAMS = 24;
constexpr int EVENTS = 60;
constexpr Ms EVENT_INTERVAL(100);
/// \brief Consumers abandon a stream after a gap of two seconds.
constexpr Ms LONGEST_GAP(2000);
constexpr int TRIES = 3;
constexpr double BUDGET_S = 15;

/// \brief Returns a configuration with a resumable route to one service, or to two that share its requests.
inline std::string configuration(bool split)
{
    const std::string target = split ? R"("trafficSplit":[{"service":"llm-a","weight":50},{"service":"llm-b","weight":50}])" : R"("service":"llm-a")";
    return R"({"version":1,"routes":[{"name":"note","host":"h.example","pathPrefix":"/note/",)" + target
           + R"(,"kind":"streaming","resumable":true,"timeoutMs":15000,"targetLatencyMs":200,"targetGapMs":250,"maxAttempts":2,"priority":1}],
"services":[{"name":"llm-a","healthPath":"/health","maxConns":630},{"name":"llm-b","healthPath":"/health","maxConns":630}],
"limits":{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

inline std::string chunk(const std::string &data)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

/// \brief Streams events that hold the worker's software version, from the one after `Last-Event-Id` on.
inline bool stream(Worker &worker, Channel &channel, const Message &request)
{
    const std::string last = request.field("Last-Event-Id");
    if (!channel.write("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + request.field("X-Mimosatally-Request-Id")
                       + "\r\nX-Mimosatally-Response-Seal: 1.1.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= EVENTS; ++number) {
        if (!channel.write(chunk("id: " + std::to_string(number) + "\ndata: " + worker.version + "\n\n"))) {
            return false;
        }
        pauseFor(EVENT_INTERVAL);
    }
    return channel.write("0\r\n\r\n");
}

/// \brief What a consumer has of a stream.
struct Stream {
    std::set<std::string> versions;
    int lastEvent = 0;
    bool complete = false;
    int status = 0;
    std::string retryAfter;
};

/// \brief One consumer attempt. \return true if the answer began.
inline bool attempt(Stream &result, const std::string &ip, int port, const std::string &id, const std::string &root)
{
    const auto channel = connectTo(ip, port);
    Fields fields = {{"Host", "h.example"}, {"X-Mimosatally-Request-Id", id}, {"X-Mimosatally-Request-Deadline", "15000"}, {"Connection", "close"}};
    if (result.lastEvent > 0) {
        fields.emplace_back("Last-Event-Id", std::to_string(result.lastEvent));
        fields.emplace_back("Resumes", root);
    }
    Message head;
    result.status = 0;
    if (!channel || !channel->write(requestText("POST", "/note/x", fields, "prompt")) || !readHead(*channel, head, LONGEST_GAP)) {
        return false;
    }
    result.status = head.status();
    result.retryAfter = head.field("Retry-After");
    if (result.status != 200) {
        return false;
    }
    std::string text;
    const int before = result.lastEvent;
    bool open = true;
    while (open && !result.complete) {
        std::size_t end = channel->buffer.find("\r\n");
        while (open && end == std::string::npos) {
            open = channel->fill(LONGEST_GAP);
            end = channel->buffer.find("\r\n");
        }
        if (!open) {
            break;
        }
        const std::size_t size = std::strtoul(channel->buffer.c_str(), nullptr, 16);
        channel->buffer.erase(0, end + 2);
        std::string data;
        std::string lineEnd;
        open = readCount(*channel, data, size, LONGEST_GAP) && readCount(*channel, lineEnd, 2, LONGEST_GAP);
        result.complete = open && size == 0;
        text += data;
        for (std::size_t stop = text.find("\n\n"); stop != std::string::npos; stop = text.find("\n\n")) {
            const std::string event = text.substr(0, stop);
            text.erase(0, stop + 2);
            result.lastEvent = std::atoi(event.c_str() + event.find("id: ") + 4);
            result.versions.insert(event.substr(event.find("data: ") + 6));
        }
    }
    return result.lastEvent > before;
}

enum class Way {
    /// \brief The route is split between two services of one software version.
    SplitRoute,
    /// \brief The route has one service, and a worker of a second software version joins it just after the loss of power.
    Release,
};

/// \brief Runs the case. \return its exit code.
inline int run(Record &record, Way way)
{
    const bool trouble = troubleIsOn();
    const bool release = way == Way::Release;
    Store store;
    store.put("keyed.op", "config", configuration(!release));
    std::vector<std::unique_ptr<Worker>> workers;
    const auto addWorker = [&](const std::string &version) {
        const std::string id = "i-" + std::to_string(workers.size() + 1);
        const std::string service = release || workers.size() % 2 == 0 ? "llm-a" : "llm-b";
        workers.push_back(std::make_unique<Worker>(store, record, id, service, "127.0.0.1", "", stream));
        workers.back()->version = version;
        workers.back()->start();
        record.line("worker " + id + " of " + service + ", software version " + version);
    };
    for (int i = 0; i < WORKERS; ++i) {
        addWorker("s1");
    }
    const Folder folder;
    const std::vector<Gateway::Place> places = placesOf(GATEWAYS);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const Gateway::Place &place : places) {
        const std::string address = store.openFor("127.0.0.1", freePort({"127.0.0.1"}));
        gateways.push_back(std::make_unique<Gateway>(place, folder.path, settingsFor(place, places, address)));
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(Ms(10'000))) {
            return EXIT_NOT_RUN;
        }
    }
    const int relayPort = freePort({"127.0.0.1"});
    Relay relay("127.0.0.1", relayPort, places[0].ip, places[0].front);
    pauseFor(Ms(5000));

    std::mutex mutex;
    int takenUp = 0;
    int wentOn = 0;
    int completed = 0;
    int begun = 0;
    std::vector<std::thread> consumers;
    for (int i = 0; i < STREAMS; ++i) {
        consumers.emplace_back([&, i] {
            const Clock::time_point begin = Clock::now();
            const std::string root = "s" + std::to_string(i);
            Stream result;
            attempt(result, "127.0.0.1", relayPort, root, "");
            if (result.complete || result.lastEvent == 0) {
                const std::lock_guard lock(mutex);
                completed += result.complete ? 1 : 0;
                return;
            }
            const int had = result.lastEvent;
            bool goesOn = false;
            std::string seen;
            for (int number = 1; number <= TRIES && !goesOn && std::chrono::duration<double>(Clock::now() - begin).count() < BUDGET_S; ++number) {
                const Gateway::Place &place = places[static_cast<std::size_t>(1 + (i + number) % (GATEWAYS - 1))];
                goesOn = attempt(result, place.ip, place.front, root + "-" + std::to_string(number), root);
                seen += " " + place.name + ":" + std::to_string(result.status);
                if (!goesOn && !result.retryAfter.empty()) {
                    pauseFor(Ms(static_cast<int>(std::stod(result.retryAfter) * 1000)));
                }
            }
            const std::lock_guard lock(mutex);
            ++takenUp;
            wentOn += goesOn ? 1 : 0;
            completed += result.complete ? 1 : 0;
            record.line("stream " + root + " broke off after event " + std::to_string(had) + ", taken up at" + seen
                        + (goesOn ? ", went on" : ", did not go on"));
        });
        pauseFor(Ms(20));
    }
    pauseFor(Ms(1000));
    if (trouble) {
        relay.fallSilent();
        gateways[0]->kill(SIGKILL);
        gateways[0]->wait();
        record.line(places[0].name + " loses power");
    }
    pauseFor(Ms(300));
    if (release) {
        addWorker("s2");
    }
    pauseFor(Ms(1500));
    for (int i = 0; i < NEW_STREAMS; ++i) {
        consumers.emplace_back([&, i] {
            const Gateway::Place &place = places[static_cast<std::size_t>(1 + i % (GATEWAYS - 1))];
            Stream result;
            const bool began = attempt(result, place.ip, place.front, "n" + std::to_string(i), "");
            const std::lock_guard lock(mutex);
            begun += began ? 1 : 0;
        });
        pauseFor(Ms(30));
    }
    if (trouble) {
        // Power is back at most 3.5 s after it was lost.
        pauseFor(Ms(900));
        gateways[0]->start();
        record.line(places[0].name + " starts again");
    }
    for (std::thread &consumer : consumers) {
        consumer.join();
    }
    gateways.clear();
    record.line("streams: " + std::to_string(STREAMS) + " sent, " + std::to_string(completed) + " complete, " + std::to_string(takenUp) + " taken up, of these "
                + std::to_string(wentOn) + " went on; new streams: " + std::to_string(NEW_STREAMS) + " sent, " + std::to_string(begun) + " began");
    constexpr int minTakenUp = 12;
    const double shareOfNew = static_cast<double>(begun) / NEW_STREAMS;
    const bool broken = takenUp >= minTakenUp && wentOn < takenUp * shareOfNew / 2;
    if (broken) {
        record.line("LOST: the share that goes on is under half of the share of new streams that begin");
    }
    return broken ? EXIT_BROKEN : EXIT_HELD;
}
} // namespace bed::takeup
