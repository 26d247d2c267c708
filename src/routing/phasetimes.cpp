#include "phasetimes.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Round trips (docs/design.md, section 1.2).
constexpr double SAME_DATA_CENTRE_MS = 1;
constexpr double SAME_REGION_MS = 3;
constexpr double OTHER_REGION_MS = 25;
constexpr double LEARNING_RATE = 0.1;
} // namespace

std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

std::vector<std::uint64_t> prefixHashesOf(const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> prefixHashes;
    std::uint64_t hash = 0;
    for (const PromptPart &part : parts) {
        hash = mix(hash ^ mix(part.id + static_cast<std::uint64_t>(part.tokens.count())));
        prefixHashes.push_back(hash);
    }
    return prefixHashes;
}

double roundTripMs(Distance distance)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return SAME_DATA_CENTRE_MS;
    case Distance::SameRegion:
        return SAME_REGION_MS;
    case Distance::OtherRegion:
        return OTHER_REGION_MS;
    }
    return OTHER_REGION_MS;
}

double toMs(Duration duration)
{
    return static_cast<double>(duration.count());
}

double freshness(Time reportedAt, Time now, Duration lifetime)
{
    if (reportedAt == Time::min() || now - reportedAt >= lifetime) {
        return 0;
    }
    return 1 - toMs(now - reportedAt) / toMs(lifetime);
}

void learn(double &mean, double sample)
{
    mean += LEARNING_RATE * (sample - mean);
}

std::uint64_t hashOf(const EndpointId &endpoint)
{
    std::uint64_t hash = 0;
    for (const char letter : endpoint.value()) {
        hash = mix(hash ^ static_cast<unsigned char>(letter));
    }
    return hash;
}

} // namespace mimosatally::internal
