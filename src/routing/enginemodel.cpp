#include "enginemodel.h"
#include "phasetimes.h"

#include <algorithm>
#include <cmath>

namespace mimosatally::internal
{

namespace
{
/// \brief Units in which the features of a reading are of the order of 1.
constexpr double TOKENS_UNIT = 10'000;
constexpr double PAIRS_UNIT = 100'000'000;
constexpr double TRANSFER_UNIT_MS = 10;
/// \brief An engine before its first answer: milliseconds for the fixed part and for one unit of tokens and of pairs.
constexpr ExpectileFit::Vector INITIAL_READING = {40, 80, 0};
constexpr ExpectileFit::Vector INITIAL_DECODE_READING = {40, 160, 0};
constexpr ExpectileFit::Vector INITIAL_RUN = {15, TRANSFER_UNIT_MS, 0};
/// \brief A decode engine reads at half the speed of a prefill engine (users' protocol, prefill and decode).
constexpr double DECODE_READING_FACTOR = 2;
constexpr double INITIAL_MEAN_READING_MS = 10;
constexpr double INITIAL_GENERATION_MS = 500;
constexpr double INITIAL_HIT_PROBABILITY = 0.7;
/// \brief Whether an engine had a prefix is not told by times that differ by less than these parts of the measured time and of the wait.
constexpr double LEAST_DIFFERENCE = 0.2;
constexpr double LEAST_DIFFERENCE_TO_WAIT = 0.5;

/// \brief A sample whose time was mostly spent waiting says more of the predicted wait than of the engine.
constexpr double LEAST_TRUSTED_PART = 0.5;

/// \brief Trust in a sample, which falls with the part of its time that was spent waiting.
double trustIn(double expectedMs, double queueMs)
{
    constexpr double leastMs = 1;
    const double part = (expectedMs + leastMs) / (expectedMs + leastMs + queueMs);
    return part < LEAST_TRUSTED_PART ? 0 : part * part;
}

ExpectileFit::Vector featuresOf(const Reading &reading)
{
    const auto prompt = static_cast<double>(reading.prompt.count());
    const double unread = std::max(0.0, prompt - static_cast<double>(reading.cached.count()));
    return {1, unread / TOKENS_UNIT, unread * (prompt - unread / 2) / PAIRS_UNIT};
}

std::size_t indexOf(CacheEstimate belief)
{
    return static_cast<std::size_t>(belief);
}
} // namespace

EngineModel::EngineModel()
    : prefill_(INITIAL_READING)
    , prefillAndRun_(INITIAL_DECODE_READING)
    , run_(INITIAL_RUN)
    , meanPrefillReadingMs_(INITIAL_MEAN_READING_MS)
    , meanDecodeReadingMs_(INITIAL_MEAN_READING_MS)
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

double EngineModel::readingMs(AttemptWork work, const Reading &reading) const
{
    if (work == AttemptWork::Run) {
        return 0;
    }
    ExpectileFit::Vector features = featuresOf(reading);
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

double EngineModel::meanReadingMs(EnginePhase phase) const
{
    return phase == EnginePhase::Prefill ? meanPrefillReadingMs_ : meanDecodeReadingMs_;
}

double EngineModel::generationMs() const
{
    return generationMs_;
}

double EngineModel::hitProbability(CacheEstimate belief) const
{
    return belief == CacheEstimate::None ? 0 : hitProbability_.at(indexOf(belief));
}

void EngineModel::observeWork(EnginePhase phase, double readingMs)
{
    learn(phase == EnginePhase::Prefill ? meanPrefillReadingMs_ : meanDecodeReadingMs_, readingMs);
}

void EngineModel::observeGeneration(double milliseconds)
{
    learn(generationMs_, milliseconds);
}

EngineTimes EngineModel::times() const
{
    constexpr double thousand = 1e3;
    constexpr double million = 1e6;
    EngineTimes times;
    times.samples = samples_;
    times.readingFixedMs = prefill_.coefficients()[0];
    times.readingMsPerThousandTokens = prefill_.coefficients()[1] * thousand / TOKENS_UNIT;
    times.readingMsPerMillionPairs = prefill_.coefficients()[2] * million / PAIRS_UNIT;
    times.decodeReadingMsPerThousandTokens = prefillAndRun_.coefficients()[1] * thousand / TOKENS_UNIT;
    times.firstEventMs = run_.coefficients()[0];
    times.generationMs = generationMs_;
    times.sentHit = hitProbability(CacheEstimate::Sent);
    times.fleetHomeHit = hitProbability(CacheEstimate::FleetAffinity);
    times.regionHomeHit = hitProbability(CacheEstimate::RegionAffinity);
    return times;
}

void EngineModel::observe(const Sample &sample)
{
    ++samples_;
    if (sample.work == AttemptWork::Run) {
        observeRun(sample);
    } else {
        observeReading(sample);
    }
}

void EngineModel::observeRun(const Sample &sample)
{
    const ExpectileFit::Vector features = {1, sample.transferMs / TRANSFER_UNIT_MS, 0};
    const double expected = run_.predict(features);
    run_.add(features, std::max(0.0, sample.measuredMs - sample.queueMs), trustIn(expected, sample.queueMs));
}

bool EngineModel::wasHit(const Sample &sample) const
{
    const double net = sample.measuredMs - sample.queueMs - firstByteMs(sample.work);
    const double hit = readingMs(sample.work, {sample.prompt, sample.cache.tokens});
    const double miss = readingMs(sample.work, {sample.prompt, Tokens(0)});
    return std::abs(net - hit) <= std::abs(net - miss);
}

void EngineModel::observeReading(const Sample &sample)
{
    const bool hit = wasHit(sample);
    const double hitMs = readingMs(sample.work, {sample.prompt, sample.cache.tokens});
    const double missMs = readingMs(sample.work, {sample.prompt, Tokens(0)});
    if (sample.cache.belief != CacheEstimate::None && missMs - hitMs >= LEAST_DIFFERENCE * sample.measuredMs + LEAST_DIFFERENCE_TO_WAIT * sample.queueMs) {
        learn(hitProbability_.at(indexOf(sample.cache.belief)), hit ? 1 : 0);
    }
    const ExpectileFit::Vector features = featuresOf({sample.prompt, hit ? sample.cache.tokens : Tokens(0)});
    ExpectileFit &fit = sample.work == AttemptWork::Prefill ? prefill_ : prefillAndRun_;
    const double expected = fit.predict(features);
    fit.add(features, std::max(0.0, sample.measuredMs - sample.queueMs), trustIn(expected, sample.queueMs));
    if (sample.work == AttemptWork::Prefill) {
        ExpectileFit::Vector prior = prefill_.coefficients();
        prior[1] *= DECODE_READING_FACTOR;
        prior[2] *= DECODE_READING_FACTOR;
        prefillAndRun_.setPrior(prior);
    }
}

} // namespace mimosatally::internal
