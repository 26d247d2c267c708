#include "servicespeed.h"

#include "multiplydivide.h"

#include <algorithm>

namespace mimosatally::internal
{

namespace
{
constexpr std::int64_t MICROS_PER_SECOND = 1'000'000;
constexpr std::int64_t MICROS_PER_MILLISECOND = 1'000;
} // namespace

std::int64_t ServiceSpeed::nominalMicros(TokenUsage usage) const
{
    const std::int64_t prefill = usage.prompt.count() * MICROS_PER_SECOND / std::max<std::int64_t>(capacity_.prefillTokensPerSecond, 1);
    const std::int64_t decode = usage.output.count() * MICROS_PER_SECOND / std::max<std::int64_t>(capacity_.decodeTokensPerSecond, 1);
    return prefill + decode;
}

void ServiceSpeed::recordFull(Time now)
{
    fullSince_ = std::max(fullSince_, now);
}

void ServiceSpeed::recordCompletion(std::int64_t nominalMicros, Time now)
{
    elapsedSum_ += std::max(now - fullSince_, Duration(0)).count() * MICROS_PER_MILLISECOND;
    nominalSum_ += nominalMicros;
    fullSince_ = now;
    if (nominalSum_ > WINDOW_MICROS) {
        nominalSum_ /= 2;
        elapsedSum_ /= 2;
    }
}

Duration ServiceSpeed::expectedDuration(std::int64_t nominalMicros) const
{
    return Duration(multiplyDivide(nominalMicros, elapsedSum_, nominalSum_) / MICROS_PER_MILLISECOND);
}

} // namespace mimosatally::internal
