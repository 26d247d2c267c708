#pragma once

#include "expectilefit.h"

#include <mimosatally/routing/phaserouter.h>

namespace mimosatally::internal
{

/// \brief Properties of a prompt that determine the time of its prefill.
struct PrefillInput {
    Tokens prompt;
    /// \brief Leading tokens that are in the engine's prefix cache.
    Tokens cached;
};

/// \brief Times of the engines of one service, estimated from the attempts of this process.
///
/// A prefill takes a fixed time, a time for each token and one for each pair of tokens that attend to each other. The fixed time only
/// delays the answer; the rest occupies the engine and delays the prefills queued behind it.
class EngineModel
{
public:
    EngineModel();

    /// \brief Time for which the prefill occupies an engine; zero for work without a prefill.
    [[nodiscard]] double prefillMs(AttemptWork work, const PrefillInput &input) const;

    /// \brief Delay of the first byte besides queueing, prefill and the transfer of a prompt.
    [[nodiscard]] double firstByteMs(AttemptWork work) const;

    /// \brief Time of a transfer that takes \a nominalMs on an idle link.
    [[nodiscard]] double transferMs(double nominalMs) const;

    /// \brief Mean time for which the prefill of one call occupies an engine of a phase.
    [[nodiscard]] double meanPrefillMs(EnginePhase phase) const;

    /// \brief Mean time from the first byte of an answer to its end.
    [[nodiscard]] double generationMs() const;

    /// \brief Probability of a cache hit for tokens that are expected in an engine's cache for the reason \a estimate.
    [[nodiscard]] double hitProbability(CacheEstimate estimate) const;

    [[nodiscard]] EngineTimes times() const;

    /// \brief Measured first byte of one attempt.
    struct Sample {
        AttemptWork work = AttemptWork::Run;
        Tokens prompt;
        CachedPrefix cache;
        /// \brief Time of the transfer of the prompt to the engine on an idle link.
        double transferMs = 0;
        /// \brief Predicted wait behind other work.
        double queueMs = 0;
        /// \brief Time to the first byte without the round trip.
        double measuredMs = 0;
    };

    /// \brief Returns the expected time of an attempt without its wait and the transfer, with or without a cache hit, whichever fits the measured time.
    [[nodiscard]] double serviceMs(const Sample &sample) const;

    /// \brief Updates the model with an attempt's first byte.
    void recordFirstByte(const Sample &sample);

    /// \brief Updates the mean prefill time with an attempt that begins.
    void recordPrefillStart(EnginePhase phase, double prefillMs);

    /// \brief Updates the mean generation time with a completed answer.
    void recordGeneration(double milliseconds);

private:
    [[nodiscard]] const ExpectileFit &fitFor(AttemptWork work) const;
    void recordRun(const Sample &sample);
    void recordPrefill(const Sample &sample);
    /// \brief Returns true if the measured time is nearer to that of a cache hit than to that of a miss.
    [[nodiscard]] bool isCacheHit(const Sample &sample) const;

    std::uint64_t samples_ = 0;
    ExpectileFit prefill_;
    ExpectileFit prefillAndRun_;
    ExpectileFit run_;
    double prefillEngineMeanMs_;
    double decodeEngineMeanMs_;
    double generationMs_;
    std::array<double, CACHE_ESTIMATE_COUNT> hitProbability_;
};

} // namespace mimosatally::internal
