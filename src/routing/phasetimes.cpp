#include "phasetimes.h"

namespace mimosatally::internal
{

namespace
{
/// \brief Round-trip times (docs/design.md, section 1.2).
constexpr double SAME_DATA_CENTRE_MS = 1;
constexpr double SAME_REGION_MS = 3;
constexpr double OTHER_REGION_MS = 25;
/// \brief Weight of a new sample in a moving average.
constexpr double MEAN_SAMPLE_WEIGHT = 0.1;
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

void updateMean(double &mean, double sample)
{
    mean += MEAN_SAMPLE_WEIGHT * (sample - mean);
}

std::uint64_t hashOf(const EndpointId &endpoint)
{
    std::uint64_t hash = 0;
    for (const char character : endpoint.value()) {
        hash = mix(hash ^ static_cast<unsigned char>(character));
    }
    return hash;
}

} // namespace mimosatally::internal
