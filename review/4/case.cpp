// A worker sends bytes without end where the length of a chunk is due. See claim.txt.

#include "../standins/fleet.h"

int main(int count, char **arguments)
{
    using namespace review;
    return runCase(count, arguments, [](Fleet &fleet) {
        constexpr int workers = 8;
        constexpr int ends = 3;
        constexpr Milliseconds restartDelay(500);
        constexpr Milliseconds length(80'000);
        for (int i = 1; i <= workers; ++i) {
            fleet.startWorker("w" + std::to_string(i), true, {"gap=20", "floods=1"});
        }
        for (int i = 1; i <= 3; ++i) {
            fleet.startWorker("a" + std::to_string(i), false, {});
        }
        if (!fleet.startGateways(3)) {
            return CANNOT_RUN;
        }
        pauseFor(Milliseconds(6000));
        Consumers consumers(fleet.record);
        std::atomic<bool> stopping = false;
        // The platform kills a process that exceeds its memory and starts it again after a short delay.
        std::thread platform([&] {
            std::size_t largest = 0;
            while (!stopping) {
                for (Fleet::GatewaySlot &gateway : fleet.gateways()) {
                    const std::size_t memory = gateway.process->memoryMb();
                    largest = std::max(largest, memory);
                    if (memory > Fleet::MEMORY_MB) {
                        gateway.process->end(SIGKILL);
                        ++gateway.exceeded;
                        fleet.record.write("gateway " + gateway.name + " exceeds its memory with " + std::to_string(memory) + " MB and is killed");
                        pauseFor(restartDelay);
                        fleet.startGateway(gateway);
                    } else if (!gateway.process->runs()) {
                        fleet.record.write("gateway " + gateway.name + " has ended by itself");
                        pauseFor(restartDelay);
                        fleet.startGateway(gateway);
                    }
                }
                pauseFor(Milliseconds(10));
            }
            fleet.record.write("largest memory of a gateway: " + std::to_string(largest) + " MB");
        });
        pauseFor(Milliseconds(1000));
        const auto endedOften = [&fleet] {
            return std::ranges::count_if(fleet.gateways(), [](const Fleet::GatewaySlot &gateway) {
                return gateway.exceeded >= ends;
            });
        };
        const std::int64_t end = nowMs() + length.count();
        auto gateway = fleet.gateways().begin();
        for (int i = 0; nowMs() < end && endedOften() < 2; ++i) {
            if (i == 100 && hasTrouble()) {
                fleet.beginTrouble(fleet.newestStreamer());
            }
            Request request;
            request.id = newRequestId();
            const bool isOrder = i % 2 == 1;
            request.path = isOrder ? "/place-order/2f" : "/grade-chat/2f";
            request.deadlineMs = isOrder ? 2000 : 15'000;
            request.fields = isOrder ? "" : generationFields("5c1e07a2:300", 20, request.id);
            request.body = isOrder ? "two bags" : "";
            consumers.start(fleet.front(*gateway), std::move(request));
            gateway = std::next(gateway) == fleet.gateways().end() ? fleet.gateways().begin() : std::next(gateway);
            pauseFor(Milliseconds(40));
        }
        const std::map<std::string, Outcome> &outcomes = consumers.finish();
        stopping = true;
        platform.join();
        fleet.workerLines();
        const auto answered = std::ranges::count_if(outcomes, [](const auto &outcome) {
            return outcome.second.status == 200 && outcome.second.complete;
        });
        const auto unanswered = std::ranges::count_if(outcomes, [](const auto &outcome) {
            return outcome.second.cut;
        });
        if (answered == 0) {
            return CANNOT_RUN;
        }
        std::string counts;
        for (const Fleet::GatewaySlot &slot : fleet.gateways()) {
            counts += (counts.empty() ? "" : ", ") + slot.name + ' ' + std::to_string(slot.exceeded);
        }
        return verdict(fleet.record,
                       endedOften() >= 2,
                       "processes that exceeded " + std::to_string(Fleet::MEMORY_MB) + " MB: " + counts + "; of " + std::to_string(outcomes.size())
                           + " requests " + std::to_string(answered) + " were answered, and " + std::to_string(unanswered)
                           + " channels ended without an answer");
    });
}
