#include "../harness-3/bed.h"

using namespace bed;

namespace
{
constexpr int GATEWAYS = 4;
/// \brief Gateway that is watched; the seeds are the first three.
constexpr std::size_t WATCHED = 3;
constexpr double CONFIG_APPLY_S = 2.5;
constexpr double CONTACT_S = 4.0;
/// \brief A machine that lost power is back after this time; the limit is 3.5 s.
constexpr double POWER_LOST_S = 3.3;

std::string configuration(int version, bool withNewRoute)
{
    const auto route = [](const std::string &name) {
        return R"({"name":")" + name + R"(","host":"h.example","pathPrefix":"/)" + name
               + R"(/","service":"app","kind":"safe","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":2,"priority":1})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route("read") + (withNewRoute ? "," + route("new") : "")
           + R"(],"services":[{"name":"app","healthPath":"/health","maxConns":200}],"limits":{"maxHeaderBytes":32768,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

bool answer(Worker &, Channel &channel, const Message &request)
{
    return channel.write(
        answerText(200, {{"X-Mimosatally-Request-Id", request.field("X-Mimosatally-Request-Id")}, {"X-Mimosatally-Response-Seal", "1.1.1"}}, "done"));
}

int run(Record &record)
{
    const bool trouble = troubleIsOn();
    Store store;
    store.put("keyed.op", "config", configuration(1, false));
    Worker worker(store, record, "i-app", "app", "127.0.0.1", "", answer);
    worker.start();
    const Folder folder;
    const std::vector<Gateway::Place> places = placesOf(GATEWAYS);
    // The watched gateway reaches the seeds through relays, on which the one that it asks first can lose power.
    std::vector<Gateway::Place> seenByWatched = places;
    std::vector<std::unique_ptr<Relay>> relays;
    for (std::size_t i = 0; i < WATCHED; ++i) {
        const int port = freePort({"127.0.0.1"});
        relays.push_back(std::make_unique<Relay>("127.0.0.1", port, places[i].ip, places[i].control));
        seenByWatched[i].ip = "127.0.0.1";
        seenByWatched[i].control = port;
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (std::size_t i = 0; i < places.size(); ++i) {
        const std::string address = store.openFor("127.0.0.1", freePort({"127.0.0.1"}));
        gateways.push_back(std::make_unique<Gateway>(places[i], folder.path, settingsFor(places[i], i == WATCHED ? seenByWatched : places, address)));
    }
    for (const auto &gateway : gateways) {
        if (!gateway->awaitReady(Ms(10'000))) {
            return EXIT_NOT_RUN;
        }
    }
    pauseFor(Ms(7000));
    // The channels end while a read of the configuration waits, which it does for 1.5 s of each 1.6 s.
    while (store.waits(WATCHED)) {
        pauseFor(Ms(2));
    }
    while (!store.waits(WATCHED)) {
        pauseFor(Ms(2));
    }
    pauseFor(Ms(100));
    std::atomic<int> lost = -1;
    std::atomic<double> lostAt = 0;
    bool back = false;
    if (trouble) {
        for (std::size_t i = 0; i < relays.size(); ++i) {
            relays[i]->fallSilentAfter(1, [&, i] {
                for (const auto &relay : relays) {
                    relay->stayOpen();
                }
                gateways[i]->kill(SIGKILL);
                lostAt = record.seconds();
                lost = static_cast<int>(i);
                record.line(places[i].name + " loses power");
            });
        }
        store.endChannels(WATCHED);
        record.line("the store ends the channels of " + places[WATCHED].name + " and accepts new ones");
    }
    const double cutAt = record.seconds();
    store.put("keyed.op", "config", configuration(4, true));
    const double acknowledged = record.seconds();
    record.line("configuration 4 with the new route is acknowledged");
    int late = 0;
    int served = 0;
    for (int number = 0; number < 80; ++number) {
        if (lost >= 0 && !back && record.seconds() > lostAt + POWER_LOST_S) {
            const auto place = static_cast<std::size_t>(lost);
            gateways[place]->wait();
            relays[place]->passAgain();
            gateways[place]->start();
            record.line(places[place].name + " starts again");
            back = true;
        }
        const double sent = record.seconds();
        const auto channel = connectTo(places[WATCHED].ip, places[WATCHED].front);
        Message message;
        const Fields fields = {{"Host", "h.example"}, {"X-Mimosatally-Request-Id", "r" + std::to_string(number)}, {"X-Mimosatally-Request-Deadline", "2000"}};
        const bool answered = channel && channel->write(requestText("GET", "/new/x", fields, "")) && readMessage(*channel, message, Ms(3000));
        const int status = answered ? message.status() : 0;
        const bool counts = sent > acknowledged + CONFIG_APPLY_S && sent > cutAt + CONTACT_S;
        late += counts && status == 404 ? 1 : 0;
        served += status == 200 ? 1 : 0;
        if (number % 5 == 0 || (counts && status == 404)) {
            record.line("GET /new/x at " + places[WATCHED].name + ": " + std::to_string(status));
        }
        pauseFor(Ms(100));
    }
    gateways.clear();
    record.line(std::to_string(served) + " of 80 served; " + std::to_string(late)
                + " refused with 404 later than configApplyMs after the acknowledgement, in touch");
    return late > 0 ? EXIT_BROKEN : EXIT_HELD;
}
} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
