#pragma once

#include <mimosatally/Config>

#include <iosfwd>
#include <string>
#include <vector>

namespace mimosatally::bench
{

constexpr std::size_t REGIONS = 3;
constexpr std::size_t ENGINES = 8;

/// \brief Engines are spread over the regions in turn, so that the last region has one fewer.
constexpr std::size_t regionOfEngine(std::size_t engine)
{
    return engine % REGIONS;
}

struct TraceRequest {
    Time at;
    /// \brief Index into Trace::contracts.
    std::size_t customer = 0;
    std::size_t region = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// \brief Prompts with the same prefix number share their first prefixBlocks cache blocks.
    std::uint64_t prefix = 0;
    std::int64_t prefixBlocks = 0;
    /// \brief True for a request of a surge; runs without the surge leave it out.
    bool surge = false;
};

struct Withdrawal {
    Time at;
    std::size_t engine = 0;
};

/// \brief Role of an engine at the start of a policy run; an engine without an entry starts mixed.
struct InitialRole {
    std::size_t engine = 0;
    EngineRole role = EngineRole::Mixed;
};

/// \brief Interval in which load reports have the given age when they arrive.
struct ReportDelay {
    Time from;
    Time to;
    Duration age;
};

/// \brief Requests and events of one run; the format is described in docs/policy.md.
struct Trace {
    std::vector<Contract> contracts;
    std::vector<TraceRequest> requests;
    std::vector<Withdrawal> withdrawals;
    std::vector<ReportDelay> reportDelays;
    std::vector<InitialRole> roles;

    /// \brief Time of the last request.
    [[nodiscard]] Time end() const;
    [[nodiscard]] Trace withoutSurge() const;
};

/// \brief Tokens per cache block.
constexpr std::int64_t BLOCK_TOKENS = 2000;

/// \brief Weighted tokens of a request at the default token costs.
std::int64_t weightOf(const TraceRequest &request);

/// \brief Hashes of the full prompt blocks of request \a index.
std::vector<std::uint64_t> blockHashes(const TraceRequest &request, std::size_t index);

/// \throws FindingsError with the lines that cannot be read.
Trace readTrace(std::istream &in, const std::string &name);

/// \brief Writes a generated trace; \a kind is steady, swing, shift, surge, withdrawal or stale.
/// \throws MalformedInputError if \a kind is unknown.
void generateTrace(std::ostream &out, const std::string &kind, std::uint64_t seed);

} // namespace mimosatally::bench
