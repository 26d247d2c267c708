#include <catch2/catch.hpp>

#include <mimosatally/Routing>

#include "routing/enginemodel.h"

#include <limits>
#include <random>

using namespace mimosatally;
using namespace mimosatally::internal;

namespace
{
/// \brief Engine with known times, from which an engine model is trained.
struct SimulatedEngine {
    double fixedMs = 0;
    double tokensPerMs = 0;
    double msPerMillionPairs = 0;

    [[nodiscard]] double firstByteMs(std::int64_t prompt, std::int64_t cached) const
    {
        const auto uncached = static_cast<double>(prompt - cached);
        const double pairs = uncached * (static_cast<double>(prompt) - uncached / 2);
        return fixedMs + uncached / tokensPerMs + pairs / 1e6 * msPerMillionPairs;
    }
};

/// \brief Engines whose prefill rates differ by a factor of ten and more.
const std::vector<SimulatedEngine> PROFILES = {{10, 490, 0.04}, {120, 62.4, 0.525}, {30, 200, 0.1}, {60, 100, 0.3}, {5, 700, 0.02}};

EngineModel::Sample sampleOf(std::int64_t prompt, std::int64_t cached, double measuredMs)
{
    EngineModel::Sample sample;
    sample.work = AttemptWork::Prefill;
    sample.prompt = Tokens(prompt);
    sample.cache = {Tokens(cached), cached > 0 ? CacheEstimate::Sent : CacheEstimate::None};
    sample.measuredMs = measuredMs;
    return sample;
}

/// \brief Trains \a model with prompts of many sizes, of which \a waitingShare wait for a random time.
void train(EngineModel &model, const SimulatedEngine &engine, int samples, double waitingShare)
{
    std::mt19937 random(7);
    std::uniform_int_distribution<std::int64_t> size(300, 20'000);
    std::uniform_real_distribution<double> fraction(0, 1);
    for (int i = 0; i < samples; ++i) {
        const std::int64_t prompt = size(random);
        const std::int64_t cached = i % 2 == 0 ? 0 : prompt * 2 / 3;
        const double wait = fraction(random) < waitingShare ? fraction(random) * 300 : 0;
        model.recordFirstByte(sampleOf(prompt, cached, engine.firstByteMs(prompt, cached) + wait));
    }
}

double predicted(const EngineModel &model, std::int64_t prompt, std::int64_t cached)
{
    return model.firstByteMs(AttemptWork::Prefill) + model.prefillMs(AttemptWork::Prefill, {Tokens(prompt), Tokens(cached)});
}
} // namespace

// Guards against predictions that are accurate for one kind of engine only.
TEST_CASE("The times of different engines are estimated from few answers", "[enginemodel]")
{
    for (const SimulatedEngine &engine : PROFILES) {
        EngineModel model;
        train(model, engine, 40, 0);
        for (const std::int64_t prompt : {1000, 5000, 15'000}) {
            CHECK(predicted(model, prompt, 0) == Approx(engine.firstByteMs(prompt, 0)).epsilon(0.15));
            CHECK(predicted(model, prompt, prompt / 2) == Approx(engine.firstByteMs(prompt, prompt / 2)).epsilon(0.15));
        }
    }
}

// Guards against estimates that grow because half of the calls wait behind work that this process has no notice of.
TEST_CASE("Unpredicted waits hardly change the estimated times of an engine", "[enginemodel]")
{
    for (const SimulatedEngine &engine : PROFILES) {
        EngineModel model;
        train(model, engine, 300, 0.5);
        CHECK(predicted(model, 15'000, 0) <= engine.firstByteMs(15'000, 0) + 60);
        CHECK(predicted(model, 15'000, 0) >= engine.firstByteMs(15'000, 0) * 0.8);
    }
}

// Guards against a feedback loop under overload, in which each prediction raises the next.
TEST_CASE("Answers that waited in a predicted queue do not change the estimates", "[enginemodel]")
{
    const SimulatedEngine engine = PROFILES.front();
    EngineModel model;
    train(model, engine, 100, 0);
    const double before = predicted(model, 9000, 6000);
    for (int i = 0; i < 2000; ++i) {
        EngineModel::Sample sample = sampleOf(9000, 6000, 400);
        sample.queueMs = 150;
        model.recordFirstByte(sample);
    }
    CHECK(predicted(model, 9000, 6000) == Approx(before));
}

TEST_CASE("The probability of a cache hit is estimated from the times of answers", "[enginemodel]")
{
    const SimulatedEngine engine = PROFILES.at(1);
    EngineModel model;
    train(model, engine, 60, 0);
    for (int i = 0; i < 50; ++i) {
        model.recordFirstByte(sampleOf(17'000, 13'000, engine.firstByteMs(17'000, 0)));
    }
    CHECK(model.hitProbability(CacheEstimate::Sent) < 0.1);
    for (int i = 0; i < 50; ++i) {
        model.recordFirstByte(sampleOf(17'000, 13'000, engine.firstByteMs(17'000, 13'000)));
    }
    CHECK(model.hitProbability(CacheEstimate::Sent) > 0.9);
    CHECK(model.hitProbability(CacheEstimate::None) == 0);
}

// Guards against a prediction that is not a finite number, which would admit or refuse every call.
TEST_CASE("Invalid times leave the predictions finite", "[enginemodel]")
{
    EngineModel model;
    EngineModel::Sample sample = sampleOf(0, 0, 0);
    model.recordFirstByte(sample);
    for (const double measured : {0.0, -5.0, 1e18, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        for (const AttemptWork work : {AttemptWork::Prefill, AttemptWork::Run, AttemptWork::PrefillAndRun}) {
            sample = sampleOf(9000, 3000, measured);
            sample.work = work;
            sample.transferMs = measured;
            model.recordFirstByte(sample);
        }
    }
    for (const AttemptWork work : {AttemptWork::Prefill, AttemptWork::Run, AttemptWork::PrefillAndRun}) {
        CHECK(std::isfinite(model.firstByteMs(work)));
        CHECK(model.prefillMs(work, {Tokens(9000), Tokens(0)}) >= 0);
        CHECK(std::isfinite(model.prefillMs(work, {Tokens(9000), Tokens(0)})));
    }
}
