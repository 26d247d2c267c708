#include "enginemodel.h"
#include "phasetimes.h"

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
/// \brief Units in which the features of a prefill are of the order of 1.
constexpr double TOKENS_UNIT = 10'000;
constexpr double PAIRS_UNIT = 100'000'000;
constexpr double TRANSFER_UNIT_MS = 10;
/// \brief Coefficients before the first answer: milliseconds for the fixed part and for one unit of tokens and of pairs.
constexpr ExpectileFit::Vector INITIAL_PREFILL = {40, 80, 0};
constexpr ExpectileFit::Vector INITIAL_DECODE_PREFILL = {40, 160, 0};
constexpr ExpectileFit::Vector INITIAL_RUN = {15, TRANSFER_UNIT_MS, 0};
/// \brief A decode engine does a prefill at half the speed of a prefill engine (users' protocol, prefill and decode).
constexpr double DECODE_PREFILL_FACTOR = 2;
constexpr double INITIAL_MEAN_PREFILL_MS = 10;
constexpr double INITIAL_GENERATION_MS = 500;
constexpr double INITIAL_HIT_PROBABILITY = 0.7;
/// \brief Minimum difference between the times of a cache hit and a miss, as shares of the measured time and of the wait; with a smaller one the
/// measured time does not distinguish them.
constexpr double MIN_DIFFERENCE_TO_MEASURED = 0.2;
constexpr double MIN_DIFFERENCE_TO_WAIT = 0.5;

/// \brief A sample with a smaller share of engine time is ignored: it depends more on the predicted wait than on the engine.
constexpr double MIN_TRUSTED_SHARE = 0.5;

/// \brief Weight of a sample, which decreases with the share of its time that was spent waiting.
double sampleWeight(double expectedMs, double queueMs)
{
    constexpr double minMs = 1;
    const double share = (expectedMs + minMs) / (expectedMs + minMs + queueMs);
    return share < MIN_TRUSTED_SHARE ? 0 : share * share;
}

ExpectileFit::Vector featuresOf(const PrefillInput &input)
{
    const auto prompt = static_cast<double>(input.prompt.count());
    const double uncached = std::max(0.0, prompt - static_cast<double>(input.cached.count()));
    return {1, uncached / TOKENS_UNIT, uncached * (prompt - uncached / 2) / PAIRS_UNIT};
}

std::size_t indexOf(CacheEstimate estimate)
{
    return static_cast<std::size_t>(estimate);
}
} // namespace

EngineModel::EngineModel()
    : prefill_(INITIAL_PREFILL)
    , prefillAndRun_(INITIAL_DECODE_PREFILL)
    , run_(INITIAL_RUN)
    , prefillEngineMeanMs_(INITIAL_MEAN_PREFILL_MS)
    , decodeEngineMeanMs_(INITIAL_MEAN_PREFILL_MS)
    , generationMs_(INITIAL_GENERATION_MS)
{
    hitProbability_.fill(INITIAL_HIT_PROBABILITY);
}

const ExpectileFit &EngineModel::fitFor(AttemptWork work) const
{
    switch (work) {
    case AttemptWork::Prefill:
        return prefill_;
    case AttemptWork::PrefillAndRun:
        return prefillAndRun_;
    case AttemptWork::Run:
        break;
    }
    return run_;
}

double EngineModel::prefillMs(AttemptWork work, const PrefillInput &input) const
{
    if (work == AttemptWork::Run) {
        return 0;
    }
    ExpectileFit::Vector features = featuresOf(input);
    features[0] = 0;
    return fitFor(work).predict(features);
}

double EngineModel::firstByteMs(AttemptWork work) const
{
    return fitFor(work).predict({1, 0, 0});
}

double EngineModel::transferMs(double nominalMs) const
{
    return run_.predict({0, nominalMs / TRANSFER_UNIT_MS, 0});
}

double EngineModel::meanPrefillMs(EnginePhase phase) const
{
    return phase == EnginePhase::Prefill ? prefillEngineMeanMs_ : decodeEngineMeanMs_;
}

double EngineModel::generationMs() const
{
    return generationMs_;
}

double EngineModel::hitProbability(CacheEstimate estimate) const
{
    return estimate == CacheEstimate::None ? 0 : hitProbability_.at(indexOf(estimate));
}

void EngineModel::recordPrefillStart(EnginePhase phase, double prefillMs)
{
    updateMean(phase == EnginePhase::Prefill ? prefillEngineMeanMs_ : decodeEngineMeanMs_, prefillMs);
}

void EngineModel::recordGeneration(double milliseconds)
{
    updateMean(generationMs_, milliseconds);
}

EngineTimes EngineModel::times() const
{
    constexpr double thousand = 1e3;
    constexpr double million = 1e6;
    EngineTimes times;
    times.samples = samples_;
    times.prefillFixedMs = prefill_.coefficients()[0];
    times.prefillMsPerThousandTokens = prefill_.coefficients()[1] * thousand / TOKENS_UNIT;
    times.prefillMsPerMillionPairs = prefill_.coefficients()[2] * million / PAIRS_UNIT;
    times.decodePrefillMsPerThousandTokens = prefillAndRun_.coefficients()[1] * thousand / TOKENS_UNIT;
    times.firstEventMs = run_.coefficients()[0];
    times.generationMs = generationMs_;
    times.sentHit = hitProbability(CacheEstimate::Sent);
    times.fleetAffinityHit = hitProbability(CacheEstimate::FleetAffinity);
    times.regionAffinityHit = hitProbability(CacheEstimate::RegionAffinity);
    return times;
}

double EngineModel::serviceMs(const Sample &sample) const
{
    const Tokens cached = sample.work != AttemptWork::Run && isCacheHit(sample) ? sample.cache.tokens : Tokens(0);
    return prefillMs(sample.work, {sample.prompt, cached}) + firstByteMs(sample.work);
}

void EngineModel::recordFirstByte(const Sample &sample)
{
    ++samples_;
    if (sample.work == AttemptWork::Run) {
        recordRun(sample);
    } else {
        recordPrefill(sample);
    }
}

void EngineModel::recordRun(const Sample &sample)
{
    const ExpectileFit::Vector features = {1, sample.transferMs / TRANSFER_UNIT_MS, 0};
    const double expected = run_.predict(features);
    run_.add(features, std::max(0.0, sample.measuredMs - sample.queueMs), sampleWeight(expected, sample.queueMs));
}

bool EngineModel::isCacheHit(const Sample &sample) const
{
    const double netMs = sample.measuredMs - sample.queueMs - firstByteMs(sample.work);
    const double hitMs = prefillMs(sample.work, {sample.prompt, sample.cache.tokens});
    const double missMs = prefillMs(sample.work, {sample.prompt, Tokens(0)});
    return std::abs(netMs - hitMs) <= std::abs(netMs - missMs);
}

void EngineModel::recordPrefill(const Sample &sample)
{
    const bool hit = isCacheHit(sample);
    const double hitMs = prefillMs(sample.work, {sample.prompt, sample.cache.tokens});
    const double missMs = prefillMs(sample.work, {sample.prompt, Tokens(0)});
    if (sample.cache.estimate != CacheEstimate::None
        && missMs - hitMs >= MIN_DIFFERENCE_TO_MEASURED * sample.measuredMs + MIN_DIFFERENCE_TO_WAIT * sample.queueMs) {
        updateMean(hitProbability_.at(indexOf(sample.cache.estimate)), hit ? 1 : 0);
    }
    const ExpectileFit::Vector features = featuresOf({sample.prompt, hit ? sample.cache.tokens : Tokens(0)});
    ExpectileFit &fit = sample.work == AttemptWork::Prefill ? prefill_ : prefillAndRun_;
    const double expected = fit.predict(features);
    fit.add(features, std::max(0.0, sample.measuredMs - sample.queueMs), sampleWeight(expected, sample.queueMs));
    if (sample.work == AttemptWork::Prefill) {
        ExpectileFit::Vector prior = prefill_.coefficients();
        prior[1] *= DECODE_PREFILL_FACTOR;
        prior[2] *= DECODE_PREFILL_FACTOR;
        prefillAndRun_.setPrior(prior);
    }
}

} // namespace mimosatally::internal
