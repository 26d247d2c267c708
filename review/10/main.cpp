/// \file
/// \brief All gateways are killed at the same moment while workers of two software versions serve; consumers take their streams up again.

#include "../harness-2/streamworker.h"

namespace
{
using namespace review;

/// \brief The sheet of the site: three machines, eight workers, streams with a time budget of 15 s.
constexpr int GATEWAYS = 3;
constexpr int WORKERS = 8;
constexpr Milliseconds BUDGET = Milliseconds(15'000);
constexpr Milliseconds HEARTBEAT_INTERVAL = Milliseconds(1200);
constexpr int STREAMS = 48;
/// \brief Events of a stream and the pause between them: 8 s.
constexpr StreamWorker::Shape SHAPE = {320, Milliseconds(25)};
constexpr Milliseconds KILL_AFTER = Milliseconds(2500);
/// \brief Time until the processes are started again, as in the days of the site.
constexpr Milliseconds DOWN_TIME = Milliseconds(730);
/// \brief A machine is in touch `contactMs` after its processes were started.
constexpr Milliseconds CONTACT = Milliseconds(4000);
constexpr int MIN_STREAMS = 12;
constexpr Milliseconds RETRY_AFTER = Milliseconds(500);

class Case
{
public:
    explicit Case(const std::string &recordPath)
        : record_(recordPath)
    {
        record_.line(trouble_ ? "with the disruption" : "without the disruption");
        for (int i = 1; i <= WORKERS; ++i) {
            workers_.push_back(std::make_unique<StreamWorker>("worker-" + std::to_string(i), i % 2 == 0 ? "v1" : "v2", SHAPE, record_));
        }
        writeEntries();
        store_.put("keyed.op",
                   "config",
                   configuration(1, nlohmann::json::array({route("notes", "streaming", "notes", 15'000, true)}), {{{"name", "notes"}, {"maxConns", 600}}}));
        const int notices = freePort();
        std::vector<std::string> seeds;
        for (int i = 1; i <= GATEWAYS; ++i) {
            const std::string name = "g" + std::to_string(i);
            directory_.expectProgram(name);
            gateways_.push_back(
                std::make_unique<Gateway>(directory_.path(), Gateway::Settings {name, "127.0.0." + std::to_string(10 + i), notices, store_.port(), {}}));
            seeds.push_back(gateways_.back()->control());
        }
        for (const auto &gateway : gateways_) {
            gateway->setPeers(seeds);
            gateway->start();
        }
    }

    int run()
    {
        if (!awaitReady()) {
            return 2;
        }
        std::thread heartbeats([this] {
            while (!stopped_) {
                pauseFor(HEARTBEAT_INTERVAL);
                writeEntries();
            }
        });
        pauseFor(CONTACT);
        std::vector<std::thread> consumers;
        std::vector<ReceivedStream> begun(STREAMS);
        for (std::size_t i = 0; i < STREAMS; ++i) {
            consumers.emplace_back([this, i, &begun] {
                // Without the disruption a consumer leaves in the middle of its stream, as if its own channel were lost.
                begun[i] = readStream(*gateways_[i % GATEWAYS], "c" + std::to_string(i), "", 0, trouble_ ? BUDGET : KILL_AFTER, !trouble_);
            });
        }
        pauseFor(KILL_AFTER);
        if (trouble_) {
            killAll();
        }
        for (std::thread &consumer : consumers) {
            consumer.join();
        }
        if (!awaitReady()) {
            return 2;
        }
        pauseFor(CONTACT + Milliseconds(500));
        return takeUp(begun, heartbeats);
    }

private:
    int takeUp(const std::vector<ReceivedStream> &begun, std::thread &heartbeats)
    {
        std::atomic<int> takenUp = 0;
        std::atomic<int> wentOn = 0;
        std::atomic<int> newStreams = 0;
        std::vector<std::thread> consumers;
        for (std::size_t i = 0; i < STREAMS; ++i) {
            consumers.emplace_back([&, i] {
                pauseFor(Milliseconds(static_cast<int>(i) * 10));
                const Gateway &gateway = *gateways_[(i + 1) % GATEWAYS];
                const std::string id = "c" + std::to_string(i);
                if (begun[i].lastEvent > 0 && !begun[i].complete) {
                    ReceivedStream rest = readStream(gateway, id + "-again", id, begun[i].lastEvent, BUDGET - Milliseconds(8000));
                    if (rest.status == 503) {
                        // The one retry of these consumers, later than the answer asks for.
                        pauseFor(RETRY_AFTER);
                        const Gateway &next = *gateways_[(i + 2) % GATEWAYS];
                        rest = readStream(next, id + "-retry", id, begun[i].lastEvent, BUDGET - Milliseconds(9000));
                    }
                    ++takenUp;
                    wentOn += rest.lastEvent > begun[i].lastEvent ? 1 : 0;
                    record_.line(id + ", begun by version " + begun[i].versions.front() + ", is taken up after event " + std::to_string(begun[i].lastEvent)
                                 + ": status " + std::to_string(rest.status) + ", last event " + std::to_string(rest.lastEvent));
                }
                newStreams += readStream(gateway, id + "-new", "", 0, BUDGET).lastEvent > 0 ? 1 : 0;
            });
        }
        for (std::thread &consumer : consumers) {
            consumer.join();
        }
        stopped_ = true;
        heartbeats.join();
        gateways_.clear();
        record_.line(std::to_string(wentOn) + " of " + std::to_string(takenUp) + " streams that were taken up went on; " + std::to_string(newStreams) + " of "
                     + std::to_string(STREAMS) + " new ones began");
        if (takenUp < MIN_STREAMS || newStreams == 0) {
            return 2;
        }
        const double goOn = static_cast<double>(wentOn) / takenUp;
        const double begin = static_cast<double>(newStreams) / STREAMS;
        record_.line(goOn < begin / 2 ? "LOST is broken" : "LOST holds");
        return goOn < begin / 2 ? 1 : 0;
    }

    void killAll()
    {
        for (const auto &gateway : gateways_) {
            gateway->signal(SIGKILL);
        }
        record_.line("all gateways are killed");
        pauseFor(DOWN_TIME);
        for (const auto &gateway : gateways_) {
            static_cast<void>(gateway->ended());
            gateway->start();
        }
        record_.line("all gateways are started again");
    }

    bool awaitReady()
    {
        return std::ranges::all_of(gateways_, [](const auto &gateway) {
            return gateway->awaitReady();
        });
    }

    void writeEntries()
    {
        for (const auto &worker : workers_) {
            store_.put("keyed.servers", worker->id(), worker->heartbeat());
        }
    }

    Record record_;
    const bool trouble_ = hasTrouble();
    Directory directory_;
    Store store_;
    std::vector<std::unique_ptr<StreamWorker>> workers_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::atomic<bool> stopped_ = false;
};
} // namespace

int main(int argc, char **argv)
{
    int result = 2;
    try {
        Case theCase(argc > 1 ? argv[1] : "record.txt");
        result = theCase.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    // The threads of the stand-ins still run.
    std::fflush(nullptr);
    std::_Exit(result);
}
