#include "../harness-3/bed.h"

#include <algorithm>

using namespace bed;

namespace
{
constexpr int GATEWAYS = 6;
constexpr int WORKERS = 24;
/// \brief Share 0.3 of the workers.
constexpr int NEW_WORKERS = 7;
constexpr int WORKERS_AT_PREFILL = 15;
constexpr double LEASE_S = 3.0;

const char *const CONFIGURATION = R"({"version":1,
"routes":[{"name":"read","host":"h.example","pathPrefix":"/read/","service":"app","kind":"safe","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":2,"priority":1}],
"services":[{"name":"app","healthPath":"/health","maxConns":200},
{"name":"llm","healthPath":"/health","maxConns":470,"engine":{"slots":64,"kvCacheTokens":968798,"tokenKvBytes":18432,"linkMbps":2200000,"handleTtlS":5,"switchS":3}}],
"limits":{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

bool answerRead(Worker &, Channel &channel, const Message &request)
{
    return channel.write(
        answerText(200, {{"X-Mimosatally-Request-Id", request.field("X-Mimosatally-Request-Id")}, {"X-Mimosatally-Response-Seal", "1.1.1"}}, "read"));
}

/// \brief Checks the orders that one worker got, in the order of their arrival, by the rule ONE for workers that do not check fences.
int breaksAt(Worker &worker, Record &record)
{
    int breaks = 0;
    const std::vector<Worker::Order> orders = worker.orders();
    std::int64_t highest = -1;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        if (orders[i].fence < highest) {
            ++breaks;
            record.line("ONE: " + worker.id + " got generation " + std::to_string(orders[i].fence) + " of " + orders[i].holder + " after "
                        + std::to_string(highest));
        }
        highest = std::max(highest, orders[i].fence);
        for (std::size_t j = i + 2; j < orders.size(); ++j) {
            const bool turns = orders[i].holder == orders[j].holder && orders[i + 1].holder != orders[i].holder;
            if (turns && orders[j].at - orders[i].at < LEASE_S) {
                ++breaks;
                record.line("ONE: holders took turns at " + worker.id + " within the lease");
            }
        }
    }
    return breaks;
}

int run(Record &record)
{
    const bool trouble = troubleIsOn();
    Store store;
    store.put("keyed.op", "config", CONFIGURATION);
    std::mutex mutex;
    int orders = 0;
    // A third of the orders gets no answer and is carried out 5 s later. The partitions are dealt anew once, after the first order.
    const auto onOrder = [&](Worker &, const Worker::Order &) {
        const std::lock_guard lock(mutex);
        ++orders;
        if (trouble && orders == 1) {
            store.rebalance();
            record.line("the store deals all partitions anew");
        }
        return !trouble || (orders != 1 && orders != 3);
    };
    std::vector<std::unique_ptr<Worker>> workers;
    const auto addEngine = [&](int number, const std::string &phase) {
        char name[16];
        std::snprintf(name, sizeof(name), "i-llm-%02d", number);
        workers.push_back(std::make_unique<Worker>(store, record, name, "llm", "127.0.0.1", phase, answerRead));
        workers.back()->onOrder(onOrder);
        workers.back()->start();
    };
    for (int i = 0; i < WORKERS; ++i) {
        addEngine(i, i < WORKERS_AT_PREFILL ? "prefill" : "decode");
    }
    workers.push_back(std::make_unique<Worker>(store, record, "i-app", "app", "127.0.0.1", "", answerRead));
    workers.back()->start();

    const Folder folder;
    const std::vector<Gateway::Place> places = placesOf(GATEWAYS);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const Gateway::Place &place : places) {
        const std::string address = store.openFor("127.0.0.1", freePort({"127.0.0.1"}));
        gateways.push_back(std::make_unique<Gateway>(place, folder.path, settingsFor(place, places, address)));
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(Ms(10'000))) {
            record.line("a gateway did not become ready");
            return EXIT_NOT_RUN;
        }
    }
    std::atomic<bool> sending = true;
    std::atomic<int> answered = 0;
    std::atomic<int> sent = 0;
    std::thread consumer([&] {
        for (int number = 0; sending; ++number) {
            const Gateway::Place &place = places[static_cast<std::size_t>(number % GATEWAYS)];
            const std::string id = "r" + std::to_string(number);
            const auto channel = connectTo(place.ip, place.front);
            Message answer;
            ++sent;
            if (channel
                && channel->write(
                    requestText("GET", "/read/x", {{"Host", "h.example"}, {"X-Mimosatally-Request-Id", id}, {"X-Mimosatally-Request-Deadline", "2000"}}, ""))
                && readMessage(*channel, answer, Ms(3000)) && answer.status() == 200) {
                ++answered;
            }
            pauseFor(Ms(30));
        }
    });
    pauseFor(Ms(6000));
    record.line("holder before: " + store.holder("orders") + ", orders so far: " + std::to_string(orders));
    for (int i = 0; i < NEW_WORKERS; ++i) {
        addEngine(WORKERS + i, "decode");
    }
    record.line(std::to_string(NEW_WORKERS) + " workers join at the stage decode");
    pauseFor(Ms(16'000));
    sending = false;
    consumer.join();
    record.line("consumers: " + std::to_string(sent) + " sent, " + std::to_string(answered) + " answered");
    int breaks = 0;
    int all = 0;
    for (const auto &worker : workers) {
        breaks += breaksAt(*worker, record);
        all += static_cast<int>(worker->orders().size());
    }
    gateways.clear();
    record.line(std::to_string(all) + " orders, " + std::to_string(breaks) + " break the rule ONE");
    if (all == 0) {
        return EXIT_NOT_RUN;
    }
    return breaks > 0 ? EXIT_BROKEN : EXIT_HELD;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
