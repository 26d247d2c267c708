// Measures the control overhead of an entry and its agents while no request runs: processor time, memory, and bytes on the
// RPC connections, for increasing numbers of agents.
//
// Usage: bench_control [SECONDS]; it starts the programs of its own build directory and reads TCP counters with `ss`. It reports
// figures and has no pass or fail.

#include "../../tests/process/testfleet.h"

#include <cstdio>
#include <iostream>
#include <regex>
#include <thread>
#include <unistd.h>

using namespace mimosatally;
using namespace mimosatally::test;

namespace
{
constexpr int DEFAULT_SECONDS = 10;
constexpr std::array AGENT_COUNTS = {4, 16, 40};
constexpr std::array CUSTOMER_COUNTS = {1, 120, 1200};

/// \brief Processor time that a process has used since its start, and its resident memory.
struct ProcessUsage {
    double cpuSeconds = 0;
    long residentKib = 0;
};

ProcessUsage usageOf(pid_t pid)
{
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    // The name in parentheses can contain spaces; user and system time are fields 14 and 15.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    ProcessUsage usage;
    usage.cpuSeconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            usage.residentKib = std::stol(line.substr(6));
        }
    }
    return usage;
}

/// \brief Bytes sent and received on the established connections to an agent's RPC address.
long connectionBytes(const std::string &address)
{
    const std::string port = address.substr(address.rfind(':') + 1);
    FILE *pipe = popen(("ss -tin state established '( sport = :" + port + " )'").c_str(), "r");
    std::string text;
    std::array<char, 4096> buffer;
    while (pipe != nullptr && std::fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
        text += buffer.data();
    }
    pclose(pipe);
    long bytes = 0;
    const std::regex counter("bytes_(?:sent|received):([0-9]+)");
    for (std::sregex_iterator match(text.begin(), text.end(), counter), end; match != end; ++match) {
        bytes += std::stol((*match)[1]);
    }
    return bytes;
}

void measure(int agents, int customers, int seconds)
{
    TestFleet fleet;
    for (int i = 0; i < customers; ++i) {
        fleet.addCustomer("customer-" + std::to_string(i), "0.05%", "10s");
    }
    for (int i = 0; i < agents; ++i) {
        fleet.addEngine("engine-" + std::to_string(i));
    }
    fleet.publish();
    for (int i = 0; i < agents; ++i) {
        fleet.startAgent("engine-" + std::to_string(i));
    }
    TestProgram &entry = fleet.startEntry("entry-1");
    std::this_thread::sleep_for(std::chrono::seconds(2));

    const ProcessUsage entryBefore = usageOf(entry.id());
    const ProcessUsage agentBefore = usageOf(fleet.agent("engine-0").id());
    const long bytesBefore = connectionBytes(fleet.agentAddress("engine-0"));
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const ProcessUsage entryAfter = usageOf(entry.id());
    const ProcessUsage agentAfter = usageOf(fleet.agent("engine-0").id());
    const long bytesAfter = connectionBytes(fleet.agentAddress("engine-0"));

    std::cout << "agents " << agents << " customers " << customers << ": entry " << (entryAfter.cpuSeconds - entryBefore.cpuSeconds) * 1000 / seconds
              << " ms CPU/s, " << entryAfter.residentKib << " KiB; agent " << (agentAfter.cpuSeconds - agentBefore.cpuSeconds) * 1000 / seconds << " ms CPU/s, "
              << agentAfter.residentKib << " KiB; link " << static_cast<double>(bytesAfter - bytesBefore) / seconds << " B/s\n";
}
} // namespace

int main(int argc, char **argv)
{
    const int seconds = argc > 1 ? std::stoi(argv[1]) : DEFAULT_SECONDS;
    for (const int customers : CUSTOMER_COUNTS) {
        for (const int agents : AGENT_COUNTS) {
            measure(agents, customers, seconds);
        }
    }
    return 0;
}
