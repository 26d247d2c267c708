#include "trace.h"

#include <array>
#include <cmath>
#include <ostream>
#include <random>

namespace mimosatally::bench
{

namespace
{
constexpr std::int64_t LENGTH_MS = 240'000;
constexpr std::int64_t SWING_PERIOD_MS = 120'000;
/// \brief Period after which the dominant phase of a shift trace changes between prefill and decode.
constexpr std::int64_t SHIFT_MS = 80'000;
constexpr std::int64_t SURGE_FROM_MS = 80'000;
constexpr std::int64_t SURGE_TO_MS = 140'000;

/// \brief Requests of one customer; token counts are uniformly distributed between the bounds.
struct Workload {
    const char *customer;
    double requestsPerSecond;
    std::int64_t minPrompt;
    std::int64_t maxPrompt;
    std::int64_t minOutput;
    std::int64_t maxOutput;
    /// \brief Number of conversation histories that prompts continue; 0 for prompts without a shared prefix.
    std::uint64_t prefixes;
    /// \brief Sign of the periodic rate variation, 0 for a constant rate; the rate of checks rises when that of notes falls.
    double swing;
};

// Checks have long prompts and answers of a few tokens, notes have short prompts and long answers; chat is in between.
constexpr std::array<Workload, 3> WORKLOADS = {{
    {"checks", 6.5, 3000, 10000, 2, 8, 30, 1},
    {"notes", 8.0, 100, 300, 100, 240, 0, -1},
    {"chat", 3.5, 1000, 5000, 40, 160, 30, 0},
}};

using Random = std::mt19937_64;

// The results of the standard distributions differ between libraries; those of these functions do not.
double uniformFraction(Random &random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

std::int64_t uniformInteger(Random &random, std::int64_t low, std::int64_t high)
{
    return low + static_cast<std::int64_t>(uniformFraction(random) * static_cast<double>(high - low + 1));
}

double requestRate(const Workload &workload, const std::string &kind, std::int64_t at)
{
    if (kind == "steady") {
        return workload.requestsPerSecond * 0.95;
    }
    if (kind == "shift") {
        const bool promptHeavy = at / SHIFT_MS % 2 == 0;
        const double busyFactor = workload.swing > 0 ? 2.0 : 2.5;
        return workload.swing == 0 ? workload.requestsPerSecond / 10 : workload.requestsPerSecond * (promptHeavy == (workload.swing > 0) ? busyFactor : 0.05);
    }
    const double phase = 2 * M_PI * static_cast<double>(at) / static_cast<double>(SWING_PERIOD_MS);
    return workload.requestsPerSecond * (1 + workload.swing * 0.6 * std::sin(phase));
}

void writeRequest(std::ostream &out, Random &random, const Workload &workload, std::int64_t at, bool surge)
{
    const std::int64_t prompt = uniformInteger(random, workload.minPrompt, workload.maxPrompt);
    const std::int64_t output = uniformInteger(random, workload.minOutput, workload.maxOutput);
    const std::uint64_t prefix = workload.prefixes == 0 ? 0 : random() % workload.prefixes + 1;
    const std::int64_t blocks = workload.prefixes == 0 ? 0 : prompt / BLOCK_TOKENS * 2 / 3;
    const std::uint64_t region = random() % REGIONS;
    // The offset keeps the prefix numbers of different customers apart. It is taken from the second letter of the name, so checks and
    // chat nevertheless share their prefixes.
    const std::uint64_t number = prefix == 0 ? 0 : prefix + 1000 * static_cast<std::uint64_t>(workload.customer[1]);
    out << "request " << at << ' ' << workload.customer << ' ' << region << ' ' << prompt << ' ' << output << ' ' << number << ' ' << blocks << ' '
        << (surge ? 1 : 0) << '\n';
}

void writeHeader(std::ostream &out, const std::string &kind, std::uint64_t seed)
{
    out << "# bench_policy --generate " << kind << " --seed " << seed << '\n';
    out << "contract checks 450000 2 2000\n";
    out << "contract notes 350000 1 4000\n";
    out << "contract chat 200000 0 6000\n";
    if (kind == "withdrawal") {
        out << "withdraw 100000 4\n";
    }
    if (kind == "shift") {
        // Roles left over from an earlier request mix: one engine of each region has the role that the first mix of the trace does not need.
        out << "role 0 decode\nrole 1 decode\nrole 2 decode\n";
    }
    if (kind == "stale") {
        out << "reports 60000 180000 6000\n";
    }
}
} // namespace

void generateTrace(std::ostream &out, const std::string &kind, std::uint64_t seed)
{
    if (kind != "steady" && kind != "swing" && kind != "shift" && kind != "surge" && kind != "withdrawal" && kind != "stale") {
        throw MalformedInputError("unknown kind of trace: " + kind);
    }
    writeHeader(out, kind, seed);
    Random random(seed);
    for (std::int64_t at = 0; at < LENGTH_MS; ++at) {
        for (const Workload &workload : WORKLOADS) {
            if (uniformFraction(random) < requestRate(workload, kind, at) / 1000) {
                writeRequest(out, random, workload, at, false);
            }
            const bool surging = kind == "surge" && workload.swing < 0 && at >= SURGE_FROM_MS && at < SURGE_TO_MS;
            if (surging && uniformFraction(random) < 3 * workload.requestsPerSecond / 1000) {
                writeRequest(out, random, workload, at, true);
            }
        }
    }
}

} // namespace mimosatally::bench
