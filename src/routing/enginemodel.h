#pragma once

#include "expectilefit.h"

#include <mimosatally/routing/phaserouter.h>

namespace mimosatally::internal
{

/// \brief Prompt of an attempt as far as its reading time depends on it.
struct Reading {
    Tokens prompt;
    /// \brief Leading tokens that the engine need not read.
    Tokens cached;
};

/// \brief What the engines of one service take for their work, learned from the attempts of this process.
///
/// A reading takes a fixed time, a time for each token and one for each pair of tokens that attend to each other. The fixed time is a
/// delay of the answer alone; the rest occupies the engine and delays the readings behind it.
class EngineModel
{
public:
    EngineModel();

    /// \brief Time that reading occupies an engine; zero for work that reads nothing.
    [[nodiscard]] double readingMs(AttemptWork work, const Reading &reading) const;

    /// \brief Delay of the first byte besides waiting, reading and the transfer of a prompt.
    [[nodiscard]] double firstByteMs(AttemptWork work) const;

    /// \brief Time of a transfer that takes \a nominalMs on an undisturbed link.
    [[nodiscard]] double transferMs(double nominalMs) const;

    /// \brief Mean time that one call occupies an engine of a phase with reading.
    [[nodiscard]] double meanReadingMs(EnginePhase phase) const;

    /// \brief Mean time from the first byte of an answer to its end.
    [[nodiscard]] double generationMs() const;

    /// \brief Probability that an engine has the tokens that \a belief expects there.
    [[nodiscard]] double hitProbability(CacheEstimate belief) const;

    [[nodiscard]] EngineTimes times() const;

    /// \brief One attempt's first byte.
    struct Sample {
        AttemptWork work = AttemptWork::Run;
        Tokens prompt;
        CachedPrefix cache;
        /// \brief Transfer of the prompt to the engine, on an undisturbed link.
        double transferMs = 0;
        /// \brief Wait behind other work that was predicted.
        double queueMs = 0;
        /// \brief Time to the first byte without the way there and back.
        double measuredMs = 0;
    };

    /// \brief Learns from an attempt's first byte.
    void observe(const Sample &sample);

    /// \brief Counts the reading of an attempt that begins.
    void observeWork(EnginePhase phase, double readingMs);

    /// \brief Learns from the end of an answer.
    void observeGeneration(double milliseconds);

private:
    [[nodiscard]] const ExpectileFit &fitFor(AttemptWork work) const;
    void observeRun(const Sample &sample);
    void observeReading(const Sample &sample);
    /// \brief Whether the engine had the expected tokens, by which of both times is nearer to the measured one.
    [[nodiscard]] bool wasHit(const Sample &sample) const;

    std::uint64_t samples_ = 0;
    ExpectileFit prefill_;
    ExpectileFit prefillAndRun_;
    ExpectileFit run_;
    double meanPrefillReadingMs_;
    double meanDecodeReadingMs_;
    double generationMs_;
    std::array<double, CACHE_BELIEFS> hitProbability_;
};

} // namespace mimosatally::internal
