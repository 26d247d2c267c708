#pragma once

#include "../bench/policy/enginesimulation.h"
#include "routerfleet.h"

#include <array>
#include <cmath>
#include <numeric>

namespace mimosatally::test
{

/// \brief Many gateways that place calls on the same engines of different speeds, by reports that are 100 ms old.
class ChooserSimulation
{
public:
    static constexpr std::size_t ENGINES = 46;
    static constexpr std::size_t CHOOSERS = 25;
    static constexpr int TICK_MS = 5;
    static constexpr int REPORT_AGE_MS = 100;
    static constexpr int STRAGGLING_MS = 600;
    static constexpr int WAVE_MS = 10'000;
    static constexpr int SLOTS = 12;
    /// \brief Prompts of a check: three cache blocks that it shares with others, and its own part.
    static constexpr std::uint64_t PREFIXES = 8;
    static constexpr int SHARED_TOKENS = 6000;
    static constexpr int OWN_TOKENS = 2890;

    /// \param reportedFigures figures of a load report; 0 if there are no reports.
    explicit ChooserSimulation(std::uint64_t seed, int reportedFigures = 4)
        : random_(seed)
        , reportedFigures_(reportedFigures)
    {
        bench::EngineSettings settings;
        settings.prefillTokensPerSecond = 60'000;
        engines_.resize(ENGINES, bench::EngineSimulation(settings, EngineRole::Mixed));
        for (std::size_t i = 0; i < CHOOSERS; ++i) {
            choosers_.emplace_back(NetworkLocation {DataCentreId("d" + std::to_string(i % 6)), regions()}, seed * CHOOSERS + i);
            choosers_.back().setEndpoints(records(), configuration(), at(0));
        }
    }

    /// \brief Runs for \a milliseconds with \a perSecond calls a second on average. \return calls that each engine got, by its mean speed in that time.
    std::vector<double> run(int milliseconds, double perSecond)
    {
        calls_.assign(ENGINES, 0);
        std::ranges::fill(speedSum_, 0.0);
        for (const int end = now_ + milliseconds; now_ < end; now_ += TICK_MS) {
            for (std::size_t chooser = 0; chooser < CHOOSERS; ++chooser) {
                placeCalls(chooser, perSecond);
            }
            if (now_ % 20 == 0) {
                exchangeNotices();
            }
            if (now_ % REPORT_AGE_MS == 0 && reportedFigures_ > 0) {
                deliverReports();
            }
            for (std::size_t engine = 0; engine < ENGINES; ++engine) {
                advance(engine);
            }
        }
        for (std::size_t engine = 0; engine < ENGINES; ++engine) {
            calls_[engine] *= milliseconds / speedSum_[engine];
        }
        return calls_;
    }

    /// \brief Returns the greatest of \a calls divided by their mean.
    [[nodiscard]] static double busiestOverMean(const std::vector<double> &calls)
    {
        return *std::ranges::max_element(calls) * ENGINES / std::accumulate(calls.begin(), calls.end(), 0.0);
    }

    /// \brief Returns the share of ended calls that took longer than \a milliseconds.
    [[nodiscard]] double shareLaterThan(int milliseconds) const
    {
        const auto late = std::ranges::count_if(latencies_, [milliseconds](int latency) {
            return latency > milliseconds;
        });
        return static_cast<double>(late) / static_cast<double>(latencies_.size());
    }

private:
    struct Call {
        std::size_t chooser = 0;
        PhaseRouter::Ticket ticket = 0;
        int beganAt = 0;
    };

    static std::map<DataCentreId, RegionId> regions()
    {
        std::map<DataCentreId, RegionId> result;
        for (int i = 0; i < 6; ++i) {
            result[DataCentreId("d" + std::to_string(i))] = RegionId("r" + std::to_string(i % 3));
        }
        return result;
    }

    static ServingConfiguration configuration()
    {
        ServingConfiguration result;
        EngineProfile engine;
        engine.slots = SLOTS;
        engine.cacheTokens = Tokens(192'000);
        result.services[MODEL] = {MODEL, 600, engine};
        return result;
    }

    static EndpointId idOf(std::size_t engine)
    {
        return EndpointId("e" + std::to_string(engine));
    }

    static std::map<EndpointId, EndpointRecord> records()
    {
        std::map<EndpointId, EndpointRecord> result;
        for (std::size_t i = 0; i < ENGINES; ++i) {
            EndpointRecord record;
            record.id = idOf(i);
            record.service = MODEL;
            record.dataCentre = DataCentreId("d" + std::to_string(i % 6));
            record.phase = EnginePhase::Decode;
            record.slots = SLOTS;
            result[record.id] = record;
        }
        return result;
    }

    static double speedOf(std::size_t engine)
    {
        return engine % 4 == 1 ? 0.55 : 1.2;
    }

    double drawUnit()
    {
        random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(random_ >> 11U) / static_cast<double>(1ULL << 53U);
    }

    /// \brief Returns whether the machine of \a engine is slow now, which 15 percent of them are for 600 ms at a time.
    [[nodiscard]] bool isStraggling(std::size_t engine) const
    {
        const std::uint64_t draw = (engine * 2654435761U + static_cast<std::uint64_t>(now_ / STRAGGLING_MS + 1) * 40503U) * 0x9e3779b97f4a7c15ULL;
        return (draw >> 32U) % 100 < 15;
    }

    void placeCalls(std::size_t chooser, double perSecond)
    {
        const double phase = 6.2832 * (static_cast<double>(now_) / WAVE_MS + static_cast<double>(chooser % 3) / 3);
        const double expected = perSecond * TICK_MS / 1000 / CHOOSERS * (1 + 0.55 * std::sin(phase));
        if (drawUnit() >= expected) {
            return;
        }
        PlacementRequest request;
        request.service = MODEL;
        request.promptTokens = Tokens(SHARED_TOKENS + OWN_TOKENS);
        const auto prefix = static_cast<std::uint64_t>(drawUnit() * PREFIXES);
        request.promptParts = {{prefix + 1, Tokens(SHARED_TOKENS)}, {PREFIXES + ++lastCall_, Tokens(OWN_TOKENS)}};
        PhaseRouter &router = choosers_[chooser];
        const EndpointId run = *router.place(request, at(now_)).run;
        const auto engine = static_cast<std::size_t>(std::stoul(run.value().substr(1)));
        open_[lastCall_] = {chooser, router.begin({run, AttemptWork::PrefillAndRun}, request, at(now_)), now_};
        engines_[engine].submit({lastCall_, request.promptTokens.count(), 2, {10 * prefix, 10 * prefix + 1, 10 * prefix + 2}});
        calls_[engine] += 1;
    }

    void exchangeNotices()
    {
        for (std::size_t sender = 0; sender < CHOOSERS; ++sender) {
            const std::vector<PrefillNotice> notices = choosers_[sender].takePrefillNotices(at(now_));
            for (std::size_t receiver = 0; receiver < CHOOSERS; ++receiver) {
                choosers_[receiver].recordPeerDatagram(at(now_));
                for (std::size_t i = 0; i < notices.size() && receiver != sender; ++i) {
                    choosers_[receiver].recordPrefillNotice(notices[i], at(now_));
                }
            }
        }
    }

    /// \brief Delivers the loads of the last delivery, and keeps the present ones for the next.
    void deliverReports()
    {
        for (std::size_t engine = 0; engine < reports_.size(); ++engine) {
            for (PhaseRouter &router : choosers_) {
                router.reportLoad(idOf(engine), reports_[engine], at(now_));
            }
        }
        reports_.clear();
        for (std::size_t engine = 0; engine < ENGINES; ++engine) {
            const int active = static_cast<int>(engines_[engine].activeRequests());
            reports_.push_back({std::min(active, SLOTS), std::max(0, active - SLOTS), SLOTS});
            if (reportedFigures_ == 4) {
                reports_.back().relativeTime = isStraggling(engine) ? 2.5 : 1;
            }
        }
    }

    void advance(std::size_t engine)
    {
        const double speed = speedOf(engine) / (isStraggling(engine) ? 2.5 : 1);
        speedSum_[engine] += TICK_MS * speed;
        workMs_[engine] += TICK_MS * speed;
        const Duration whole(static_cast<Duration::rep>(workMs_[engine]));
        workMs_[engine] -= static_cast<double>(whole.count());
        for (const std::size_t finished : engines_[engine].advance(whole).finished) {
            const auto call = open_.extract(finished).mapped();
            choosers_[call.chooser].end(call.ticket, AttemptOutcome::Answered, at(now_ + TICK_MS));
            latencies_.push_back(now_ + TICK_MS - call.beganAt);
        }
    }

    std::uint64_t random_;
    int reportedFigures_;
    int now_ = 0;
    std::uint64_t lastCall_ = 0;
    std::vector<bench::EngineSimulation> engines_;
    std::vector<PhaseRouter> choosers_;
    std::vector<ReportedLoad> reports_;
    std::array<double, ENGINES> workMs_ {};
    std::array<double, ENGINES> speedSum_ {};
    std::map<std::size_t, Call> open_;
    std::vector<double> calls_;
    std::vector<int> latencies_;
};

} // namespace mimosatally::test
