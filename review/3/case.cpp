// A part of a prompt crashes each worker that begins to write an answer on it, after its first event. See claim.txt.

#include "../standins/fleet.h"

int main(int count, char **arguments)
{
    using namespace review;
    return runCase(count, arguments, [](Fleet &fleet) {
        constexpr int workers = 8;
        constexpr int events = 20;
        constexpr std::int64_t downMs = 3000;
        constexpr std::int64_t contactMs = 4000;
        constexpr std::size_t crashesBefore = 5;
        constexpr int allowed = 3;
        constexpr Milliseconds length(40'000);
        // With 0 the workers end before their first event.
        const char *crashEvents = std::getenv("EVENTS_BEFORE_CRASH");
        for (int i = 1; i <= workers; ++i) {
            fleet.startWorker("w" + std::to_string(i), true, {"gap=20", std::string("crash_events=") + (crashEvents == nullptr ? "1" : crashEvents)});
        }
        if (!fleet.startGateways(3)) {
            return CANNOT_RUN;
        }
        pauseFor(Milliseconds(6000));
        Consumers consumers(fleet.record);
        std::atomic<bool> stopping = false;
        std::thread restarts([&] {
            std::map<std::string, std::int64_t> downSince;
            while (!stopping) {
                for (Fleet::WorkerSlot &worker : fleet.workers()) {
                    if (fleet.workerRuns(worker)) {
                        downSince.erase(worker.name);
                    } else if (nowMs() - downSince.try_emplace(worker.name, nowMs()).first->second >= downMs) {
                        fleet.restartWorker(worker);
                    }
                }
                pauseFor(Milliseconds(20));
            }
        });
        std::set<std::string> sound;
        const std::int64_t end = nowMs() + length.count();
        auto gateway = fleet.gateways().begin();
        for (int i = 0; nowMs() < end; ++i) {
            const bool crashes = hasTrouble() && i >= 100 && i % 10 == 0;
            Request request;
            request.id = newRequestId();
            request.path = "/credit-check/2f";
            // All requests share their first part; the second one is the crashing part or one of a few sound ones.
            request.fields =
                generationFields("5c1e07a2:200," + (crashes ? std::string(CRASHING_PART) : "b" + std::to_string(i % 7)) + ":200", events, request.id);
            if (!crashes) {
                sound.insert(request.id);
            }
            consumers.start(fleet.front(*gateway), std::move(request));
            gateway = std::next(gateway) == fleet.gateways().end() ? fleet.gateways().begin() : std::next(gateway);
            pauseFor(Milliseconds(50));
        }
        const std::map<std::string, Outcome> &outcomes = consumers.finish();
        stopping = true;
        restarts.join();
        std::vector<std::int64_t> crashTimes;
        std::int64_t bound = 0;
        int reached = 0;
        int late = 0;
        for (const Fleet::WorkerLine &line : fleet.workerLines()) {
            if (line.what == "crashed") {
                crashTimes.push_back(line.time);
                bound = crashTimes.size() == crashesBefore ? line.time + contactMs : bound;
            }
            // A prefill writes no answer; only requests that run count here.
            if (line.what == "ran" && !sound.contains(line.request)) {
                ++reached;
                late += bound != 0 && line.time > bound ? 1 : 0;
            }
        }
        const auto served = std::ranges::count_if(outcomes, [&sound](const auto &outcome) {
            return sound.contains(outcome.first) && outcome.second.status == 200 && outcome.second.complete;
        });
        if (served == 0) {
            return CANNOT_RUN;
        }
        return verdict(fleet.record,
                       late > allowed,
                       std::to_string(reached) + " requests with the part ran at workers and crashed " + std::to_string(crashTimes.size()) + "; "
                           + std::to_string(late) + " of them began later than contactMs after the fifth crash; of " + std::to_string(sound.size())
                           + " sound requests " + std::to_string(served) + " were answered");
    });
}
